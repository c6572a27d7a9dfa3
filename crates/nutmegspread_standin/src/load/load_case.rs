//! Cases of a load run.

use std::fmt;
use std::str::FromStr;

/// One case: a load level and a schedule of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LoadCase {
    /// No faults, at the normal load.
    Healthy,
    /// No faults, at half of the targets' capacity.
    HalfLoad,
    /// About one searcher in twenty is slow.
    Stragglers,
    /// A failure domain becomes unresponsive without notice and returns cold.
    DomainLost,
    /// A failure domain is drained, becomes unresponsive and returns cold.
    DomainDrained,
    /// Some warm targets turn cold.
    TargetCold,
    /// Open connections of some targets stall: no answer and no error.
    ConnectionsSilent,
    /// The platform first answers with errors, then not at all.
    PlatformOutage,
    /// A rollout starts a version that fails on one route.
    BadVersion,
    /// One node receives the signal for a planned stop.
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

    /// Whether the case runs without the baseline, because its faults affect only nodes.
    pub fn skips_baseline(self) -> bool {
        matches!(
            self,
            Self::PlatformOutage | Self::BadVersion | Self::NodeStopped
        )
    }

    /// Load as a fraction of the capacity of the service's targets.
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
            format!("unknown case {name:?}; expected one of {names}")
        })
    }
}
