//! Limits on callers.

use nutmegspread_tier::{CheckLimits, ProgressSettings};
use std::time::Duration;

/// Bytes in a MB of the settings.
const MB: f64 = 1e6;
/// Fraction of the memory for bodies of callers' requests.
const BODY_FRACTION: f64 = 0.25;
/// Smallest memory for bodies in bytes: room for a body of the default limit while its buffer grows, on
/// a node with any settings.
const LEAST_BODY_BYTES: usize = 1024 * 1024;

/// Limits on callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// Bytes that all bodies together may take.
    pub body_bytes: usize,
    /// Number of open connections.
    pub connections: usize,
    /// Time limits on bodies.
    pub progress: ProgressSettings,
    /// Time in which a caller has to take some of an answer that waits for it.
    pub answer_time: Duration,
}

impl CallerSettings {
    /// Limits of a node with so much memory and so many file descriptors: a quarter of the memory is for
    /// bodies and half of the descriptors are for connections.
    pub fn of_machine(memory_mb: f64, descriptors: usize) -> Self {
        Self {
            body_bytes: Self::body_bytes_of(memory_mb * BODY_FRACTION),
            connections: (descriptors / 2).max(1),
            ..Self::default()
        }
    }

    /// Bytes that bodies may take if `megabytes` are for them.
    pub fn body_bytes_of(megabytes: f64) -> usize {
        ((megabytes * MB) as usize).max(LEAST_BODY_BYTES)
    }

    /// Sizes against which a configuration is checked on a node with these limits.
    pub fn check_limits(&self) -> CheckLimits {
        CheckLimits {
            body_memory: self.body_bytes,
            connections: self.connections,
            ..CheckLimits::default()
        }
    }
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            body_bytes: 40_000_000,
            connections: 2048,
            progress: ProgressSettings::default(),
            answer_time: Duration::from_secs(30),
        }
    }
}
