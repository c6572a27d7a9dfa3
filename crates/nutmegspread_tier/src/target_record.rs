//! What a target says of itself.

use crate::{FailureDomain, ServiceName, TargetId};
use std::net::SocketAddr;
use std::time::Duration;

/// One target as its registration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRecord {
    /// Id; the same id may return with a later start.
    pub id: TargetId,
    /// Service that the target runs.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain of its VM.
    pub domain: FailureDomain,
    /// Version of its software.
    pub version: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it asks for no further requests.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
    /// Time of its start in milliseconds since the epoch; tells one start of an id from the next.
    pub started_ms: u64,
    /// Number of the report within one start.
    pub report: u64,
}
