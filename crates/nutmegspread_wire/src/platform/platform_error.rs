//! Errors of platform calls, sorted by what is known about their effect.

use std::time::Duration;
use thiserror::Error;

/// Why a platform call gave no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The client itself could not be built.
    #[error("the platform client cannot be built: {message}")]
    Setup {
        /// What the HTTP library said.
        message: String,
    },
    /// No connection could be opened, so the call surely had no effect.
    #[error("the platform cannot be reached: {message}")]
    Unreachable {
        /// What the HTTP library said.
        message: String,
    },
    /// A write was sent and its answer is missing or unusable; it may have taken effect.
    #[error("the outcome of the write is unknown: {message}")]
    UnknownOutcome {
        /// What is missing.
        message: String,
    },
    /// A read was sent and its answer is missing or incomplete.
    #[error("the platform did not answer: {message}")]
    NoAnswer {
        /// What is missing.
        message: String,
    },
    /// Someone else changed or created the object first; the write had no effect.
    #[error("the object has another version")]
    Conflict,
    /// The object to change does not exist; the write had no effect.
    #[error("the object does not exist")]
    NotFound,
    /// The watch position is too old; list again.
    #[error("the watch position is no longer kept")]
    Gone,
    /// The value is above the platform's limit; the write had no effect.
    #[error("the value is above the platform's size limit")]
    TooLarge,
    /// The platform asks for fewer calls; this one had no effect.
    #[error("the platform asks for fewer calls")]
    Throttled,
    /// The platform rejected the call, which had no effect.
    #[error("the platform rejected the call with status {status}: {message}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Start of the answer's body.
        message: String,
    },
    /// The answer to a read is not what the API promises.
    #[error("the platform's answer is malformed: {message}")]
    Malformed {
        /// What was wrong.
        message: String,
    },
    /// The watch brought nothing within its bound.
    #[error("the watch was silent for {} ms", bound.as_millis())]
    WatchSilent {
        /// The bound that was exceeded.
        bound: Duration,
    },
    /// The platform ended the watch; it may be opened again.
    #[error("the platform ended the watch")]
    WatchEnded,
}

impl PlatformError {
    /// Whether a write that failed like this certainly had no effect.
    pub fn is_without_effect(&self) -> bool {
        !matches!(self, Self::UnknownOutcome { .. })
    }

    /// Whether the platform seems down or slow, so that callers should back off.
    pub fn is_outage(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. }
                | Self::UnknownOutcome { .. }
                | Self::NoAnswer { .. }
                | Self::Throttled
                | Self::WatchSilent { .. }
                | Self::WatchEnded
        )
    }
}
