//! Serde adapter that encodes a reply with a configuration as JSON text.
//!
//! Fields of a document may be absent, which the format of peer messages cannot express, as it
//! encodes fields by position.

use crate::configuration::DocumentReply;
use serde::de::Error as _;
use serde::ser::Error as _;
use serde::{Deserialize, Deserializer, Serializer};

pub(super) fn serialize<S: Serializer>(
    reply: &DocumentReply,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let text = serde_json::to_string(reply).map_err(S::Error::custom)?;
    serializer.serialize_str(&text)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<DocumentReply, D::Error> {
    let text = String::deserialize(deserializer)?;
    serde_json::from_str(&text).map_err(D::Error::custom)
}
