//! Settings of a node, in JSON with comments.

use crate::{EdgeError, UsageSettings};
use nutmegspread_caller::CallerSettings;
use nutmegspread_tier::{ExposureSettings, MemberRecord, ProgressSettings};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// Longest drain time in seconds; a longer one counts as this.
const MAX_DRAIN_S: f64 = 3600.0;
/// Fraction of the drain time that is used.
const DRAIN_FRACTION: f64 = 0.9;
/// Longest interval between renewals in seconds; a longer one counts as this.
const MAX_RENEWAL_S: f64 = 3600.0;
/// Longest time for a body in seconds; a longer one counts as this.
const MAX_BODY_S: f64 = 3600.0;
/// Number of intervals without a renewal after which a registration may lapse. The store removes it
/// after three, one of which may have passed before an outage.
const LAPSE_INTERVALS: u32 = 2;

/// Addresses that a node listens on.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for requests that ask whether the node is ready.
    pub ready: SocketAddr,
    /// Address for requests of callers for the addresses of nodes.
    pub addresses: SocketAddr,
}

/// Settings of a node, as read from its settings file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node, unique among the nodes.
    pub node: String,
    /// Failure domain of the node's VM.
    pub domain: String,
    /// Address of the node's VM.
    pub address: IpAddr,
    /// Addresses that the node listens on.
    pub listen: ListenSettings,
    /// Port for messages between nodes, the same on all VMs.
    pub peer_port: u16,
    /// Addresses of some other nodes, to find the rest at the start. Only the host part is used;
    /// the port is `peer_port`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Processor cores of the VM; may be a fraction of a core.
    pub cores: f64,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time in seconds for which the store keeps its history of changes.
    #[serde(default = "default_history_s")]
    pub history_s: f64,
    /// Extra attempts allowed per request, summed over all nodes.
    pub retry_ratio: f64,
    /// Extra attempts allowed per window on top of `retry_ratio`, also without requests, summed
    /// over all nodes.
    pub retry_slack: f64,
    /// Length of the window of the retry budget in seconds.
    pub retry_window_s: f64,
    /// Upper limit on the requests to a cold target, as a multiple of the requests per second that
    /// it is configured to bear.
    pub cold_factor: f64,
    /// Requests per second to a cold target on top of this multiple.
    pub cold_slack: f64,
    /// Fraction of a service's requests that the new version of a rollout may get before traffic
    /// moves to it.
    #[serde(default = "default_exposure_share")]
    pub exposure_share: f64,
    /// Number of requests that the new version may get on top of this fraction, summed over all
    /// nodes.
    #[serde(default = "default_exposure_slack")]
    pub exposure_slack: f64,
    /// Time in milliseconds for which a target that leaves may still get requests.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: f64,
    /// Time in milliseconds between two renewals of a target's registration.
    #[serde(default = "default_renewal_ms")]
    pub renewal_ms: f64,
    /// Reports of the tenants' usage; none are made without it. Taken at the start only.
    #[serde(default)]
    pub usage: Option<UsageSettings>,
    /// Longest time in seconds for which callers may keep the addresses of nodes.
    pub longest_keep_s: f64,
    /// Time in seconds from the stop signal until the process is killed.
    pub stop_grace_s: f64,
    /// Whether requests may be refused, and extra attempts left out, while this node or the targets are
    /// overloaded.
    #[serde(default = "default_overload_control")]
    pub overload_control: bool,
    /// Port on which the node serves its metrics.
    #[serde(default = "default_metrics_port")]
    pub metrics_port: u16,
    /// Memory of the node's VM in MB; the process is killed beyond it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Number of file descriptors that the process may open.
    #[serde(default = "default_max_descriptors")]
    pub max_descriptors: f64,
    /// Memory in MB for the bodies of callers' requests; a quarter of `memory_mb` if missing.
    #[serde(default)]
    pub caller_body_mb: Option<f64>,
    /// Number of connections of callers; half of `max_descriptors` if missing.
    #[serde(default)]
    pub caller_connections: Option<usize>,
    /// Time in milliseconds within which the body of a request has to be complete.
    #[serde(default = "default_body_timeout_ms")]
    pub body_timeout_ms: f64,
}

fn default_body_timeout_ms() -> f64 {
    10_000.0
}

fn default_memory_mb() -> f64 {
    160.0
}

fn default_max_descriptors() -> f64 {
    4096.0
}

fn default_overload_control() -> bool {
    true
}

fn default_metrics_port() -> u16 {
    9464
}

fn default_history_s() -> f64 {
    20.0
}

fn default_drain_ms() -> f64 {
    3000.0
}

fn default_renewal_ms() -> f64 {
    1200.0
}

