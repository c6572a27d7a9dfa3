//! Settings of a node.

use super::PlatformAccess;
use nutmegspread_caller::{CallerSettings, ProgressSettings};
use nutmegspread_model::{DomainName, FieldError, FieldPath, NodeId};
use nutmegspread_policy::fleet::FleetSettings;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Id, addresses, failure domain and limits of one node.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeSettings {
    /// Id of the node, unique in the deployment.
    pub node: NodeId,
    /// Failure domain of the node's VM.
    pub domain: DomainName,
    /// IP address and port of the callers' listener; with port 0, any free port is used.
    pub caller_listen: String,
    /// IP address and port of the listener for peers.
    pub peer_listen: String,
    /// IP address and port of the operators' listener.
    pub operator_listen: String,
    /// Bearer token that operators must present; never written to logs or dumps.
    #[serde(skip_serializing)]
    pub operator_token: String,
    /// Address of the platform, and time limits for calls to it.
    pub platform: PlatformAccess,
    /// IP address and UDP port of a statsd server; without one, metrics are discarded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub statsd: Option<String>,
    /// Number of threads that process traffic, from 1 to 64.
    pub traffic_threads: usize,
    /// Maximum duration of a planned stop, in milliseconds.
    #[serde(rename = "stop_limit_ms", with = "nutmegspread_model::duration_ms")]
    pub stop_limit: Duration,
    /// Time for which callers may use a list of node addresses, in milliseconds.
    #[serde(rename = "address_keep_ms", with = "nutmegspread_model::duration_ms")]
    pub address_keep: Duration,
    /// Memory of the node's VM, in MB.
    pub memory_mb: u32,
    /// Number of file descriptors that the process may open.
    pub max_descriptors: usize,
    /// Memory for the bodies of callers' requests in MB; a quarter of `memory_mb` if missing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub caller_body_mb: Option<u32>,
    /// Number of connections of callers; half of `max_descriptors` if missing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub caller_connections: Option<usize>,
    /// Time from the first byte of a request head until it has to be complete, in milliseconds.
    #[serde(rename = "header_timeout_ms", with = "nutmegspread_model::duration_ms")]
    pub header_timeout: Duration,
    /// Time within which the body of a request has to be complete, in milliseconds.
    #[serde(rename = "body_timeout_ms", with = "nutmegspread_model::duration_ms")]
    pub body_timeout: Duration,
    /// Minimum severity of log lines: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            node: "node-1".into(),
            domain: "domain-1".into(),
            caller_listen: "127.0.0.1:0".into(),
            peer_listen: "127.0.0.1:0".into(),
            operator_listen: "127.0.0.1:0".into(),
            operator_token: String::new(),
            platform: PlatformAccess::default(),
            statsd: None,
            traffic_threads: 2,
            stop_limit: Duration::from_secs(20),
            address_keep: Duration::from_secs(5),
            memory_mb: 512,
            max_descriptors: 4096,
            caller_body_mb: None,
            caller_connections: None,
            header_timeout: Duration::from_secs(3),
            body_timeout: Duration::from_secs(10),
            log_level: "info".into(),
        }
    }
}

impl fmt::Debug for NodeSettings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("NodeSettings")
            .field("node", &self.node)
            .field("domain", &self.domain)
            .field("operator_token", &"hidden")
            .finish_non_exhaustive()
    }
}

impl NodeSettings {
    /// Time for which a stopping node continues to serve. During this time callers may still use
    /// its address, and peers that do not know of the stop yet may send it sub-requests.
    pub fn leave_duration(&self) -> Duration {
        let fleet = FleetSettings {
            keep_addresses_for: self.address_keep,
            ..FleetSettings::default()
        };
        fleet.leave_duration()
    }

    /// Limits on callers.
    pub fn caller_settings(&self) -> CallerSettings {
        let machine = CallerSettings::of_machine(f64::from(self.memory_mb), self.max_descriptors);
        let body_mb = self.caller_body_mb.map(f64::from);
        CallerSettings {
            body_bytes: body_mb.map_or(machine.body_bytes, CallerSettings::body_bytes_of),
            connections: self.caller_connections.unwrap_or(machine.connections),
            progress: ProgressSettings {
                body_time: self.body_timeout,
                ..machine.progress
            },
            ..machine
        }
    }

    /// Checks every field and returns all errors.
    pub fn check(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let mut require = |is_valid: bool, field: &str, expected: &str, found: String| {
            if !is_valid {
                let steps = field.split('.');
                let field = steps.fold(FieldPath::default(), |path, step| path.field(step));
                errors.push(FieldError {
                    field,
                    expected: expected.into(),
                    found,
                });
            }
        };
        let is_address = |text: &str| text.parse::<SocketAddr>().is_ok();
        let address = "an IP address and a port";
        require(
            !self.node.is_empty(),
            "node",
            "a name",
            self.node.to_string(),
        );
        require(
            !self.domain.is_empty(),
            "domain",
            "a name",
            self.domain.to_string(),
        );
        for (field, value) in [
            ("caller_listen", &self.caller_listen),
            ("peer_listen", &self.peer_listen),
            ("operator_listen", &self.operator_listen),
        ] {
            require(is_address(value), field, address, value.clone());
        }
        let statsd = self.statsd.clone().unwrap_or_default();
        require(
            self.statsd.is_none() || is_address(&statsd),
            "statsd",
            address,
            statsd,
        );
        require(
            self.operator_token.len() >= MIN_TOKEN_BYTES,
            "operator_token",
            "at least 8 bytes",
            "a shorter token".into(),
        );
        require(
            is_address(&self.platform.address),
            "platform.address",
            address,
            self.platform.address.clone(),
        );
        for (field, value) in [
            ("platform.call_timeout_ms", self.platform.call_timeout),
            ("platform.watch_silence_ms", self.platform.watch_silence),
            ("stop_limit_ms", self.stop_limit),
            ("address_keep_ms", self.address_keep),
            ("header_timeout_ms", self.header_timeout),
            ("body_timeout_ms", self.body_timeout),
        ] {
            require(
                !value.is_zero(),
                field,
                "more than 0",
                value.as_millis().to_string(),
            );
        }
        require(
            self.stop_limit > self.leave_duration(),
            "stop_limit_ms",
            "more than address_keep_ms plus 2500",
            self.stop_limit.as_millis().to_string(),
        );
        for (field, value) in [
            ("memory_mb", self.memory_mb as usize),
            ("max_descriptors", self.max_descriptors),
            ("caller_body_mb", self.caller_body_mb.unwrap_or(1) as usize),
            ("caller_connections", self.caller_connections.unwrap_or(1)),
        ] {
            require(value > 0, field, "more than 0", value.to_string());
        }
        require(
            (1..=MAX_TRAFFIC_THREADS).contains(&self.traffic_threads),
            "traffic_threads",
            "1 to 64",
            self.traffic_threads.to_string(),
        );
        require(
            self.log_level.parse::<log::LevelFilter>().is_ok(),
            "log_level",
            "error, warn, info, debug or trace",
            self.log_level.clone(),
        );
        errors
    }
}

const MIN_TOKEN_BYTES: usize = 8;
const MAX_TRAFFIC_THREADS: usize = 64;
