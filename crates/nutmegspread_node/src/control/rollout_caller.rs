//! Reads and writes rollout records on the platform.

use crate::ProcessClock;
use nutmegspread_model::{
    ObjectMetadata, PlatformObject, ResourceVersion, RolloutId, RolloutRecord,
};
use nutmegspread_policy::rollout::{KnownRecord, RolloutAction, RolloutInput, WriteOutcome};
use nutmegspread_wire::platform::{ObjectKind, PlatformClient, PlatformError};

/// Makes one platform call for a rollout and returns its result as an input of the rollout.
pub async fn call_for_rollout(
    platform: PlatformClient,
    clock: ProcessClock,
    rollout: RolloutId,
    action: RolloutAction,
) -> RolloutInput {
    match action {
        RolloutAction::Read => read_record(&platform, clock, &rollout).await,
        RolloutAction::Write {
            token,
            record,
            base,
        } => {
            let outcome = write_record(&platform, &rollout, &token, record, base).await;
            RolloutInput::WriteEnded { token, outcome }
        }
    }
}

async fn read_record(
    platform: &PlatformClient,
    clock: ProcessClock,
    rollout: &RolloutId,
) -> RolloutInput {
    let stored = platform
        .fetch::<RolloutRecord>(ObjectKind::Rollout, rollout)
        .await;
    let confirmed = clock.wall();
    match stored {
        Ok(Some(object)) => KnownRecord::from_object(object, confirmed)
            .map_or(RolloutInput::ReadFailed, RolloutInput::RecordRead),
        Ok(None) => RolloutInput::RecordAbsent { confirmed },
        Err(error) => {
            log::debug!(
                rollout = &**rollout;
                "reading the rollout record from the platform failed: {error}"
            );
            RolloutInput::ReadFailed
        }
    }
}

async fn write_record(
    platform: &PlatformClient,
    rollout: &RolloutId,
    token: &str,
    record: RolloutRecord,
    base: Option<ResourceVersion>,
) -> WriteOutcome {
    let kind = ObjectKind::Rollout;
    let object = PlatformObject {
        kind: kind.as_str().into(),
        metadata: ObjectMetadata {
            name: rollout.to_string(),
            resource_version: base,
            write_token: Some(token.to_owned()),
        },
        spec: record,
        status: serde_json::Value::Null,
    };
    let written = platform.store(kind, &object).await;
    match written {
        Ok(stored) => {
            let version = stored.metadata.resource_version;
            version.map_or(WriteOutcome::Unknown, WriteOutcome::Accepted)
        }
        Err(PlatformError::Conflict) => WriteOutcome::Conflict,
        Err(error) => {
            log::warn!(
                rollout = &**rollout;
                "writing the rollout record to the platform failed or got no answer: {error}"
            );
            WriteOutcome::Unknown
        }
    }
}
