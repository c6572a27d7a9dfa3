//! Writes a new configuration document to the platform, provided that no other operator applied one
//! in the meantime.

use nutmegspread_model::{
    ConfigurationDocument, ObjectMetadata, PlatformObject, Revision, diff_documents,
    validate_document,
};
use nutmegspread_wire::platform::{ObjectKind, PlatformClient, PlatformError};
use serde::Serialize;

/// Name of the platform object that has the configuration; there is only one.
pub const CONFIGURATION_NAME: &str = "current";

/// Maximum number of reads after a write whose outcome is unknown.
const MAX_READ_BACKS: u32 = 5;
/// Delay before each of these reads.
const READ_BACK_DELAY: std::time::Duration = std::time::Duration::from_millis(200);

/// Why a document was not applied, or is not known to be applied.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum ApplyFailure {
    /// The document has errors.
    Invalid {
        /// One line for each error, with the path of the field.
        errors: Vec<String>,
    },
    /// Another operator applied a document in the meantime.
    Conflict {
        /// Revision of the current document.
        revision: Revision,
        /// Differences from the current document to the refused one.
        differences: Vec<String>,
    },
    /// A call to the platform failed, or its outcome is unknown.
    Platform {
        /// Cause of the failure.
        message: String,
        /// Whether the document may have been applied.
        may_be_applied: bool,
    },
}

/// Applies a document as the revision after `base`, provided that `base` is the current revision.
/// Returns the document as stored.
///
/// `token` must be unique to this call. It is stored with the document, so that a read shows
/// whether a write without a clear answer took effect.
///
/// # Errors
/// If the document is invalid, if another revision is current, or if a call to the platform failed
/// or has an unknown outcome.
pub async fn apply_configuration(
    client: &PlatformClient,
    mut document: ConfigurationDocument,
    base: Revision,
    token: String,
) -> Result<ConfigurationDocument, ApplyFailure> {
    let errors = validate_document(&document);
    if !errors.is_empty() {
        let errors = errors.iter().map(ToString::to_string).collect();
        return Err(ApplyFailure::Invalid { errors });
    }
    let stored = fetch_current(client)
        .await
        .map_err(|error| platform_failure(&error, false))?;
    let current = stored.as_ref().map_or(0, |object| object.spec.revision);
    if current != base {
        return Err(conflict(stored.as_ref(), &document));
    }
    document.revision = base + 1;
    let object = PlatformObject {
        kind: ObjectKind::Configuration.as_str().into(),
        metadata: ObjectMetadata {
            name: CONFIGURATION_NAME.into(),
            resource_version: stored
                .as_ref()
                .and_then(|object| object.metadata.resource_version),
            write_token: Some(token.clone()),
        },
        spec: document,
        status: serde_json::Value::Null,
    };
    let written = client.store(ObjectKind::Configuration, &object).await;
    match written {
        Ok(_) => Ok(object.spec),
        Err(PlatformError::Conflict) => {
            let stored = fetch_current(client)
                .await
                .map_err(|error| platform_failure(&error, false))?;
            Err(conflict(stored.as_ref(), &object.spec))
        }
        Err(error) if error.is_without_effect() => Err(platform_failure(&error, false)),
        Err(error) => read_back(client, object, &token, &error).await,
    }
}

/// Reads the configuration repeatedly until its write token or its revision shows whether a write
/// without a clear answer took effect.
async fn read_back(
    client: &PlatformClient,
    object: PlatformObject<ConfigurationDocument>,
    token: &str,
    cause: &PlatformError,
) -> Result<ConfigurationDocument, ApplyFailure> {
    for _ in 0..MAX_READ_BACKS {
        tokio::time::sleep(READ_BACK_DELAY).await;
        let Ok(stored) = fetch_current(client).await else {
            continue;
        };
        let is_own_write = stored
            .as_ref()
            .is_some_and(|stored| stored.metadata.write_token.as_deref() == Some(token));
        if is_own_write {
            return Ok(object.spec);
        }
        let revision = stored.as_ref().map_or(0, |stored| stored.spec.revision);
        if revision == object.spec.revision {
            return Err(conflict(stored.as_ref(), &object.spec));
        }
        if revision > object.spec.revision {
            // A newer document has replaced that revision, so the stored token no longer shows
            // whether this write took effect.
            return Err(platform_failure(cause, true));
        }
    }
    Err(platform_failure(cause, true))
}

async fn fetch_current(
    client: &PlatformClient,
) -> Result<Option<PlatformObject<ConfigurationDocument>>, PlatformError> {
    client
        .fetch(ObjectKind::Configuration, CONFIGURATION_NAME)
        .await
}

fn conflict(
    stored: Option<&PlatformObject<ConfigurationDocument>>,
    document: &ConfigurationDocument,
) -> ApplyFailure {
    let empty = ConfigurationDocument::default();
    let current = stored.map_or(&empty, |object| &object.spec);
    let mut refused = document.clone();
    refused.revision = current.revision;
    let differences = diff_documents(current, &refused)
        .iter()
        .map(ToString::to_string)
        .collect();
    ApplyFailure::Conflict {
        revision: current.revision,
        differences,
    }
}

fn platform_failure(error: &PlatformError, may_be_applied: bool) -> ApplyFailure {
    ApplyFailure::Platform {
        message: error.to_string(),
        may_be_applied,
    }
}
