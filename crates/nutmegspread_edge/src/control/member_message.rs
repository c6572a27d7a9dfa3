//! Encoding of the messages between nodes.
//!
//! Each hub receives messages from every other node several times a second, on a VM with a part of a
//! core, so messages are small and cheap to decode.

use nutmegspread_tier::{MemberRecord, TableChanges};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// First byte of each message. Nodes reject messages with another value, so that nodes of two
/// releases can run side by side during an upgrade.
const MESSAGE_FORMAT: u8 = 3;

/// Why a message cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message has no bytes.
    #[error("the message is empty")]
    Empty,
    /// The message has an unknown format.
    #[error("the message is of format {found}, but this node reads format {MESSAGE_FORMAT}")]
    Format {
        /// First byte of the message.
        found: u8,
    },
    /// The contents do not match the format.
    #[error("the message of {length} bytes cannot be decoded: {source}")]
    Contents {
        /// Length of the message in bytes.
        length: usize,
        /// Error of the codec.
        source: postcard::Error,
    },
}

/// Encodes the record of a node.
///
/// # Errors
/// When the codec fails.
pub fn encode_message(record: &MemberRecord) -> Result<Vec<u8>, MessageError> {
    encode(record)
}

/// Decodes the record of a peer.
///
/// # Errors
/// When the bytes are empty, have an unknown format, or are truncated or malformed.
pub fn decode_message(bytes: &[u8]) -> Result<MemberRecord, MessageError> {
    decode(bytes)
}

/// Encodes changes of a table of live nodes.
///
/// # Errors
/// When the codec fails.
pub fn encode_table(changes: &TableChanges) -> Result<Vec<u8>, MessageError> {
    encode(changes)
}

/// Decodes changes of a table of live nodes.
///
/// # Errors
/// When the bytes are empty, have an unknown format, or are truncated or malformed.
pub fn decode_table(bytes: &[u8]) -> Result<TableChanges, MessageError> {
    decode(bytes)
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, MessageError> {
    postcard::to_extend(value, vec![MESSAGE_FORMAT])
        .map_err(|source| MessageError::Contents { length: 0, source })
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    match bytes.split_first() {
        Some((&MESSAGE_FORMAT, contents)) => {
            postcard::from_bytes(contents).map_err(|source| MessageError::Contents {
                length: bytes.len(),
                source,
            })
        }
        Some((&found, _)) => Err(MessageError::Format { found }),
        None => Err(MessageError::Empty),
    }
}
