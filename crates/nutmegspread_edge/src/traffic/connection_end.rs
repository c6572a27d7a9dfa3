//! Why a connection to a target could not be opened or has ended.

use std::io::ErrorKind;

/// Why a connection could not be opened or has ended.
#[derive(Clone, Debug)]
pub struct ConnectionEnd {
    /// Cause, for the log.
    pub reason: String,
    /// Whether the target reset the connection.
    pub is_reset: bool,
    /// Whether connections without an attempt usually end in this way, which is not logged.
    pub is_usual: bool,
}

impl ConnectionEnd {
    /// Creates an end that the target did not cause by a reset.
    pub fn new(reason: &str) -> Self {
        Self {
            reason: reason.to_owned(),
            is_reset: false,
            is_usual: false,
        }
    }

    /// Creates an end by a close that either side makes of connections that it needs no more.
    pub fn usual(reason: &str) -> Self {
        Self {
            is_usual: true,
            ..Self::new(reason)
        }
    }
}

impl From<std::io::Error> for ConnectionEnd {
    fn from(error: std::io::Error) -> Self {
        let is_reset = error.kind() == ErrorKind::ConnectionReset;
        Self {
            reason: error.to_string(),
            is_reset,
            is_usual: true,
        }
    }
}
