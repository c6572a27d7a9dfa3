//! What is expected of one attempt of a request.

use std::time::Duration;

/// What is expected of one attempt of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCost {
    /// Latency to be expected of a normal target, with the usual waiting there.
    pub latency: Duration,
    /// Time that a normal target works on the attempt; `None` while there is no estimate.
    pub work: Option<Duration>,
}

impl From<Duration> for RequestCost {
    /// The expectation of a latency, without an estimate of the work.
    fn from(latency: Duration) -> Self {
        Self {
            latency,
            work: None,
        }
    }
}
