//! What a run consists of.

use nutmegspread_model::{RolloutSettings, RolloutStep};
use nutmegspread_policy::rollout::RolloutLimits;
use std::ops::Range;
use std::time::{Duration, UNIX_EPOCH};

/// Fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VersionFault {
    /// It is as good as the old one.
    None,
    /// It fails at once.
    FailsAtOnce,
    /// It is three times as slow at once.
    SlowAtOnce,
    /// It begins to fail after a time, in seconds.
    Late(u64),
    /// It sheds and slows down from a share on.
    UnderLoad(f64),
    /// It fails on one route only, by index.
    OneRoute(usize),
    /// It fails only for queries that one node takes, by index.
    OneNode(usize),
}

/// Faults of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Seconds in which no call takes effect or is answered.
    pub outage: Option<Range<u64>>,
    /// Chance that the answer to a call is lost after it took effect.
    pub lost_answers: f64,
    /// Chance that a write takes effect up to 20 seconds late.
    pub late_writes: f64,
}

/// Time in which a node does nothing, in seconds.
#[derive(Clone, Debug, Default)]
pub struct NodePause {
    /// Index of the node.
    pub node: usize,
    /// Seconds.
    pub time: Range<u64>,
}

/// Replacement of a node's process.
#[derive(Clone, Copy, Debug)]
pub struct NodeRestart {
    /// Index of the node.
    pub node: usize,
    /// Second at which the new process starts.
    pub second: u64,
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    pub seed: u64,
    pub nodes: usize,
    pub domains: usize,
    /// Queries a second of each route, over all nodes.
    pub rates: Vec<f64>,
    pub fault: VersionFault,
    pub store: StoreFaults,
    pub pauses: Vec<NodePause>,
    pub restarts: Vec<NodeRestart>,
    /// Chance that a message between nodes is lost.
    pub gossip_loss: f64,
    /// Whether counts travel between nodes; `false` leaves brakes and records alone to travel.
    pub gossips_evidence: bool,
    /// Largest delay of a message between nodes.
    pub gossip_delay: Duration,
    /// Largest difference between two nodes' clocks.
    pub clock_error: Duration,
    pub rollout: RolloutSettings,
    pub limits: RolloutLimits,
    /// Virtual time after which the run ends.
    pub end: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            nodes: 3,
            domains: 2,
            rates: vec![40.0, 20.0],
            fault: VersionFault::None,
            store: StoreFaults::default(),
            pauses: Vec::new(),
            restarts: Vec::new(),
            gossip_loss: 0.05,
            gossips_evidence: true,
            gossip_delay: Duration::from_millis(300),
            clock_error: Duration::from_millis(500),
            rollout: example_rollout(),
            limits: RolloutLimits::default(),
            end: Duration::from_secs(200),
        }
    }
}

/// A move in four steps within three minutes.
pub fn example_rollout() -> RolloutSettings {
    let step = |share: f64| RolloutStep {
        share,
        minimum_duration: Duration::from_secs(8),
        minimum_samples: 40,
    };
    RolloutSettings {
        service: "catalog".into(),
        from: "old".into(),
        to: "new".into(),
        start: UNIX_EPOCH + Duration::from_secs(1_000_002),
        finish_by: UNIX_EPOCH + Duration::from_secs(1_000_182),
        steps: [0.005, 0.1, 0.5, 1.0].map(step).to_vec(),
        hold: Duration::from_secs(30),
    }
}
