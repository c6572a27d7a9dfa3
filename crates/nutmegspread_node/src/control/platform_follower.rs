//! Follows one kind of platform objects: by a watch, or by reading when told of a change.

use nutmegspread_policy::control::ObjectChange;
use nutmegspread_wire::platform::{ObjectKind, PlatformClient, PlatformError, WatchEvent};
use rand::Rng;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

const FIRST_BACKOFF: Duration = Duration::from_millis(200);
const LONGEST_BACKOFF: Duration = Duration::from_secs(10);
/// Time after which a kind is read without being told of a change.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// How one kind is followed.
#[derive(Clone)]
pub struct FollowRole {
    /// Whether this node watches.
    pub watching: watch::Receiver<bool>,
    /// Rung when another node saw the kind change.
    pub changed: Arc<Notify>,
}

/// Follows a kind until `report` returns `false`.
pub async fn follow_objects<T, F, R>(
    client: PlatformClient,
    kind: ObjectKind,
    mut role: FollowRole,
    report: F,
) where
    T: DeserializeOwned + Send,
    F: Fn(ObjectChange<T>) -> R,
    R: Future<Output = bool>,
{
    let mut backoff = FIRST_BACKOFF;
    loop {
        match follow_once(&client, kind, &mut role, &report).await {
            Ok(FollowEnd::Unwanted) => return,
            Ok(FollowEnd::Again) => {
                backoff = FIRST_BACKOFF;
                continue;
            }
            Err(FollowFailure { error, had_contact }) => {
                log::debug!(kind = kind.as_str(); "watch lost: {error}");
                if error.is_outage() && !report(ObjectChange::Lost).await {
                    return;
                }
                if had_contact {
                    backoff = FIRST_BACKOFF;
                }
            }
        }
        tokio::time::sleep(jitter(backoff)).await;
        backoff = (backoff * 2).min(LONGEST_BACKOFF);
    }
}

/// Why following ended without a fault.
enum FollowEnd {
    /// Nobody wants more.
    Unwanted,
    /// It is time to list again.
    Again,
}

struct FollowFailure {
    error: PlatformError,
    had_contact: bool,
}

/// Lists once, then watches or waits, as the role says.
async fn follow_once<T, F, R>(
    client: &PlatformClient,
    kind: ObjectKind,
    role: &mut FollowRole,
    report: &F,
) -> Result<FollowEnd, FollowFailure>
where
    T: DeserializeOwned + Send,
    F: Fn(ObjectChange<T>) -> R,
    R: Future<Output = bool>,
{
    let watching = *role.watching.borrow_and_update();
    let list = client
        .list::<T>(kind)
        .await
        .map_err(|error| FollowFailure {
            error,
            had_contact: false,
        })?;
    if !report(ObjectChange::Listed(list.items)).await {
        return Ok(FollowEnd::Unwanted);
    }
    if !watching {
        wait_for_change(role).await;
        return Ok(FollowEnd::Again);
    }
    let mut watch = client.watch::<T>(kind, list.resource_version);
    loop {
        let event = tokio::select! {
            event = watch.next() => event,
            _ = role.watching.changed() => return Ok(FollowEnd::Again),
        };
        let event = event.map_err(|error| FollowFailure {
            error,
            had_contact: true,
        })?;
        let change = match event {
            WatchEvent::Added(object) | WatchEvent::Modified(object) => {
                ObjectChange::Changed(object)
            }
            WatchEvent::Deleted(object) => ObjectChange::Deleted(object),
            WatchEvent::Bookmark(_) => ObjectChange::Confirmed,
        };
        if !report(change).await {
            return Ok(FollowEnd::Unwanted);
        }
    }
}

/// Returns when the kind is to be read again.
async fn wait_for_change(role: &mut FollowRole) {
    tokio::select! {
        () = role.changed.notified() => {}
        _ = role.watching.changed() => {}
        () = tokio::time::sleep(jitter(READ_INTERVAL)) => {}
    }
}

/// A random part of a delay, at least half of it, so that nodes do not return in step.
pub fn jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.5..1.0))
}
