//! Settings of a load run.

use super::{DeploymentKind, LoadCase};
use std::time::Duration;

/// Deployment, cases, nodes and load of a run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Deployment that the stand-ins reproduce.
    pub deployment: DeploymentKind,
    /// Cases, in the order in which they run.
    pub cases: Vec<LoadCase>,
    /// Addresses at which the nodes serve callers, as `IP:PORT`; if empty, only the baseline runs.
    pub nodes: Vec<String>,
    /// Address of one node's operators' interface, as `IP:PORT`; applies the configuration.
    pub operator: String,
    /// Bearer token of the operators' interface.
    pub operator_token: String,
    /// Process ids of the nodes, in the order of `nodes`, for processor times and planned stops.
    pub node_pids: Vec<u32>,
    /// Address on which the platform stand-in listens, as `IP:PORT`.
    pub platform_listen: String,
    /// Whether the cases also run against the naive baseline.
    pub with_baseline: bool,
    /// Duration of each case, without its warm-up.
    pub case_time: Duration,
    /// Queries per second; by default each case sets a fraction of the targets' capacity.
    pub rate: Option<f64>,
    /// Longest time to wait until the nodes accept the configuration, and again until they are
    /// ready.
    pub ready_limit: Duration,
    /// Seed of the arrival schedules, the query texts and the searchers' random choices.
    pub seed: u64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            deployment: DeploymentKind::Guild,
            cases: LoadCase::ALL.to_vec(),
            nodes: Vec::new(),
            operator: "127.0.0.1:7301".into(),
            operator_token: String::new(),
            node_pids: Vec::new(),
            platform_listen: "127.0.0.1:7700".into(),
            with_baseline: true,
            case_time: Duration::from_secs(16),
            rate: None,
            ready_limit: Duration::from_secs(30),
            seed: 1,
        }
    }
}
