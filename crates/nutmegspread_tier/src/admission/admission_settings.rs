//! How fast admission is lowered and raised.

use crate::room::RoomSettings;
use std::time::Duration;

/// How fast admission is lowered and raised.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Thresholds between calm and overloaded.
    pub room: RoomSettings,
    /// Time between two adjustments. Shorter times would lower the budget again before the effect of
    /// the last adjustment shows in the delays.
    pub adjust_interval: Duration,
    /// Level from which requests begin to be refused, if it stays for `onset_time`. A queue that
    /// empties by itself, or targets that fail for a moment, cost callers less than refusals.
    pub onset_level: f64,
    /// Time for which the level has to stay at `onset_level` or above.
    pub onset_time: Duration,
    /// Fraction by which the budget is lowered in one adjustment at level 1; proportionally less at
    /// lower levels.
    pub decrease: f64,
    /// Fraction of the work offered, or of the peak of the work done if this is larger, by which the
    /// budget is raised in the first calm second.
    pub increase: f64,
    /// Calm time after which the increase has doubled; it grows with the square of the calm time.
    pub growth_time: Duration,
    /// Smallest budget, as a fraction of the peak of the work done.
    pub least_budget: f64,
    /// Smallest budget, as a fraction of the work offered. A node that has just started, or gets the
    /// requests of another one, has done little work by which to judge.
    pub least_share: f64,
    /// Time constant with which the peak is forgotten.
    pub peak_time: Duration,
    /// Calm time after which a budget that exceeds the demand is lifted.
    pub calm_time: Duration,
    /// Smallest share of a priority or a tenant, as a fraction of the share of all requests. Slightly
    /// above a quarter, the least that is promised, as admission is random.
    pub floor: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            room: RoomSettings::default(),
            adjust_interval: Duration::from_millis(100),
            onset_level: 0.5,
            onset_time: Duration::from_millis(300),
            decrease: 0.5,
            increase: 0.12,
            growth_time: Duration::from_millis(500),
            least_budget: 0.3,
            least_share: 0.25,
            peak_time: Duration::from_secs(10),
            calm_time: Duration::from_millis(400),
            floor: 0.3,
        }
    }
}
