//! Choice of the version of a service that gets an attempt during a rollout.

use crate::RolloutStage;

/// Which targets may get an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionChoice {
    /// Only targets of other versions than the new one.
    Old,
    /// Targets of the new version, or any other target if none of these is available.
    NewFirst,
    /// Only targets of the new version.
    New,
}

/// Limit on the attempts on a new version before traffic moves to it.
#[derive(Clone, Copy, Debug)]
pub struct ExposureSettings {
    /// Fraction of the service's attempts that the new version may get, from 0 to 1.
    pub share: f64,
    /// Number of attempts on top of `share`, summed over all nodes.
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

/// Fraction of the allowed share that is used. The rest is reserved for nodes that were lost
/// together with their counts.
const USED_SHARE: f64 = 0.6;
/// Fraction of the allowed slack that is used. The rest is reserved for nodes that restart, because
/// their counts begin again at 0.
const USED_SLACK: f64 = 0.3;

/// Limits the new version's share of one node's attempts on a service during a rollout.
///
/// The limit depends only on the node's own attempts and its share of the slack. The sum over all
/// nodes therefore stays within the common limit without coordination.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionShare {
    /// First attempts on the service since the rollout was ordered.
    attempts: u64,
    /// First attempts that the new version was chosen for.
    exposed: u64,
}

impl VersionShare {
    /// Chooses the targets for a first attempt and counts it. `node_share` is this node's share of
    /// common limits, from 0 to 1.
    pub fn choose_first(
        &mut self,
        settings: &ExposureSettings,
        stage: RolloutStage,
        node_share: f64,
    ) -> VersionChoice {
        self.attempts += 1;
        match stage {
            RolloutStage::Trying => {
                let allowed = settings.share * USED_SHARE * self.attempts as f64
                    + settings.slack * USED_SLACK * node_share;
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

    /// Chooses the targets for an extra attempt, which goes to the new version only once traffic
    /// moves to it.
    pub fn choose_extra(stage: RolloutStage) -> VersionChoice {
        match stage {
            RolloutStage::Trying | RolloutStage::RolledBack => VersionChoice::Old,
            RolloutStage::Moving => VersionChoice::NewFirst,
            RolloutStage::Completed => VersionChoice::New,
        }
    }
}
