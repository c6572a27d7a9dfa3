//! Why the body of a request was not taken.

/// Why the body of a request was not taken. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRefusal {
    /// It is longer than a body may be.
    TooLong,
    /// It was not complete in time.
    TimedOut,
    /// The memory for bodies is in use by others that make progress.
    NoMemory,
    /// It made no progress, and its memory was needed for others.
    Evicted,
    /// The connection ended, or the body cannot be read.
    Unreadable,
}

impl BodyRefusal {
    /// Name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::TooLong => "body_too_long",
            Self::TimedOut => "body_timed_out",
            Self::NoMemory => "no_body_memory",
            Self::Evicted => "body_evicted",
            Self::Unreadable => "bad_body",
        }
    }
}
