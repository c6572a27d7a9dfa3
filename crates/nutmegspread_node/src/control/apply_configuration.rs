//! Writes a new configuration document, on condition that nobody was faster.

use nutmegspread_model::{
    ConfigurationDocument, ObjectMetadata, PlatformObject, Revision, diff_documents,
    validate_document,
};
use nutmegspread_wire::platform::{ObjectKind, PlatformClient, PlatformError};
use serde::Serialize;

/// Name of the one configuration object.
pub const CONFIGURATION_NAME: &str = "current";

const READ_BACK_TRIES: u32 = 5;
const READ_BACK_DELAY: std::time::Duration = std::time::Duration::from_millis(200);

/// Why a document was not applied.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum ApplyFailure {
    /// The document has faults.
    Invalid {
        /// One line a fault, with its field.
        errors: Vec<String>,
    },
    /// Another operator was first.
    Conflict {
        /// Revision in force.
        revision: Revision,
        /// Differences from the document in force to the refused one.
        differences: Vec<String>,
    },
    /// The platform could not be reached or gave no clear answer.
    Platform {
        /// Text of the cause.
        message: String,
        /// Whether the document may have been applied.
        may_be_applied: bool,
    },
}

/// Applies a document with the next revision after `base`.
///
/// # Errors
/// See [`ApplyFailure`].
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

/// Resolves a lost answer by looking for the own write token.
async fn read_back(
    client: &PlatformClient,
    object: PlatformObject<ConfigurationDocument>,
    token: &str,
    cause: &PlatformError,
) -> Result<ConfigurationDocument, ApplyFailure> {
    for _ in 0..READ_BACK_TRIES {
        tokio::time::sleep(READ_BACK_DELAY).await;
        let Ok(stored) = fetch_current(client).await else {
            continue;
        };
        let own = stored
            .as_ref()
            .is_some_and(|stored| stored.metadata.write_token.as_deref() == Some(token));
        if own {
            return Ok(object.spec);
        }
        let revision = stored.as_ref().map_or(0, |stored| stored.spec.revision);
        if revision == object.spec.revision {
            return Err(conflict(stored.as_ref(), &object.spec));
        }
        if revision > object.spec.revision {
            // A later operator hides whether this write was the one that they edited.
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
    let mut wanted = document.clone();
    wanted.revision = current.revision;
    let differences = diff_documents(current, &wanted)
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
