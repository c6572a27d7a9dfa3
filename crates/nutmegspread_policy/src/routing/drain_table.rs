//! Drains of targets by operators (a drained target gets no new work), and the configuration
//! revisions that ended them.

use indexmap::IndexMap;
use nutmegspread_model::{ConfigurationDocument, Revision, ServingState, TargetId};

/// For each target, whether it or its failure domain is drained, and the revision that ended its
/// last drain.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    targets: IndexMap<TargetId, DrainEntry>,
}

#[derive(Clone, Debug, Default)]
struct DrainEntry {
    /// Whether the target or its failure domain is drained.
    drained: bool,
    /// Revision that ended the target's last drain; 0 if none has ended yet.
    returned_by: Revision,
}

impl DrainTable {
    /// Updates the table from a newly applied configuration document.
    pub fn apply(&mut self, document: &ConfigurationDocument) {
        self.targets
            .retain(|target, _| document.targets.contains_key(target));
        for (target, settings) in &document.targets {
            let domain_drained = document
                .domains
                .get(&settings.domain)
                .is_none_or(|domain| domain.state == ServingState::Drained);
            let drained = domain_drained || settings.state == ServingState::Drained;
            let entry = self.targets.entry(target.clone()).or_default();
            if entry.drained && !drained {
                entry.returned_by = document.revision;
            }
            entry.drained = drained;
        }
    }

    /// Whether the target or its failure domain is drained in the configuration. A target that
    /// isn't in the configuration counts as drained.
    pub fn is_drained(&self, target: &str) -> bool {
        self.targets.get(target).is_none_or(|entry| entry.drained)
    }

    /// Configuration revision that returned the target to service by ending its last drain; 0 if no
    /// drain has ended yet.
    ///
    /// Unlike a counter in memory, a revision never becomes smaller when a node restarts. A later
    /// return to service therefore always has a larger number.
    pub fn return_count(&self, target: &str) -> u64 {
        self.targets
            .get(target)
            .map_or(0, |entry| entry.returned_by)
    }
}
