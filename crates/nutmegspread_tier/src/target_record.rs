//! Registration of a target.

use crate::{FailureDomain, ServiceName, TargetId};
use std::net::SocketAddr;
use std::time::Duration;

/// A target's registration in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRecord {
    /// Id of the target; a target that restarts may register under the same id with a later start.
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
    /// Whether the target drains and must get no further requests.
    pub draining: bool,
    /// Time for which the target remains cold after its start.
    pub cold_left: Duration,
    /// Start time of the target in milliseconds since the Unix epoch; distinguishes starts with the
    /// same id.
    pub started_ms: u64,
    /// Sequence number of this registration among those of the same start.
    pub report: u64,
}
