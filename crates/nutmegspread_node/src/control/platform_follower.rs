//! Follows one kind of platform objects: lists, watches, and lists again when the watch is lost.

use nutmegspread_policy::control::ObjectChange;
use nutmegspread_wire::platform::{ObjectKind, PlatformClient, PlatformError, WatchEvent};
use rand::Rng;
use serde::de::DeserializeOwned;
use std::time::Duration;

const FIRST_BACKOFF: Duration = Duration::from_millis(200);
const LONGEST_BACKOFF: Duration = Duration::from_secs(10);

/// Follows a kind until `report` returns `false`.
pub async fn follow_objects<T, F>(client: PlatformClient, kind: ObjectKind, report: F)
where
    T: DeserializeOwned + Send,
    F: Fn(ObjectChange<T>) -> bool,
{
    let mut backoff = FIRST_BACKOFF;
    loop {
        match follow_once(&client, kind, &report).await {
            Ok(()) => return,
            Err(FollowEnd { error, had_contact }) => {
                log::debug!(kind = kind.as_str(); "watch lost: {error}");
                if error.is_outage() && !report(ObjectChange::Lost) {
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

struct FollowEnd {
    error: PlatformError,
    had_contact: bool,
}

/// Lists once, then watches; returns `Ok` when nobody wants more.
async fn follow_once<T, F>(
    client: &PlatformClient,
    kind: ObjectKind,
    report: &F,
) -> Result<(), FollowEnd>
where
    T: DeserializeOwned + Send,
    F: Fn(ObjectChange<T>) -> bool,
{
    let list = client.list::<T>(kind).await.map_err(|error| FollowEnd {
        error,
        had_contact: false,
    })?;
    if !report(ObjectChange::Listed(list.items)) {
        return Ok(());
    }
    let mut watch = client.watch::<T>(kind, list.resource_version);
    loop {
        let event = watch.next().await.map_err(|error| FollowEnd {
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
        if !report(change) {
            return Ok(());
        }
    }
}

/// A random part of a delay, at least half of it, so that nodes do not return in step.
pub fn jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.5..1.0))
}
