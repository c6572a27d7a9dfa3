//! Results of a simulated rollout.

use nutmegspread_model::RolloutState;
use std::time::Duration;

/// Number of queries of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteReport {
    pub queries: u64,
    /// Queries given to the new version.
    pub exposed: u64,
}

/// Results of a simulated rollout.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    pub seed: u64,
    pub routes: Vec<RouteReport>,
    /// When a node first set the brake.
    pub first_brake: Option<Duration>,
    /// When the new version last got a query.
    pub last_exposed: Option<Duration>,
    /// State of the record in the store at the end.
    pub state: Option<RolloutState>,
    /// When the record in the store first was final.
    pub settled_at: Option<Duration>,
    /// Share of the new version on each node at the end.
    pub shares: Vec<f64>,
    /// State that each node reports at the end.
    pub statements: Vec<String>,
    /// Number of calls to the store.
    pub calls: u64,
    /// Descriptions of violated invariants; empty if there were none.
    pub violations: Vec<String>,
}

impl RunReport {
    pub fn is_done(&self) -> bool {
        matches!(self.state, Some(RolloutState::Done { .. }))
    }

    pub fn is_rolled_back(&self) -> bool {
        matches!(self.state, Some(RolloutState::TakenBack { .. }))
    }

    /// Time from the first brake to the last query of the new version; zero if there is none.
    pub fn exposed_after_brake(&self) -> Duration {
        match (self.first_brake, self.last_exposed) {
            (Some(brake), Some(exposed)) => exposed.saturating_sub(brake),
            _ => Duration::ZERO,
        }
    }
}
