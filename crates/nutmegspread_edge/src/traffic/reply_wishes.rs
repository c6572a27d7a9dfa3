//! What a target asks of a node in the head of an answer.

use nutmegspread_platform::{DecodeError, decode_leaving, decode_pause};
use std::time::Duration;

/// What a target asks of a node in the head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyWishes {
    /// Whether the target says that it leaves.
    pub is_leaving: bool,
    /// Time for which the target wants no requests, from an answer with status 503.
    pub pause: Option<Duration>,
    /// Errors of values that cannot be read; such a value is no wish.
    pub errors: Vec<String>,
}

impl ReplyWishes {
    /// Whether the target asks for nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Adds the value of a header with which a target says that it leaves.
    pub fn add_leaving(&mut self, value: &str) {
        let decoded = self.decode(decode_leaving(value));
        self.is_leaving |= decoded.unwrap_or(false);
    }

    /// Adds the value of a header with which a target asks for a pause; the longest one holds.
    pub fn add_pause(&mut self, value: &str) {
        let decoded = self.decode(decode_pause(value));
        self.pause = self.pause.max(decoded);
    }

    fn decode<V>(&mut self, decoded: Result<V, DecodeError>) -> Option<V> {
        decoded
            .map_err(|error| self.errors.push(error.to_string()))
            .ok()
    }
}
