//! Recent revisions as lists of changes, for nodes that lag a little.

use nutmegspread_model::{
    ChangeError, ConfigurationDocument, FieldChange, Revision, apply_changes, diff_documents,
};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

const MAXIMUM_STEPS: usize = 64;

/// What one node sends another that holds an older revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DocumentReply {
    /// Changes from the revision that the receiver holds.
    Changes {
        /// Revision to which they apply.
        base: Revision,
        /// Changes in order.
        changes: Vec<FieldChange>,
    },
    /// The whole document.
    Whole(Arc<ConfigurationDocument>),
    /// The sender holds nothing newer.
    Nothing,
}

/// Changes from each recent revision to the next one that this node applied.
#[derive(Clone, Debug, Default)]
pub struct DocumentHistory {
    steps: VecDeque<RevisionStep>,
}

#[derive(Clone, Debug)]
struct RevisionStep {
    base: Revision,
    changes: Vec<FieldChange>,
}

impl DocumentHistory {
    /// Records the step from one document to the next.
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

    /// What to send to a node that holds `have`.
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
    /// The document that follows from the one held; `None` when nothing newer was sent.
    ///
    /// # Errors
    /// When changes do not fit the document held.
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
