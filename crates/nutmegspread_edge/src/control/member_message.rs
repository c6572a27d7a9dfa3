//! Encoding of the messages between nodes.
//!
//! Each hub receives messages from every other node several times a second, on a VM with a part of a
//! core, so messages are small and cheap to decode.

use crate::control::evidence_extension::EvidenceExtension;
use nutmegspread_tier::{EvidenceLimits, MemberRecord, RolloutEvidence, TableChanges};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// First byte of each message. Nodes reject messages with another value, so that nodes of two
/// releases can run side by side during an upgrade.
const MESSAGE_FORMAT: u8 = 3;

/// Largest size of a message in bytes; it fits into one packet on common links.
pub const MAX_MESSAGE_BYTES: usize = 1200;
/// Most bytes that the length of a list takes in a message.
const LENGTH_BYTES: usize = 2;

/// Most bytes of the era and the kept version after the record.
const MAX_ERA_BYTES: usize = 20;
/// Bytes of the level after the record.
const LEVEL_BYTES: usize = 1;

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

/// Encodes the record of a node. Its level follows as one byte, then the extensions of its evidence, and
/// then the era of the store and the version of a configuration that is kept against it; nodes of an
/// earlier release ignore them. What is 0 is left out from the end, as are extensions of no evidence.
///
/// # Errors
/// When the codec fails.
pub fn encode_message(record: &MemberRecord) -> Result<Vec<u8>, MessageError> {
    let mut message = encode(record)?;
    message.push(record.level);
    if record.rollouts.is_empty() && record.era == 0 {
        return Ok(message);
    }
    let extensions: Vec<EvidenceExtension> =
        record.rollouts.iter().map(EvidenceExtension::of).collect();
    let message = postcard::to_extend(&extensions, message).map_err(encoding_error)?;
    if record.era == 0 {
        return Ok(message);
    }
    let message = postcard::to_extend(&record.era, message).map_err(encoding_error)?;
    if record.kept_version == 0 {
        return Ok(message);
    }
    postcard::to_extend(&record.kept_version, message).map_err(encoding_error)
}

/// Decodes the record of a peer. A message without a level means calm, and one without extensions that
/// nothing was refused.
///
/// # Errors
/// When the bytes are empty, have an unknown format, or are truncated or malformed.
pub fn decode_message(bytes: &[u8]) -> Result<MemberRecord, MessageError> {
    let (mut record, rest): (MemberRecord, _) = decode_first(bytes)?;
    let Some((&level, extensions)) = rest.split_first() else {
        return Ok(record);
    };
    record.level = level;
    if !extensions.is_empty() {
        let (extensions, era): (Vec<EvidenceExtension>, _) = take(extensions, bytes.len())?;
        for (evidence, extension) in record.rollouts.iter_mut().zip(extensions) {
            extension.apply(evidence);
        }
        if !era.is_empty() {
            let (era, kept_version) = take(era, bytes.len())?;
            record.era = era;
            if !kept_version.is_empty() {
                (record.kept_version, _) = take(kept_version, bytes.len())?;
            }
        }
        for evidence in &mut record.rollouts {
            evidence.era = record.era;
        }
    }
    Ok(record)
}

/// Encodes changes of a table of live nodes. The levels of the records follow, one byte each, which
/// nodes of an earlier release ignore.
///
/// # Errors
/// When the codec fails.
pub fn encode_table(changes: &TableChanges) -> Result<Vec<u8>, MessageError> {
    let mut message = encode(changes)?;
    message.extend(changes.records.iter().map(|record| record.level));
    Ok(message)
}

/// Decodes changes of a table of live nodes.
///
/// # Errors
/// When the bytes are empty, have an unknown format, or are truncated or malformed.
pub fn decode_table(bytes: &[u8]) -> Result<TableChanges, MessageError> {
    let (mut changes, levels): (TableChanges, _) = decode_first(bytes)?;
    for (record, level) in changes.records.iter_mut().zip(levels) {
        record.level = *level;
    }
    Ok(changes)
}

/// Limits on the evidence in messages with this record, of which at most `messages` are sent at one
/// time.
pub fn evidence_limits(record: &MemberRecord, messages: usize) -> EvidenceLimits {
    let era_bytes = if record.era == 0 { 0 } else { MAX_ERA_BYTES };
    let record_bytes = postcard::experimental::serialized_size(record).unwrap_or(0) + era_bytes;
    EvidenceLimits {
        // The lists of evidence and of extensions have a length each.
        bytes: MAX_MESSAGE_BYTES.saturating_sub(1 + 2 * LENGTH_BYTES + record_bytes + LEVEL_BYTES),
        messages,
    }
}

/// Size of evidence in a message, in bytes, with its extension.
pub fn evidence_bytes(evidence: &RolloutEvidence) -> usize {
    let parts = (evidence, EvidenceExtension::of(evidence));
    // Evidence that cannot be encoded fits into no message.
    postcard::experimental::serialized_size(&parts).unwrap_or(usize::MAX)
}

/// Encodes a message between nodes.
pub(super) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, MessageError> {
    postcard::to_extend(value, vec![MESSAGE_FORMAT]).map_err(encoding_error)
}

fn encoding_error(source: postcard::Error) -> MessageError {
    MessageError::Contents { length: 0, source }
}

/// Decodes a message between nodes.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    decode_first(bytes).map(|(value, _)| value)
}

/// Decodes the value at the start of a message; returns the bytes after it, too.
fn decode_first<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), MessageError> {
    match bytes.split_first() {
        Some((&MESSAGE_FORMAT, contents)) => take(contents, bytes.len()),
        Some((&found, _)) => Err(MessageError::Format { found }),
        None => Err(MessageError::Empty),
    }
}

/// Decodes the value at the start of `bytes`, which are a part of a message of `length` bytes; returns
/// the bytes after it, too.
fn take<T: DeserializeOwned>(bytes: &[u8], length: usize) -> Result<(T, &[u8]), MessageError> {
    postcard::take_from_bytes(bytes).map_err(|source| MessageError::Contents { length, source })
}
