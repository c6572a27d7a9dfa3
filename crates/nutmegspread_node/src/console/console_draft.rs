//! A document under edit.

use super::ConsoleForm;
use super::field_spec::kind_at;
use indexmap::IndexMap;
use nutmegspread_model::{
    ConfigurationDocument, FieldPath, PathStep, Revision, diff_documents, validate_document,
};
use serde_json::Value;

/// Prefix of form fields that hold values of the document.
pub(super) const FIELD_PREFIX: &str = "set/";

/// A fault at a field of the draft.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct FieldFault {
    /// Text as submitted, when it could not be read.
    pub text: Option<String>,
    /// What is wrong, for people.
    pub message: String,
}

/// A document under edit, the revision that it is based on, and its faults by path.
#[derive(Clone, Debug, Default)]
pub(super) struct ConsoleDraft {
    /// Revision that the operator began with.
    pub base: Revision,
    /// The document as JSON.
    pub value: Value,
    /// Faults by path; slashes separate the names.
    pub faults: IndexMap<String, FieldFault>,
}

impl ConsoleDraft {
    /// Begins with the document in force.
    pub fn new(document: &ConfigurationDocument) -> Self {
        let mut draft = Self {
            base: document.revision,
            value: serde_json::to_value(document).unwrap_or_default(),
            faults: IndexMap::new(),
        };
        draft.validate();
        draft
    }

    /// Takes the draft out of a form and applies the form's fields to it.
    pub fn from_form(document: &ConfigurationDocument, form: &ConsoleForm) -> Self {
        let mut draft = Self::new(document);
        let base = form.value("base").and_then(|base| base.parse().ok());
        draft.base = base.unwrap_or(draft.base);
        let value = form.value("draft");
        let value = value.and_then(|text| serde_json::from_str::<Value>(text).ok());
        draft.value = value.filter(Value::is_object).unwrap_or(draft.value);
        draft.faults.clear();
        for (name, text) in &form.pairs {
            if let Some(path) = name.strip_prefix(FIELD_PREFIX) {
                draft.set_text(path, text);
            }
        }
        draft.validate();
        draft
    }

    /// The document, unless a field could not be read.
    pub fn document(&self) -> Option<ConfigurationDocument> {
        if self.has_unread() {
            return None;
        }
        let document = serde_json::from_value(self.value.clone()).ok();
        document.map(|document| ConfigurationDocument {
            revision: self.base,
            ..document
        })
    }

    /// Whether a field holds text that could not be read.
    pub fn has_unread(&self) -> bool {
        self.faults.values().any(|fault| fault.text.is_some())
    }

    /// Values that differ from the document in force, for people.
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

    /// Faults of one section, or of the whole document.
    pub fn fault_count(&self, section: Option<&str>) -> usize {
        let is_inside = |path: &str| {
            section.is_none_or(|section| {
                let rest = path.strip_prefix(section);
                rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            })
        };
        self.faults.keys().filter(|path| is_inside(path)).count()
    }

    /// Value at a path.
    pub fn value_at(&self, path: &str) -> Option<&Value> {
        self.value.pointer(&pointer(path))
    }

    /// Entries of a section by name.
    pub fn entries(&self, section: &str) -> Vec<String> {
        let entries = self.value_at(section).and_then(Value::as_object);
        entries.map_or_else(Vec::new, |entries| entries.keys().cloned().collect())
    }

    /// Adds a fault.
    pub fn add_fault(&mut self, path: String, message: String) {
        let fault = FieldFault {
            text: None,
            message,
        };
        self.faults.entry(path).or_insert(fault);
    }

    /// Checks the values again, keeping faults of fields that could not be read.
    pub fn validate(&mut self) {
        self.faults.retain(|_, fault| fault.text.is_some());
        let document: Result<ConfigurationDocument, _> = serde_json::from_value(self.value.clone());
        match document {
            Ok(document) => {
                for fault in validate_document(&document) {
                    let message = format!("expected {}, found {}", fault.expected, fault.found);
                    self.add_fault(path_text(&fault.field), message);
                }
            }
            Err(error) => self.add_fault(String::new(), error.to_string()),
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
                let fault = FieldFault {
                    text: Some(text.to_owned()),
                    message: format!("expected {expected}"),
                };
                self.faults.insert(path.to_owned(), fault);
            }
        }
    }
}

/// JSON pointer of a path; names hold no slashes.
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
