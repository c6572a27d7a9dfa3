//! Writes the node's record and the roster to the platform.

use super::platform_follower::jitter;
use nutmegspread_model::{NodeRecord, ObjectMetadata, PlatformObject, RosterRecord};
use nutmegspread_wire::platform::{ObjectKind, PlatformClient, PlatformError};
use std::time::Duration;

/// Delay after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Upper limit of the delay, which doubles with each failed read.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Name of the platform object that has the roster; there is only one.
const ROSTER_NAME: &str = "current";

/// Writes the record of this node and retries until it is stored. No other node writes it.
pub async fn store_record(platform: PlatformClient, record: NodeRecord) {
    let kind = ObjectKind::NodeRecord;
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let stored = platform.fetch::<NodeRecord>(kind, &record.node).await;
        let version = match stored {
            Ok(Some(stored)) if stored.spec == record => return,
            Ok(stored) => stored.and_then(|stored| stored.metadata.resource_version),
            Err(_) => {
                tokio::time::sleep(jitter(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                continue;
            }
        };
        let object = platform_object(kind, &record.node, version, record.clone());
        let written = platform.store(kind, &object).await;
        if written.is_ok() {
            return;
        }
        tokio::time::sleep(jitter(backoff)).await;
    }
}

/// Writes a roster, provided that the stored one is the preceding version.
///
/// Does not retry: after a conflict or failure, the node follows whichever roster is stored.
pub async fn propose_roster(platform: PlatformClient, roster: RosterRecord) {
    let kind = ObjectKind::Roster;
    let Ok(stored) = platform.fetch::<RosterRecord>(kind, ROSTER_NAME).await else {
        return;
    };
    let stored_version = stored.as_ref().map_or(0, |object| object.spec.version);
    if stored_version + 1 != roster.version {
        return;
    }
    let resource_version = stored.and_then(|object| object.metadata.resource_version);
    let object = platform_object(kind, ROSTER_NAME, resource_version, roster);
    let written = platform.store(kind, &object).await;
    match written {
        // The node learns which roster was stored from the objects that it follows.
        Ok(_) | Err(PlatformError::Conflict) => {}
        Err(error) => log::warn!("writing the roster to the platform failed: {error}"),
    }
}

fn platform_object<T>(
    kind: ObjectKind,
    name: &str,
    resource_version: Option<u64>,
    spec: T,
) -> PlatformObject<T> {
    PlatformObject {
        kind: kind.as_str().into(),
        metadata: ObjectMetadata {
            name: name.into(),
            resource_version,
            write_token: None,
        },
        spec,
        status: serde_json::Value::Null,
    }
}
