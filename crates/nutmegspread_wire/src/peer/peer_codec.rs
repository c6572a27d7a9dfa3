//! The encoding of control messages: that of the calls that carry them.

use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::pin::pin;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};

/// Encodes a control message; integers and lengths take as many bytes as they need.
///
/// # Errors
/// When the message holds something without an encoding, such as a map of unknown length.
pub fn encode_message<M: Serialize>(message: &M) -> io::Result<Vec<u8>> {
    let codec = pin!(Bincode::<(), M>::default());
    Ok(codec.serialize(message)?.into())
}

/// Decodes a control message.
///
/// # Errors
/// When the bytes are no such message, or more bytes follow it.
pub fn decode_message<M: DeserializeOwned>(body: &[u8]) -> io::Result<M> {
    let codec = pin!(Bincode::<M, ()>::default());
    codec.deserialize(&BytesMut::from(body))
}
