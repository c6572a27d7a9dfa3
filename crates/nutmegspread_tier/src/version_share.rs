//! Which version of a service gets a send of this node.

use crate::RolloutStage;

/// Which targets may get a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionChoice {
    /// Only those of other versions than the new one.
    Old,
    /// Those of the new version, or else the others.
    NewFirst,
    /// Only those of the new version.
    New,
}

/// What the new version may get while it is tried.
#[derive(Clone, Copy, Debug)]
pub struct ExposureSettings {
    /// Part of the service's sends.
    pub share: f64,
    /// Sends on top of it, summed over all nodes.
    pub slack: f64,
}

impl Default for ExposureSettings {
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 50.0,
        }
    }
}

/// Part of the allowed exposure that is used; counts of lost nodes take the rest.
const USED_SHARE: f64 = 0.6;
/// Part of the allowed slack that is used; a restarted node begins to count anew.
const USED_SLACK: f64 = 0.3;

/// One node's count of the sends to a service since its rollout was ordered.
///
/// Each node keeps within its own sends and its part of the slack, so that the sum over all nodes
/// holds without agreement.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionShare {
    sends: u64,
    exposed: u64,
}

impl VersionShare {
    /// Chooses for a first send; `part` is this node's part of common limits.
    pub fn choose_first(
        &mut self,
        settings: &ExposureSettings,
        stage: RolloutStage,
        part: f64,
    ) -> VersionChoice {
        self.sends += 1;
        match stage {
            RolloutStage::Trying => {
                let allowed = settings.share * USED_SHARE * self.sends as f64
                    + settings.slack * USED_SLACK * part;
                if (self.exposed + 1) as f64 <= allowed {
                    self.exposed += 1;
                    VersionChoice::NewFirst
                } else {
                    VersionChoice::Old
                }
            }
            stage => Self::choose_extra(stage),
        }
    }

    /// Chooses for a second send, which never tries the new version.
    pub fn choose_extra(stage: RolloutStage) -> VersionChoice {
        match stage {
            RolloutStage::Trying | RolloutStage::RolledBack => VersionChoice::Old,
            RolloutStage::Moving => VersionChoice::NewFirst,
            RolloutStage::Completed => VersionChoice::New,
        }
    }
}
