//! Which revision brought targets and failure domains back.

use indexmap::IndexMap;
use nutmegspread_model::{ConfigurationDocument, Revision, ServingState, TargetId};

/// Returns of targets after a drain of their own or of their failure domain.
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
    /// Compares a newly applied document with the one before it.
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

    /// Whether operators took the target or its failure domain out.
    pub fn is_drained(&self, target: &str) -> bool {
        self.targets.get(target).is_none_or(|entry| entry.drained)
    }

    /// Revision that brought a target back last; 0 when none did.
    ///
    /// A revision rather than a count, so that a restarted node never states a smaller one for a
    /// later return.
    pub fn return_count(&self, target: &str) -> u64 {
        self.targets
            .get(target)
            .map_or(0, |entry| entry.returned_by)
    }
}
