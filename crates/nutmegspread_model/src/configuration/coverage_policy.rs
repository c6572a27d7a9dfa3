//! When a query may be answered without every shard.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Deadlines and the least coverage of a service's answers.
///
/// At the soft deadline a query is answered as soon as `minimum_coverage` is reached. At the
/// hard deadline it is answered or refused with whatever there is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CoveragePolicy {
    /// Time after which an incomplete answer may be given, in milliseconds from arrival.
    #[serde(rename = "soft_deadline_ms", with = "crate::duration_ms")]
    pub soft_deadline: Duration,
    /// Time at which the query ends, in milliseconds from arrival.
    #[serde(rename = "hard_deadline_ms", with = "crate::duration_ms")]
    pub hard_deadline: Duration,
    /// Fraction of shards, 0 to 1, that an answer at the soft deadline needs.
    pub minimum_coverage: f64,
}

impl Default for CoveragePolicy {
    fn default() -> Self {
        Self {
            soft_deadline: Duration::from_millis(200),
            hard_deadline: Duration::from_millis(1000),
            minimum_coverage: 1.0,
        }
    }
}
