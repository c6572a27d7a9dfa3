//! Follows one kind of platform object, by a watch or by reading the objects after a change that a
//! peer reported.

use super::unreadable_log::UnreadableLog;
use nutmegspread_policy::control::ObjectChange;
use nutmegspread_wire::platform::{ObjectKind, PlatformClient, PlatformError, WatchEvent};
use rand::Rng;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Delay after the first of several failures in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Upper limit of the delay, which doubles with each failure.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Maximum time between two reads of a kind that this node does not watch.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Role of this node in following one kind of object, as the control state sets it.
#[derive(Clone)]
pub struct FollowRole {
    /// Whether this node watches the kind on the platform.
    pub watching: watch::Receiver<bool>,
    /// Notified when a peer reports a change, so that the objects of the kind are read.
    pub changed: Arc<Notify>,
}

/// Follows a kind and passes its changes to `report`, until `report` returns `false`.
///
/// After a failure, the kind is listed again after a delay. An event of a watch that cannot be decoded
/// is such a failure; the list leaves its object out.
pub async fn follow_objects<T, F, R>(
    client: PlatformClient,
    kind: ObjectKind,
    mut role: FollowRole,
    mut unreadable: UnreadableLog,
    report: F,
) where
    T: DeserializeOwned + Send,
    F: Fn(ObjectChange<T>) -> R,
    R: Future<Output = bool>,
{
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match follow_once(&client, kind, &mut role, &mut unreadable, &report).await {
            Ok(FollowEnd::ReceiverStopped) => return,
            Ok(FollowEnd::ListAgain) => {
                backoff = INITIAL_BACKOFF;
                continue;
            }
            Err(FollowFailure { error, was_listed }) => {
                log::debug!(
                    kind = kind.as_str();
                    "listing or watching platform objects failed; listing again after a delay: {error}"
                );
                if error.is_outage() && !report(ObjectChange::Lost).await {
                    return;
                }
                if was_listed {
                    backoff = INITIAL_BACKOFF;
                }
            }
        }
        tokio::time::sleep(jitter(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Why [`follow_once`] ended without an error.
enum FollowEnd {
    /// The receiver of the changes has stopped.
    ReceiverStopped,
    /// The objects have to be listed again.
    ListAgain,
}

struct FollowFailure {
    error: PlatformError,
    /// Whether the objects were listed before the failure.
    was_listed: bool,
}

/// Lists the objects, then either watches them or waits until they have to be listed again,
/// depending on the role.
async fn follow_once<T, F, R>(
    client: &PlatformClient,
    kind: ObjectKind,
    role: &mut FollowRole,
    unreadable: &mut UnreadableLog,
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
            was_listed: false,
        })?;
    unreadable.record(&list.unreadable);
    if !report(ObjectChange::Listed(list.items)).await {
        return Ok(FollowEnd::ReceiverStopped);
    }
    if !watching {
        wait_for_change(role).await;
        return Ok(FollowEnd::ListAgain);
    }
    let mut watch = client.watch::<T>(kind, list.resource_version);
    loop {
        let event = tokio::select! {
            event = watch.next() => event,
            _ = role.watching.changed() => return Ok(FollowEnd::ListAgain),
        };
        let event = event.map_err(|error| FollowFailure {
            error,
            was_listed: true,
        })?;
        let change = match event {
            WatchEvent::Added(object) | WatchEvent::Modified(object) => {
                ObjectChange::Changed(object)
            }
            WatchEvent::Deleted(object) => ObjectChange::Deleted(object),
            WatchEvent::Bookmark(_) => ObjectChange::Confirmed,
        };
        if !report(change).await {
            return Ok(FollowEnd::ReceiverStopped);
        }
    }
}

/// Waits until the objects have to be listed again: after a notification, a change of the role, or
/// the read interval.
async fn wait_for_change(role: &mut FollowRole) {
    tokio::select! {
        () = role.changed.notified() => {}
        _ = role.watching.changed() => {}
        () = tokio::time::sleep(jitter(READ_INTERVAL)) => {}
    }
}

/// Returns a random duration of at least half of `delay` and less than `delay`, so that nodes do
/// not call the platform at the same time.
pub fn jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.5..1.0))
}
