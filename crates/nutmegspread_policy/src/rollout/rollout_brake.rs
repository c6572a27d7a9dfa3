//! Brakes: a version seen bad stops at once, without the platform.

use indexmap::IndexMap;
use nutmegspread_model::{DomainName, NodeId, RolloutId, RouteName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// What was worse in the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExcessMeasure {
    /// Share of failed queries.
    Errors,
    /// Share of queries of which a target shed a part.
    Sheds,
    /// Latency at the median.
    MedianLatency,
    /// Latency in the tail.
    TailLatency,
}

/// Why a node braked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrakeReason {
    /// Node that found the version bad.
    pub node: NodeId,
    /// Route on which it was bad.
    pub route: RouteName,
    /// Failure domain in which it was bad; `None` when it took all domains to tell.
    pub domain: Option<DomainName>,
    /// What was worse.
    pub measure: ExcessMeasure,
}

impl fmt::Display for BrakeReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let measure = match self.measure {
            ExcessMeasure::Errors => "more errors",
            ExcessMeasure::Sheds => "more shed requests",
            ExcessMeasure::MedianLatency => "slower at the median",
            ExcessMeasure::TailLatency => "slower in the tail",
        };
        write!(formatter, "{measure} on route {}", self.route)?;
        if let Some(domain) = &self.domain {
            write!(formatter, " in domain {domain}")?;
        }
        write!(formatter, ", seen by {}", self.node)
    }
}

/// Rollouts that some node braked; ids are only ever added.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrakeSet {
    /// Reason by rollout; the first one seen stays.
    pub reasons: IndexMap<RolloutId, BrakeReason>,
}

impl BrakeSet {
    /// Adds the brakes of another set.
    pub fn merge(&mut self, other: &Self) {
        for (rollout, reason) in &other.reasons {
            self.insert(rollout, reason);
        }
    }

    /// Adds one brake.
    pub fn insert(&mut self, rollout: &RolloutId, reason: &BrakeReason) {
        let entry = self.reasons.entry(rollout.clone());
        entry.or_insert_with(|| reason.clone());
    }
}
