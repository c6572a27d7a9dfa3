//! Conditions under which a query is answered although replies of some shards are missing.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Deadlines and minimum coverage of a service's answers.
///
/// From the soft deadline on, a query is answered as soon as `minimum_coverage` is reached. At the
/// hard deadline the query ends: it is answered with the replies received so far, or refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CoveragePolicy {
    /// Time from a query's arrival until an incomplete answer is allowed, in milliseconds.
    #[serde(rename = "soft_deadline_ms", with = "crate::duration_ms")]
    pub soft_deadline: Duration,
    /// Time from a query's arrival until the query ends, in milliseconds.
    #[serde(rename = "hard_deadline_ms", with = "crate::duration_ms")]
    pub hard_deadline: Duration,
    /// Fraction of the shards, from 0 to 1, that an incomplete answer must cover.
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
