//! Computes the differences between two documents and applies them to a document.

use super::{ConfigurationDocument, FieldPath, PathStep};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// One value that differs between two documents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Names of the fields from the root to the value. A list is compared as a whole, so a path
    /// never leads into one.
    pub path: Vec<String>,
    /// Value in the first document; `None` if the field was added.
    pub from: Option<Value>,
    /// Value in the second document; `None` if the field was removed.
    pub to: Option<Value>,
}

impl FieldChange {
    /// Path of the value in the form that error messages show.
    pub fn field(&self) -> FieldPath {
        FieldPath(self.path.iter().cloned().map(PathStep::Field).collect())
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let display =
            |value: &Option<Value>| value.as_ref().map_or("nothing".into(), Value::to_string);
        write!(
            formatter,
            "{}: {} -> {}",
            self.field(),
            display(&self.from),
            display(&self.to)
        )
    }
}

/// Why a list of changes could not be applied to a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The document differs from the one to which the changes apply. Contains the path of the
    /// first field that differs, or the expected revision.
    #[error("{0}: the document differs from the one to which the changes apply")]
    BaseDiffers(String),
    /// The result of the changes is not a valid configuration document. Contains the error of the
    /// deserializer.
    #[error("the changed document is not a valid configuration document: {0}")]
    InvalidResult(String),
}

/// Returns the values that differ between `before` and `after`.
///
/// Within an object, added fields come after changed and removed ones.
pub fn diff_documents(
    before: &ConfigurationDocument,
    after: &ConfigurationDocument,
) -> Vec<FieldChange> {
    let mut changes = Vec::new();
    compare_values(
        &mut Vec::new(),
        &to_value(before),
        &to_value(after),
        &mut changes,
    );
    changes
}

/// Applies changes that [`diff_documents`] computed to the document `before` of that call.
///
/// # Errors
/// If a field to be changed has another value than in `before`, or if the result is not a valid
/// configuration document.
pub fn apply_changes(
    base: &ConfigurationDocument,
    changes: &[FieldChange],
) -> Result<ConfigurationDocument, ChangeError> {
    let mut value = to_value(base);
    for change in changes {
        apply_change(&mut value, change)
            .ok_or_else(|| ChangeError::BaseDiffers(change.field().to_string()))?;
    }
    serde_json::from_value(value).map_err(|error| ChangeError::InvalidResult(error.to_string()))
}

fn to_value(document: &ConfigurationDocument) -> Value {
    serde_json::to_value(document).unwrap_or_default()
}

/// Adds the differences between two values at `path` to `changes`.
fn compare_values(
    path: &mut Vec<String>,
    before: &Value,
    after: &Value,
    changes: &mut Vec<FieldChange>,
) {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        if before != after {
            changes.push(field_change(path, Some(before), Some(after)));
        }
        return;
    };
    for (name, before) in old {
        path.push(name.clone());
        match new.get(name) {
            Some(after) => compare_values(path, before, after, changes),
            None => changes.push(field_change(path, Some(before), None)),
        }
        path.pop();
    }
    for (name, after) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        path.push(name.clone());
        changes.push(field_change(path, None, Some(after)));
        path.pop();
    }
}

fn field_change(path: &[String], from: Option<&Value>, to: Option<&Value>) -> FieldChange {
    FieldChange {
        path: path.to_vec(),
        from: from.cloned(),
        to: to.cloned(),
    }
}

/// Applies one change to a document; `None` if the current value is not the one to be replaced.
fn apply_change(root: &mut Value, change: &FieldChange) -> Option<()> {
    let (last, parents) = change.path.split_last()?;
    let mut value = root;
    for name in parents {
        value = value.as_object_mut()?.get_mut(name)?;
    }
    let fields = value.as_object_mut()?;
    if fields.get(last) != change.from.as_ref() {
        return None;
    }
    match &change.to {
        Some(after) => {
            fields.insert(last.clone(), after.clone());
        }
        None => {
            fields.remove(last);
        }
    }
    Some(())
}
