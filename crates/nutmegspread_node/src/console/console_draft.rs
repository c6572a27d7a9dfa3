//! The configuration document that an operator is editing.

use super::ConsoleForm;
use super::field_spec::kind_at;
use indexmap::IndexMap;
use nutmegspread_model::{
    ConfigurationDocument, FieldPath, PathStep, Revision, diff_documents, validate_document,
};
use serde_json::Value;

/// Prefix of the names of form fields that edit values of the document; the path of the value
/// follows.
pub(super) const FIELD_PREFIX: &str = "set/";

/// An error in a field of the draft.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct DraftError {
    /// The submitted text, if it could not be parsed; `None` if it was parsed but the value is not
    /// valid.
    pub text: Option<String>,
    /// Description of the error, shown to the operator.
    pub message: String,
}

/// A configuration document that an operator is editing. The draft is stored in the form itself, not
/// on the node.
#[derive(Clone, Debug, Default)]
pub(super) struct ConsoleDraft {
    /// Revision of the document from which the draft was made.
    pub base: Revision,
    /// The document as JSON.
    pub value: Value,
    /// Errors by path of the field; the names in a path are separated by slashes.
    pub errors: IndexMap<String, DraftError>,
}

impl ConsoleDraft {
    /// Creates a draft without changes to `document`, the document in force.
    pub fn new(document: &ConfigurationDocument) -> Self {
        let mut draft = Self {
            base: document.revision,
            value: serde_json::to_value(document).unwrap_or_default(),
            errors: IndexMap::new(),
        };
        draft.validate();
        draft
    }

    /// Reads the draft from a submitted form and applies the form's fields to the draft. `document`, the
    /// document in force, is used if the form contains no draft.
    pub fn from_form(document: &ConfigurationDocument, form: &ConsoleForm) -> Self {
        let mut draft = Self::new(document);
        let base = form.value("base").and_then(|base| base.parse().ok());
        draft.base = base.unwrap_or(draft.base);
        let value = form.value("draft");
        let value = value.and_then(|text| serde_json::from_str::<Value>(text).ok());
        draft.value = value.filter(Value::is_object).unwrap_or(draft.value);
        draft.errors.clear();
        for (name, text) in &form.pairs {
            if let Some(path) = name.strip_prefix(FIELD_PREFIX) {
                draft.set_text(path, text);
            }
        }
        draft.validate();
        draft
    }

    /// The draft as a document; `None` if a field could not be parsed or the draft doesn't
    /// have the structure of a document.
    pub fn document(&self) -> Option<ConfigurationDocument> {
        if self.has_unparsed() {
            return None;
        }
        let document = serde_json::from_value(self.value.clone()).ok();
        document.map(|document| ConfigurationDocument {
            revision: self.base,
            ..document
        })
    }

    /// Whether a field contains text that could not be parsed.
    pub fn has_unparsed(&self) -> bool {
        self.errors.values().any(|error| error.text.is_some())
    }

    /// Descriptions of the values that differ from the document in force, one for each value; empty if
    /// the draft can't be converted to a document.
    pub fn differences(&self, in_force: &ConfigurationDocument) -> Vec<String> {
        let Some(document) = self.document() else {
            return Vec::new();
        };
        let document = ConfigurationDocument {
            revision: in_force.revision,
            ..document
        };
        let changes = diff_documents(in_force, &document);
        let text = |value: Option<Value>| value.map_or("nothing".into(), |value| value.to_string());
        let describe = |change: nutmegspread_model::FieldChange| {
            let field = change.field();
            format!("{field}: {} becomes {}", text(change.from), text(change.to))
        };
        changes.into_iter().map(describe).collect()
    }

    /// Number of errors in a section, or in the whole document for `None`.
    pub fn error_count(&self, section: Option<&str>) -> usize {
        let is_inside = |path: &str| {
            section.is_none_or(|section| {
                let rest = path.strip_prefix(section);
                rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            })
        };
        self.errors.keys().filter(|path| is_inside(path)).count()
    }

    /// Value at a path; `None` if there is none.
    pub fn value_at(&self, path: &str) -> Option<&Value> {
        self.value.pointer(&pointer(path))
    }

    /// Names of the entries of a section.
    pub fn entries(&self, section: &str) -> Vec<String> {
        let entries = self.value_at(section).and_then(Value::as_object);
        entries.map_or_else(Vec::new, |entries| entries.keys().cloned().collect())
    }

    /// Adds an error for a path, unless the path already has one.
    pub fn add_error(&mut self, path: String, message: String) {
        let error = DraftError {
            text: None,
            message,
        };
        self.errors.entry(path).or_insert(error);
    }

    /// Validates all values again. Errors of fields that could not be parsed are kept.
    pub fn validate(&mut self) {
        self.errors.retain(|_, error| error.text.is_some());
        let document: Result<ConfigurationDocument, _> = serde_json::from_value(self.value.clone());
        match document {
            Ok(document) => {
                for error in validate_document(&document) {
                    let message = format!("expected {}, found {}", error.expected, error.found);
                    self.add_error(path_text(&error.field), message);
                }
            }
            Err(error) => self.add_error(String::new(), error.to_string()),
        }
    }

    fn set_text(&mut self, path: &str, text: &str) {
        let Some(kind) = kind_at(path) else {
            return;
        };
        let parsed = kind.parse(text);
        let Some(value) = self.value.pointer_mut(&pointer(path)) else {
            return;
        };
        match parsed {
            Ok(parsed) => *value = parsed,
            Err(expected) => {
                let error = DraftError {
                    text: Some(text.to_owned()),
                    message: format!("expected {expected}"),
                };
                self.errors.insert(path.to_owned(), error);
            }
        }
    }
}

/// Converts a path of names separated by slashes to a JSON pointer; names contain no slashes.
pub(super) fn pointer(path: &str) -> String {
    format!("/{}", path.replace('~', "~0"))
}

fn path_text(path: &FieldPath) -> String {
    let steps = path.0.iter().map(|step| match step {
        PathStep::Field(name) => name.clone(),
        PathStep::Index(index) => index.to_string(),
    });
    steps.collect::<Vec<_>>().join("/")
}
