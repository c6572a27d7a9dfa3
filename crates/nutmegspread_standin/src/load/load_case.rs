//! The situations that are measured.

use std::fmt;
use std::str::FromStr;

/// One situation: a load and a list of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LoadCase {
    /// Nothing is wrong.
    Healthy,
    /// Nothing is wrong, at half of what the targets can bear.
    HalfLoad,
    /// One searcher in twenty is slow.
    Stragglers,
    /// A failure domain is lost without a word and comes back cold.
    DomainLost,
    /// A failure domain is drained, goes away and comes back cold.
    DomainDrained,
    /// Some warm targets turn cold.
    TargetCold,
    /// Open connections go silent.
    ConnectionsSilent,
    /// The platform's service is down.
    PlatformOutage,
    /// A rollout brings a version that fails on one route.
    BadVersion,
    /// One node is stopped as planned.
    NodeStopped,
}

impl LoadCase {
    /// All cases, in the order of a full run.
    pub const ALL: [Self; 10] = [
        Self::Healthy,
        Self::HalfLoad,
        Self::Stragglers,
        Self::DomainLost,
        Self::DomainDrained,
        Self::TargetCold,
        Self::ConnectionsSilent,
        Self::PlatformOutage,
        Self::BadVersion,
        Self::NodeStopped,
    ];

    /// Name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::HalfLoad => "half-load",
            Self::Stragglers => "stragglers",
            Self::DomainLost => "domain-lost",
            Self::DomainDrained => "domain-drained",
            Self::TargetCold => "target-cold",
            Self::ConnectionsSilent => "connections-silent",
            Self::PlatformOutage => "platform-outage",
            Self::BadVersion => "bad-version",
            Self::NodeStopped => "node-stopped",
        }
    }

    /// Whether the case touches only nodes, so that the baseline has nothing to show.
    pub fn is_for_nodes_only(self) -> bool {
        matches!(
            self,
            Self::PlatformOutage | Self::BadVersion | Self::NodeStopped
        )
    }

    /// Load as a fraction of what the targets of the service can bear.
    pub fn load_fraction(self) -> f64 {
        match self {
            Self::HalfLoad => 0.5,
            _ => 0.3,
        }
    }
}

impl fmt::Display for LoadCase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

impl FromStr for LoadCase {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let mut cases = Self::ALL.into_iter();
        cases.find(|case| case.as_str() == name).ok_or_else(|| {
            let names = Self::ALL.map(Self::as_str).join(", ");
            format!("no case {name:?}; expected one of {names}")
        })
    }
}
