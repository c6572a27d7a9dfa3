//! Messages between nodes as bytes.
//!
//! Each node hears every other one several times a second, on VMs with an eighth of a core, so
//! messages are small and cheap to read.

use nutmegspread_tier::MemberRecord;
use thiserror::Error;

/// First byte of each message; nodes skip messages of another format while a release goes on.
const MESSAGE_FORMAT: u8 = 1;

/// Why bytes are no message of another node.
#[derive(Debug, Error)]
pub enum MessageError {
    /// No bytes at all.
    #[error("the message is empty")]
    Empty,
    /// Another format.
    #[error("the message is of format {found}, but this node reads format {MESSAGE_FORMAT}")]
    Format {
        /// First byte of the message.
        found: u8,
    },
    /// The right format with other contents.
    #[error("the message of {length} bytes cannot be decoded: {source}")]
    Contents {
        /// Length of the message in bytes.
        length: usize,
        /// What the codec says.
        source: postcard::Error,
    },
}

/// Encodes what a node says of itself.
///
/// # Errors
/// When the codec has no memory left.
pub fn encode_message(record: &MemberRecord) -> Result<Vec<u8>, MessageError> {
    postcard::to_extend(record, vec![MESSAGE_FORMAT])
        .map_err(|source| MessageError::Contents { length: 0, source })
}

/// Decodes what another node says of itself.
///
/// # Errors
/// When the bytes are of another format or cut off.
pub fn decode_message(bytes: &[u8]) -> Result<MemberRecord, MessageError> {
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