fn default_exposure_share() -> f64 {
    ExposureSettings::default().fraction
}

fn default_exposure_slack() -> f64 {
    ExposureSettings::default().slack
}

impl NodeSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// When the file cannot be read, or contains an invalid line or field; the error states the
    /// position of the first one.
    pub fn load(path: &Path) -> Result<Self, EdgeError> {
        let text = std::fs::read_to_string(path).map_err(|source| EdgeError::SettingsFile {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text).map_err(|reason| EdgeError::Settings {
            path: path.to_owned(),
            reason,
        })
    }

    /// Reads settings from text.
    ///
    /// # Errors
    /// The position and cause of the first line that cannot be parsed, or all fields with invalid
    /// values.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|error| error.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns an error that lists every field with an invalid value.
    fn check(&self) -> Result<(), String> {
        let positive = [
            ("cores", self.cores),
            ("history_s", self.history_s),
            ("retry_window_s", self.retry_window_s),
            ("longest_keep_s", self.longest_keep_s),
            ("renewal_ms", self.renewal_ms),
            ("stop_grace_s", self.stop_grace_s),
            ("memory_mb", self.memory_mb),
            ("max_descriptors", self.max_descriptors),
            ("caller_body_mb", self.caller_body_mb.unwrap_or(1.0)),
            ("body_timeout_ms", self.body_timeout_ms),
        ];
        let not_negative = [
            ("retry_ratio", self.retry_ratio),
            ("retry_slack", self.retry_slack),
            ("cold_factor", self.cold_factor),
            ("cold_slack", self.cold_slack),
            ("exposure_share", self.exposure_share),
            ("exposure_slack", self.exposure_slack),
            ("drain_ms", self.drain_ms),
        ];
        let usage = self.usage.iter().flat_map(UsageSettings::positive_fields);
        let positive: Vec<(&str, f64)> = positive.into_iter().chain(usage).collect();
        let positive = positive
            .iter()
            .filter(|(_, value)| *value <= 0.0 || !value.is_finite())
            .map(|(field, value)| format!("field {field:?} must be above 0, but is {value}"));
        let not_negative = not_negative
            .iter()
            .filter(|(_, value)| *value < 0.0 || !value.is_finite())
            .map(|(field, value)| format!("field {field:?} must not be negative, but is {value}"));
        let errors: Vec<String> = positive.chain(not_negative).collect();
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors.join("; "))
        }
    }

    /// Time for which this node sends requests to a target that leaves. It is shorter than the limit,
    /// as a request takes a while to arrive.
    pub fn drain_time(&self) -> Duration {
        Duration::from_secs_f64((self.drain_ms * DRAIN_FRACTION / 1000.0).min(MAX_DRAIN_S))
    }

    /// Shortest outage of the store in which a registration lapses.
    pub fn lapse_time(&self) -> Duration {
        Duration::from_secs_f64((self.renewal_ms / 1000.0).min(MAX_RENEWAL_S)) * LAPSE_INTERVALS
    }

    /// Limit on the requests that the new version of a rollout may get before traffic moves to it.
    pub fn exposure(&self) -> ExposureSettings {
        ExposureSettings {
            fraction: self.exposure_share,
            slack: self.exposure_slack,
        }
    }

    /// Limits on callers.
    pub fn caller_settings(&self) -> CallerSettings {
        let machine = CallerSettings::of_machine(self.memory_mb, self.max_descriptors as usize);
        let body_s = (self.body_timeout_ms / 1000.0).min(MAX_BODY_S);
        CallerSettings {
            body_bytes: self
                .caller_body_mb
                .map_or(machine.body_bytes, CallerSettings::body_bytes_of),
            connections: self
                .caller_connections
                .unwrap_or(machine.connections)
                .max(1),
            progress: ProgressSettings {
                body_time: Duration::from_secs_f64(body_s),
                ..machine.progress
            },
            ..machine
        }
    }

    /// Record of a node with these settings that starts at `started_ms`, in milliseconds since the
    /// Unix epoch.
    pub fn member_record(&self, started_ms: u64) -> MemberRecord {
        MemberRecord {
            node: self.node.as_str().into(),
            started_ms,
            callers: self.listen.callers,
            peers: self.peers(),
            domain: self.domain.as_str().into(),
            cores: self.cores,
            ready: false,
            serves: true,
            reaches_store: true,
            revisions: Vec::new(),
            ages_ms: Vec::new(),
            known: Vec::new(),
            rollouts: Vec::new(),
            is_rare: false,
            table: 0,
            level: 0,
            era: 0,
            kept_version: 0,
        }
    }

    /// Address for heartbeats and relay calls of other nodes.
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_port)
    }
}
