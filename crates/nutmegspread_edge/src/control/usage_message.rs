//! Encoding of the messages in which nodes state their counts.

use crate::control::member_message::{MessageError, decode, encode};
use nutmegspread_tier::{UsageAnswer, UsageMessage};

/// Encodes counts of a node.
///
/// # Errors
/// When the codec fails.
pub fn encode_usage(message: &UsageMessage) -> Result<Vec<u8>, MessageError> {
    encode(message)
}

/// Decodes counts of a node.
///
/// # Errors
/// When the bytes are empty, have an unknown format, or are truncated or malformed.
pub fn decode_usage(bytes: &[u8]) -> Result<UsageMessage, MessageError> {
    decode(bytes)
}

/// Encodes the answer to counts of a node.
///
/// # Errors
/// When the codec fails.
pub fn encode_usage_answer(answer: &UsageAnswer) -> Result<Vec<u8>, MessageError> {
    encode(answer)
}

/// Decodes the answer to counts of a node.
///
/// # Errors
/// When the bytes are empty, have an unknown format, or are truncated or malformed.
pub fn decode_usage_answer(bytes: &[u8]) -> Result<UsageAnswer, MessageError> {
    decode(bytes)
}
