//! Brakes: marks that the new version of a rollout is bad.
//!
//! A brake stops the version's traffic on every node that has received it. Nodes send brakes to
//! their peers, so that a bad version gets no more traffic even if the platform is unavailable.

use indexmap::IndexMap;
use nutmegspread_model::{DomainName, NodeId, RolloutId, RouteName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The measure in which the new version was worse than the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExcessMeasure {
    /// The fraction of queries that failed.
    Errors,
    /// The fraction of queries for which targets shed (rejected because of overload) at least one
    /// request.
    Sheds,
    /// The median latency.
    MedianLatency,
    /// The latency at a high quantile.
    TailLatency,
}

/// Why a node set the brake on a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrakeReason {
    /// The node that found the version bad.
    pub node: NodeId,
    /// The route on which the version was bad.
    pub route: RouteName,
    /// The failure domain in which the version was bad; `None` if only the counts of all domains
    /// together showed it.
    pub domain: Option<DomainName>,
    /// The measure in which the version was worse.
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

/// Rollouts on which a node has set the brake.
///
/// Entries are never removed, so sets of several nodes can be merged in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrakeSet {
    /// Why the brake was set, for each rollout; the first reason that was inserted stays.
    pub reasons: IndexMap<RolloutId, BrakeReason>,
}

impl BrakeSet {
    /// Adds the brakes of another set; existing reasons stay.
    pub fn merge(&mut self, other: &Self) {
        for (rollout, reason) in &other.reasons {
            self.insert(rollout, reason);
        }
    }

    /// Adds the brake of one rollout; an existing reason stays.
    pub fn insert(&mut self, rollout: &RolloutId, reason: &BrakeReason) {
        let entry = self.reasons.entry(rollout.clone());
        entry.or_insert_with(|| reason.clone());
    }
}
