//! Encoding of control messages, in the same bincode format as the calls that carry them.

use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::pin::pin;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};

/// Encodes a control message with bincode, in which small integers and lengths take fewer bytes.
///
/// # Errors
/// If the message contains a value that bincode cannot encode, such as a map of unknown length.
pub fn encode_message<M: Serialize>(message: &M) -> io::Result<Vec<u8>> {
    let codec = pin!(Bincode::<(), M>::default());
    Ok(codec.serialize(message)?.into())
}

/// Decodes a control message that [`encode_message`] encoded.
///
/// # Errors
/// If `body` is not a message of type `M`, or has further bytes after the message.
pub fn decode_message<M: DeserializeOwned>(body: &[u8]) -> io::Result<M> {
    let codec = pin!(Bincode::<M, ()>::default());
    codec.deserialize(&BytesMut::from(body))
}
