//! A configuration document of either form, with what a check finds in it.

use nutmegspread_model::{
    ConfigurationDocument, DocumentError, diff_documents, find_warnings, parse_document,
    read_and_validate,
};
use nutmegspread_platform::{check_document, document_differences, is_platform_document};
use nutmegspread_tier::CheckLimits;
use serde::Serialize;
use serde_json::Value;

/// Something that a check found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CheckFinding {
    /// `error` or `warning`.
    pub severity: &'static str,
    /// Number of the line, from 1.
    pub line: usize,
    /// Part of the document; empty for the whole.
    pub part: String,
    /// What is wrong.
    pub message: String,
}

/// A value that differs from the document in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CheckDifference {
    /// The difference in words.
    pub text: String,
    /// Path of the value.
    pub part: String,
    /// Value in force.
    pub from: Option<Value>,
    /// Value in the checked document.
    pub to: Option<Value>,
}

/// A configuration document of either form.
#[derive(Clone, Debug)]
pub struct CheckedDocument {
    name: String,
    text: String,
    /// Whether the document has the form of the users' platform.
    pub is_platform: bool,
}

impl CheckedDocument {
    /// Creates a document from its text, by which its form is told; `name` stands in errors.
    pub fn new(name: String, text: String) -> Self {
        let is_platform = is_platform_document(&text);
        Self {
            name,
            text,
            is_platform,
        }
    }

    /// Errors and warnings, by line.
    pub fn findings(&self) -> Vec<CheckFinding> {
        if self.is_platform {
            let findings = check_document(&self.text, &CheckLimits::default()).into_iter();
            return findings
                .map(|finding| CheckFinding {
                    severity: severity(finding.is_error),
                    line: finding.line,
                    part: finding.part,
                    message: finding.message,
                })
                .collect();
        }
        if let Err(errors) = parse_document(&self.name, &self.text) {
            return errors
                .iter()
                .map(|error| field_finding(error, true))
                .collect();
        }
        let warnings =
            read_and_validate::<ConfigurationDocument>(&self.name, &self.text, find_warnings);
        let warnings = warnings.err().unwrap_or_default();
        warnings
            .iter()
            .map(|error| field_finding(error, false))
            .collect()
    }

    /// What differs from the document in force.
    ///
    /// # Errors
    /// A line for each reason why one of the documents cannot be read, or that their forms differ.
    pub fn differences(&self, in_force: &Self) -> Result<Vec<CheckDifference>, Vec<String>> {
        if self.is_platform != in_force.is_platform {
            return Err(vec![format!(
                "{} and {} have different forms",
                self.name, in_force.name
            )]);
        }
        if self.is_platform {
            let differences = document_differences(&in_force.text, &self.text);
            let differences = differences.map_err(|error| vec![error.to_string()])?;
            return Ok(differences
                .into_iter()
                .map(|difference| CheckDifference {
                    text: difference.to_string(),
                    part: match &*difference.field {
                        "" => difference.part,
                        field => format!("{}: {field}", difference.part),
                    },
                    from: difference.from,
                    to: difference.to,
                })
                .collect());
        }
        let changes = diff_documents(&in_force.parse()?, &self.parse()?);
        Ok(changes
            .into_iter()
            .map(|change| CheckDifference {
                text: change.to_string(),
                part: change.field().to_string(),
                from: change.from,
                to: change.to,
            })
            .collect())
    }

    fn parse(&self) -> Result<ConfigurationDocument, Vec<String>> {
        let document = parse_document(&self.name, &self.text);
        document.map_err(|errors| errors.iter().map(ToString::to_string).collect())
    }
}

fn severity(is_error: bool) -> &'static str {
    if is_error { "error" } else { "warning" }
}

fn field_finding(error: &DocumentError, is_error: bool) -> CheckFinding {
    CheckFinding {
        severity: severity(is_error),
        line: error.line,
        part: error.field.to_string(),
        message: format!("expected {}, found {}", error.expected, error.found),
    }
}
