//! Drains of targets by operators, and the configuration revisions that ended them.

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
    drained: bool,
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

    /// Revision that ended the target's last drain; 0 if no drain of it has ended yet.
    ///
    /// This is a revision and not a counter, so that a node that has restarted never reports a
    /// smaller number for a later return to service.
    pub fn return_count(&self, target: &str) -> u64 {
        self.targets
            .get(target)
            .map_or(0, |entry| entry.returned_by)
    }
}
