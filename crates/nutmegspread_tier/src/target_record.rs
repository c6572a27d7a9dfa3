//! A target's registration in the store.

use crate::{FailureDomain, ServiceName, TargetId};
use std::net::SocketAddr;
use std::time::Duration;

/// A target's registration in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRecord {
    /// Id of the target; a target may keep its id when it restarts.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Failure domain of the target's VM.
    pub domain: FailureDomain,
    /// Version of the target's software.
    pub version: String,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target is being drained and must get no new requests.
    pub draining: bool,
    /// Time for which the target stays cold from the moment that this registration is read; a cold
    /// target has started only a short time ago and bears less than its limits.
    pub cold_left: Duration,
    /// Start time of the target in milliseconds since the Unix epoch; tells a restarted target from
    /// an earlier one with the same id.
    pub started_ms: u64,
    /// Sequence number of this registration; larger in each further registration that the target
    /// makes until it restarts.
    pub report: u64,
}

impl TargetRecord {
    /// Place of this registration among all that are made under the same id; later ones are
    /// greater.
    pub fn order(&self) -> (u64, u64) {
        (self.started_ms, self.report)
    }
}
