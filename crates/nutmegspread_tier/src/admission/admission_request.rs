//! What admission has to know of a request.

use crate::RouteName;
use std::time::Duration;

/// What admission has to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Route of the request.
    pub route: &'a RouteName,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Key of the tenant, or of another source, between which admission is even; a hash.
    pub source: u64,
    /// Number of services that get the request.
    pub parts: usize,
    /// Latency to aim at.
    pub objective: Duration,
    /// Time that callers of the route have at first.
    pub timeout: Duration,
    /// Time that is left to answer the caller.
    pub time_limit: Duration,
}

/// A request as it counts against one budget.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionOffer {
    /// Rank of the priority.
    pub rank: usize,
    /// Key of the source of the request.
    pub source: u64,
    /// Work that the request causes, in the unit of the budget.
    pub work: f64,
}
