//! Platform calls that read and write the order journal.

use nutmegspread_model::{ObjectMetadata, PlatformObject, ResourceVersion};
use nutmegspread_policy::order::{
    CallFailure, JournalAction, JournalDocument, JournalInput, PartitionId, VersionedDocument,
    partition_name,
};
use nutmegspread_wire::platform::{ObjectKind, PlatformClient, PlatformError};
use std::sync::Arc;

const KIND: ObjectKind = ObjectKind::OrderJournal;

/// Runs a read or write of a partition and returns its result; `None` for other actions, which
/// need no platform call.
pub async fn call_platform(
    platform: PlatformClient,
    partition: PartitionId,
    action: JournalAction,
) -> Option<JournalInput> {
    match action {
        JournalAction::Read { call } => {
            let result = read(&platform, partition).await;
            Some(JournalInput::ReadDone { call, result })
        }
        JournalAction::Write {
            call,
            base,
            document,
            token,
        } => {
            let object = partition_object(partition, base, document, token);
            let result = write(&platform, object).await;
            Some(JournalInput::WriteDone { call, result })
        }
        JournalAction::Dispatch { .. } | JournalAction::Answer { .. } => None,
    }
}

async fn read(
    platform: &PlatformClient,
    partition: PartitionId,
) -> Result<Option<VersionedDocument>, CallFailure> {
    let name = partition_name(partition);
    let found = platform
        .fetch::<JournalDocument>(KIND, &name)
        .await
        .map_err(|error| {
            log::warn!(
                partition = partition;
                "reading the order journal from the platform failed: {error}"
            );
            CallFailure::Unavailable
        })?;
    Ok(found.map(|object| VersionedDocument {
        version: object.metadata.resource_version.unwrap_or_default(),
        document: Arc::new(object.spec),
    }))
}

async fn write(
    platform: &PlatformClient,
    object: PlatformObject<Arc<JournalDocument>>,
) -> Result<ResourceVersion, CallFailure> {
    let written = platform.store(KIND, &object).await;
    match written {
        Ok(object) => object
            .metadata
            .resource_version
            .ok_or(CallFailure::Unavailable),
        Err(PlatformError::Conflict) => Err(CallFailure::Conflict),
        Err(error) => {
            log::warn!(
                object = &*object.metadata.name;
                "writing the order journal to the platform failed or got no answer: {error}"
            );
            Err(CallFailure::Unavailable)
        }
    }
}

fn partition_object(
    partition: PartitionId,
    base: ResourceVersion,
    document: Arc<JournalDocument>,
    token: String,
) -> PlatformObject<Arc<JournalDocument>> {
    PlatformObject {
        kind: KIND.as_str().into(),
        metadata: ObjectMetadata {
            name: partition_name(partition),
            resource_version: (base > 0).then_some(base),
            write_token: Some(token),
        },
        spec: document,
        status: serde_json::Value::Null,
    }
}
