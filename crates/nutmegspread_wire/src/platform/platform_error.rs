//! Errors of platform calls, which tell whether a failed write may have taken effect.

use std::time::Duration;
use thiserror::Error;

/// Why a platform call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The HTTP client could not be built.
    #[error("the platform client cannot be built: {message}")]
    Setup {
        /// Error message of the HTTP library.
        message: String,
    },
    /// No connection could be opened, so the call had no effect.
    #[error("the platform cannot be reached: {message}")]
    Unreachable {
        /// Error message of the HTTP library.
        message: String,
    },
    /// A write was sent, but no answer with a 2xx or 4xx status was received; the write may have taken effect.
    #[error("the outcome of the write is unknown: {message}")]
    UnknownOutcome {
        /// Why there is no valid answer.
        message: String,
    },
    /// A read was sent, but no complete answer was received, or its status is neither 2xx nor 4xx.
    #[error("the platform did not answer: {message}")]
    NoAnswer {
        /// Why there is no valid answer.
        message: String,
    },
    /// The object was changed or created by another writer first; the write had no effect.
    #[error("the object was changed or created by another writer")]
    Conflict,
    /// The object does not exist; a write had no effect.
    #[error("the object does not exist")]
    NotFound,
    /// The platform has dropped the history from the version at which the watch should continue;
    /// the objects have to be listed again.
    #[error("the platform no longer has the history from the watch position")]
    Gone,
    /// The value is larger than the platform allows; the write had no effect.
    #[error("the value is larger than the platform's size limit")]
    TooLarge,
    /// The platform rejected the call because it gets too many calls; the call had no effect.
    #[error("the platform rejected the call because of too many calls")]
    Throttled,
    /// The platform rejected the call with another 4xx status; the call had no effect.
    #[error("the platform rejected the call with status {status}: {message}")]
    Rejected {
        /// HTTP status of the answer, or the code of a watch's `ERROR` event.
        status: u16,
        /// Start of the answer's body, or the message of the `ERROR` event.
        message: String,
    },
    /// The answer to a read, or an event of a watch, does not conform to the object API.
    #[error("the platform's answer is malformed: {message}")]
    Malformed {
        /// How the answer deviates from the API.
        message: String,
    },
    /// The watch received neither an event nor a bookmark within its time limit.
    #[error("the watch received no event or bookmark for {} ms", bound.as_millis())]
    WatchSilent {
        /// The time limit that was exceeded.
        bound: Duration,
    },
    /// The platform closed the watch's connection; the watch may be opened again.
    #[error("the platform closed the watch")]
    WatchEnded,
}

impl PlatformError {
    /// Whether a write that failed with this error certainly had no effect.
    pub fn is_without_effect(&self) -> bool {
        !matches!(self, Self::UnknownOutcome { .. })
    }

    /// Whether the platform seems to be down or overloaded, so that callers should back off.
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
