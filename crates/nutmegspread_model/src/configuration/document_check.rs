//! Validation of a configuration document: ranges of values, references to names, and rollouts.

use super::rollout_check::check_rollouts;
use super::service_check::{check_limits, check_service};
use super::{ConfigurationDocument, FieldError, FieldPath, TargetSettings};
use indexmap::IndexMap;
use std::net::SocketAddr;

/// Checks the values of a document and returns every error.
///
/// Errors of names come first, followed by errors of services, targets and rollouts.
pub fn validate_document(document: &ConfigurationDocument) -> Vec<FieldError> {
    let mut check = FieldCheck::default();
    check_names(&mut check, document);
    for (name, settings) in &document.services {
        let path = FieldPath::default().field("services").field(name);
        check_service(&mut check, &path, document, name, settings);
    }
    check_targets(&mut check, document);
    check_rollouts(&mut check, document);
    check.errors
}

/// Collects the errors found while a document is validated.
#[derive(Default)]
pub(super) struct FieldCheck {
    errors: Vec<FieldError>,
}

impl FieldCheck {
    /// Returns the errors in the order in which they were found.
    pub fn into_errors(self) -> Vec<FieldError> {
        self.errors
    }

    /// Records an error for the field unless `is_valid` is `true`.
    pub fn require(
        &mut self,
        is_valid: bool,
        field: &FieldPath,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) {
        if !is_valid {
            let (expected, found) = (expected.into(), found.into());
            self.errors.push(FieldError {
                field: field.clone(),
                expected,
                found,
            });
        }
    }

    pub fn require_fraction(&mut self, value: f64, field: &FieldPath) {
        let is_valid = (0.0..=1.0).contains(&value);
        self.require(is_valid, field, "a fraction from 0 to 1", value.to_string());
    }

    pub fn require_nonzero(&mut self, value: u32, field: &FieldPath) {
        self.require(value > 0, field, "at least 1", "0");
    }

    /// Records an error for the field unless the document defines the name that the field refers
    /// to.
    pub fn require_defined(&mut self, is_defined: bool, kind: &str, name: &str, field: &FieldPath) {
        self.require(
            is_defined,
            field,
            format!("the name of a {kind} in this document"),
            quoted(name),
        );
    }
}

pub(super) fn quoted(text: &str) -> String {
    format!("{text:?}")
}

fn check_names(check: &mut FieldCheck, document: &ConfigurationDocument) {
    let sections = [
        ("domains", document.domains.keys().collect::<Vec<_>>()),
        ("services", document.services.keys().collect()),
        ("targets", document.targets.keys().collect()),
        ("rollouts", document.rollouts.keys().collect()),
    ];
    for (section, names) in sections {
        let path = FieldPath::default().field(section);
        for name in names {
            let is_valid = !name.is_empty() && !name.contains(|c: char| c.is_control() || c == '/');
            let expected = "a name without slashes and control characters";
            check.require(is_valid, &path.field(name), expected, quoted(name));
        }
    }
}

fn check_targets(check: &mut FieldCheck, document: &ConfigurationDocument) {
    let mut addresses: IndexMap<SocketAddr, &str> = IndexMap::new();
    for (id, settings) in &document.targets {
        let path = FieldPath::default().field("targets").field(id);
        let is_defined = document.services.contains_key(&settings.service);
        check.require_defined(
            is_defined,
            "service",
            &settings.service,
            &path.field("service"),
        );
        let is_defined = document.domains.contains_key(&settings.domain);
        check.require_defined(
            is_defined,
            "failure domain",
            &settings.domain,
            &path.field("domain"),
        );
        let version = &settings.version;
        check.require(
            !version.is_empty(),
            &path.field("version"),
            "a version",
            "an empty name",
        );
        if let Some(limits) = &settings.limits {
            check_limits(check, &path.field("limits"), limits);
        }
        check_address(check, &path.field("address"), settings, id, &mut addresses);
    }
}

fn check_address<'a>(
    check: &mut FieldCheck,
    path: &FieldPath,
    settings: &TargetSettings,
    id: &'a str,
    addresses: &mut IndexMap<SocketAddr, &'a str>,
) {
    let Ok(address) = settings.address.parse::<SocketAddr>() else {
        check.require(
            false,
            path,
            "an IP address and port",
            quoted(&settings.address),
        );
        return;
    };
    let is_connectable = address.port() != 0 && !address.ip().is_unspecified();
    check.require(
        is_connectable,
        path,
        "an address to connect to",
        quoted(&settings.address),
    );
    match addresses.get(&address) {
        Some(other_id) => check.require(
            false,
            path,
            "an address of its own",
            format!("{address}, which target {other_id:?} has"),
        ),
        None => {
            addresses.insert(address, id);
        }
    }
}
