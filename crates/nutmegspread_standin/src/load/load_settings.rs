//! Settings of a load run.

use super::{DeploymentKind, LoadCase};
use std::time::Duration;

/// What to run against what.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Deployment whose sizes the stand-ins take.
    pub deployment: DeploymentKind,
    /// Cases, in order.
    pub cases: Vec<LoadCase>,
    /// Callers' addresses of the nodes, as `IP:PORT`; only the baseline runs when empty.
    pub nodes: Vec<String>,
    /// Operators' address of one node, as `IP:PORT`, by which the configuration is applied.
    pub operator: String,
    /// Bearer token of the operators' interface.
    pub operator_token: String,
    /// Process ids of the nodes, in the same order, for processor times and planned stops.
    pub node_pids: Vec<u32>,
    /// Address on which the platform stand-in listens, as `IP:PORT`.
    pub platform_listen: String,
    /// Whether the naive baseline runs too.
    pub with_baseline: bool,
    /// Length of the load of each case.
    pub case_time: Duration,
    /// Queries a second; what the case states, as a fraction of the targets' capacity, when absent.
    pub rate: Option<f64>,
    /// Longest time to wait for the nodes to become ready.
    pub ready_limit: Duration,
    /// Seed of arrivals, queries, service times and faults.
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
