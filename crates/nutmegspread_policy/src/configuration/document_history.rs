//! Changes between recent revisions, sent to peers that are only a few revisions behind.

use nutmegspread_model::{
    ChangeError, ConfigurationDocument, FieldChange, Revision, apply_changes, diff_documents,
};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of steps to keep; a peer with an older revision gets the whole document.
const MAXIMUM_STEPS: usize = 64;

/// Reply of a node to a peer that requested a newer configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DocumentReply {
    /// Changes from the revision that the receiver holds.
    Changes {
        /// Revision to which the changes apply.
        base: Revision,
        /// Changes, in the order in which to apply them.
        changes: Vec<FieldChange>,
    },
    /// The whole document.
    Whole(Arc<ConfigurationDocument>),
    /// The sender holds no newer revision.
    Nothing,
}

/// The documents that this node recently held, kept as the changes from each to the next.
#[derive(Clone, Debug, Default)]
pub struct DocumentHistory {
    /// Steps in the order in which this node held their revisions, oldest first.
    steps: VecDeque<RevisionStep>,
}

/// Changes from one revision that this node held to the next one that it held.
#[derive(Clone, Debug)]
struct RevisionStep {
    /// Revision to which the changes apply.
    base: Revision,
    changes: Vec<FieldChange>,
}

impl DocumentHistory {
    /// Records the changes from one document to the next, and drops the oldest step if there are
    /// more than `MAXIMUM_STEPS`.
    pub fn record(&mut self, before: &ConfigurationDocument, after: &ConfigurationDocument) {
        let changes = diff_documents(before, after);
        self.steps.push_back(RevisionStep {
            base: before.revision,
            changes,
        });
        if self.steps.len() > MAXIMUM_STEPS {
            self.steps.pop_front();
        }
    }

    /// The reply of a node that holds `current` to a peer that holds the revision `have`.
    pub fn reply(
        &self,
        current: Option<&Arc<ConfigurationDocument>>,
        have: Revision,
    ) -> DocumentReply {
        let Some(current) = current.filter(|current| current.revision > have) else {
            return DocumentReply::Nothing;
        };
        let Some(first) = self.steps.iter().position(|step| step.base == have) else {
            return DocumentReply::Whole(current.clone());
        };
        let steps = self.steps.iter().skip(first);
        let changes = steps
            .flat_map(|step| step.changes.iter().cloned())
            .collect();
        DocumentReply::Changes {
            base: have,
            changes,
        }
    }
}

impl DocumentReply {
    /// Computes the new document from this reply and `held`, the document of the node that received
    /// the reply; `None` if the sender has no newer one.
    ///
    /// # Errors
    /// Returns an error if the reply contains changes that do not apply to `held`.
    pub fn resolve(
        self,
        held: Option<&Arc<ConfigurationDocument>>,
    ) -> Result<Option<Arc<ConfigurationDocument>>, ChangeError> {
        match (self, held) {
            (Self::Nothing, _) => Ok(None),
            (Self::Whole(document), _) => Ok(Some(document)),
            (Self::Changes { base, changes }, Some(held)) if held.revision == base => {
                Ok(Some(Arc::new(apply_changes(held, &changes)?)))
            }
            (Self::Changes { base, .. }, _) => {
                Err(ChangeError::BaseDiffers(format!("revision {base}")))
            }
        }
    }
}
