//! What a run showed.

use nutmegspread_model::RolloutState;
use std::time::Duration;

/// Queries of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteReport {
    pub queries: u64,
    pub exposed: u64,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    pub seed: u64,
    pub routes: Vec<RouteReport>,
    /// When the first node braked.
    pub first_brake: Option<Duration>,
    /// Last time at which the new version got a query.
    pub last_exposed: Option<Duration>,
    /// Last state in the store.
    pub state: Option<RolloutState>,
    /// When the store first held a final state.
    pub settled_at: Option<Duration>,
    /// Shares of all nodes at the end.
    pub shares: Vec<f64>,
    /// Statements of all nodes at the end.
    pub statements: Vec<String>,
    /// Calls to the store.
    pub calls: u64,
    /// Promises seen broken.
    pub violations: Vec<String>,
}

impl RunReport {
    pub fn is_done(&self) -> bool {
        matches!(self.state, Some(RolloutState::Done { .. }))
    }

    pub fn is_rolled_back(&self) -> bool {
        matches!(self.state, Some(RolloutState::TakenBack { .. }))
    }

    /// Time for which the new version still got queries after the first brake.
    pub fn exposed_after_brake(&self) -> Duration {
        match (self.first_brake, self.last_exposed) {
            (Some(brake), Some(exposed)) => exposed.saturating_sub(brake),
            _ => Duration::ZERO,
        }
    }
}
