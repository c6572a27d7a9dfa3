//! Encodes messages with the codec that nodes use between each other.

use super::CapacityError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::pin::pin;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};

/// Encodes a value; `message` names it in the error.
///
/// # Errors
/// [`CapacityError::Encoding`] when the codec cannot encode the value.
pub fn encode<T: Serialize>(
    message: &'static str,
    value: &T,
) -> Result<bytes::Bytes, CapacityError> {
    let codec = pin!(Bincode::<T, T>::default());
    let encoded = codec.serialize(value);
    encoded.map_err(|source| CapacityError::Encoding { message, source })
}

/// Encodes a value and returns the decoded copy; `message` names the value in the error.
///
/// # Errors
/// [`CapacityError::Encoding`] when the codec cannot encode the value or decode the bytes.
pub fn round_trip<T: Serialize + DeserializeOwned>(
    message: &'static str,
    value: &T,
) -> Result<T, CapacityError> {
    let bytes = encode(message, value)?;
    let codec = pin!(Bincode::<T, T>::default());
    let decoded = codec.deserialize(&bytes.as_ref().into());
    decoded.map_err(|source| CapacityError::Encoding { message, source })
}
