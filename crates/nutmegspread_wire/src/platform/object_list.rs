//! Result of listing the objects of one kind.

use super::{PlatformError, UnreadableObject};
use nutmegspread_model::{PlatformObject, ResourceVersion};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// All objects of one kind at one point in the platform's history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectList<T> {
    /// The objects, in the order in which the platform returned them.
    pub items: Vec<PlatformObject<T>>,
    /// Objects that were left out because they cannot be decoded.
    pub unreadable: Vec<UnreadableObject>,
    /// Version of the list; a watch that starts at this version gets every later change.
    pub resource_version: ResourceVersion,
}

/// JSON body of the answer to a list call.
#[derive(Deserialize)]
struct ListBody<'a> {
    metadata: ListMetadata,
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
}

/// Metadata of the answer to a list call.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListMetadata {
    resource_version: ResourceVersion,
}

/// The part of an object from which name and version are decoded.
#[derive(Deserialize)]
struct NamedObject {
    metadata: Value,
}

impl<T: DeserializeOwned> ObjectList<T> {
    /// Decodes the answer to a list call. An object that cannot be decoded is left out.
    ///
    /// # Errors
    /// [`PlatformError::Malformed`] if `body` is not a list.
    pub(super) fn decode(body: &[u8]) -> Result<Self, PlatformError> {
        let text = String::from_utf8_lossy(body);
        let is_damaged = matches!(text, Cow::Owned(_));
        let list: ListBody<'_> =
            serde_json::from_str(&text).map_err(|error| PlatformError::Malformed {
                message: error.to_string(),
            })?;
        let mut items = Vec::with_capacity(list.items.len());
        let mut unreadable = Vec::new();
        for item in list.items.into_iter().map(RawValue::get) {
            let decoded = if is_damaged && item.contains(char::REPLACEMENT_CHARACTER) {
                Err("bytes that are not UTF-8".to_owned())
            } else {
                serde_json::from_str(item).map_err(|error| error.to_string())
            };
            match decoded {
                Ok(object) => items.push(object),
                Err(reason) => unreadable.push(unreadable_object(item, is_damaged, reason)),
            }
        }
        Ok(Self {
            items,
            unreadable,
            resource_version: list.metadata.resource_version,
        })
    }
}

fn unreadable_object(text: &str, is_damaged: bool, reason: String) -> UnreadableObject {
    let metadata =
        serde_json::from_str(text).map_or(Value::Null, |NamedObject { metadata }| metadata);
    UnreadableObject {
        name: metadata["name"]
            .as_str()
            .filter(|name| !(is_damaged && name.contains(char::REPLACEMENT_CHARACTER)))
            .map(str::to_owned),
        resource_version: ResourceVersion::deserialize(&metadata["resourceVersion"]).ok(),
        reason,
    }
}
