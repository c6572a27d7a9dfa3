//! What a check found in a configuration, and where.

use crate::{RouteName, ServiceName};
use std::fmt;

/// Part of a configuration that a finding is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationPart {
    /// A route.
    Route {
        /// Name of the route.
        name: RouteName,
        /// Host name, in lower case.
        host: String,
        /// Path prefix.
        prefix: String,
        /// Number of routes before it that have the same name, host and prefix.
        copies: usize,
    },
    /// The limits of a service's targets.
    Service(ServiceName),
    /// An entry of the list of tenants, by its position from 0.
    TenantEntry(usize),
    /// The list of tenants.
    Tenants,
    /// The limits on requests and connections of callers.
    Limits,
}

/// Field of a part that a finding is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckedField {
    /// The part as a whole.
    Whole,
    /// Host name of a route.
    Host,
    /// Path prefix of a route.
    Prefix,
    /// Latency to aim at.
    Objective,
    /// Largest number of targets on which a request may run.
    Attempts,
    /// Services by weight.
    Split,
    /// Shards.
    Gather,
    /// Smallest fraction of the shards that must answer.
    Coverage,
    /// Largest size of a request head.
    HeadBytes,
    /// Largest size of a request body.
    BodyBytes,
}

/// Something in a configuration that an operator hardly meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationFinding {
    /// Part that the finding is about.
    pub part: ConfigurationPart,
    /// Field of that part.
    pub field: CheckedField,
    /// Whether nodes leave the part out because they cannot read it.
    pub is_error: bool,
    /// What is wrong.
    pub message: String,
}

impl ConfigurationFinding {
    /// Creates a finding that does not keep nodes from using the part.
    pub fn warning(part: ConfigurationPart, field: CheckedField, message: String) -> Self {
        Self {
            part,
            field,
            is_error: false,
            message,
        }
    }
}

impl fmt::Display for ConfigurationPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Route { name, .. } => write!(formatter, "route {name:?}"),
            Self::Service(name) => write!(formatter, "service {name:?}"),
            Self::TenantEntry(entry) => write!(formatter, "entry {entry} of the tenants"),
            Self::Tenants => formatter.write_str("tenants"),
            Self::Limits => formatter.write_str("limits"),
        }
    }
}
