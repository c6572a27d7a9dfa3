//! Limits on the heads of requests.

use std::time::Duration;

/// Largest number of headers of a request. The parser reserves room for all of them anew for each request:
/// with 2,048 this takes 8 us of processor time, and from 4,096 on 59 us and more, as the allocator then
/// returns the memory to the system each time.
pub const MOST_HEADERS: usize = 2048;

/// Limits on the head of each request on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Time from the first byte until the head has to be complete.
    pub time: Duration,
    /// Bytes that may be read before it is complete, with those of a body that follow in the same read.
    pub bytes: usize,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self {
            time: Duration::from_millis(3000),
            bytes: 32 * 1024,
        }
    }
}
