//! Differences between two documents, and their application.

use super::{ConfigurationDocument, FieldPath, PathStep};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// One value that differs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Names from the root to the value; lists are compared as a whole.
    pub path: Vec<String>,
    /// Value before; `None` when there was none.
    pub from: Option<Value>,
    /// Value after; `None` when it was removed.
    pub to: Option<Value>,
}

impl FieldChange {
    /// Path for people, as in errors.
    pub fn field(&self) -> FieldPath {
        FieldPath(self.path.iter().cloned().map(PathStep::Field).collect())
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text =
            |value: &Option<Value>| value.as_ref().map_or("nothing".into(), Value::to_string);
        write!(
            formatter,
            "{}: {} -> {}",
            self.field(),
            text(&self.from),
            text(&self.to)
        )
    }
}

/// A list of changes does not fit the document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The document holds something else than the change replaces.
    #[error("{0}: the document holds another value than the change replaces")]
    BaseDiffers(String),
    /// The result is no document.
    #[error("the changed document cannot be read: {0}")]
    Unreadable(String),
}

/// Values that differ from `before` to `after`, in the order of the documents.
pub fn diff_documents(
    before: &ConfigurationDocument,
    after: &ConfigurationDocument,
) -> Vec<FieldChange> {
    let mut changes = Vec::new();
    compare(
        &mut Vec::new(),
        &to_value(before),
        &to_value(after),
        &mut changes,
    );
    changes
}

/// Applies changes made by [`diff_documents`] to the document they were taken from.
///
/// # Errors
/// When the document differs from the base of the changes, or the result is no document.
pub fn apply_changes(
    base: &ConfigurationDocument,
    changes: &[FieldChange],
) -> Result<ConfigurationDocument, ChangeError> {
    let mut value = to_value(base);
    for change in changes {
        apply_change(&mut value, change)
            .ok_or_else(|| ChangeError::BaseDiffers(change.field().to_string()))?;
    }
    serde_json::from_value(value).map_err(|error| ChangeError::Unreadable(error.to_string()))
}

fn to_value(document: &ConfigurationDocument) -> Value {
    serde_json::to_value(document).unwrap_or_default()
}

fn compare(path: &mut Vec<String>, before: &Value, after: &Value, changes: &mut Vec<FieldChange>) {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        if before != after {
            changes.push(change(path, Some(before), Some(after)));
        }
        return;
    };
    for (name, before) in old {
        path.push(name.clone());
        match new.get(name) {
            Some(after) => compare(path, before, after, changes),
            None => changes.push(change(path, Some(before), None)),
        }
        path.pop();
    }
    for (name, after) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        path.push(name.clone());
        changes.push(change(path, None, Some(after)));
        path.pop();
    }
}

fn change(path: &[String], from: Option<&Value>, to: Option<&Value>) -> FieldChange {
    FieldChange {
        path: path.to_vec(),
        from: from.cloned(),
        to: to.cloned(),
    }
}

fn apply_change(root: &mut Value, change: &FieldChange) -> Option<()> {
    let (last, names) = change.path.split_last()?;
    let mut value = root;
    for name in names {
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
