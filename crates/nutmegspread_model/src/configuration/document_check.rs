//! Validation of a configuration document: values in range, names that exist, plans that fit.

use super::rollout_check::check_rollouts;
use super::service_check::{check_limits, check_service};
use super::{ConfigurationDocument, FieldError, FieldPath, TargetSettings};
use indexmap::IndexMap;
use std::net::SocketAddr;

/// Every fault of a document's values, in the order of its sections.
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

/// Collects faults.
#[derive(Default)]
pub(super) struct FieldCheck {
    errors: Vec<FieldError>,
}

impl FieldCheck {
    pub fn require(
        &mut self,
        holds: bool,
        field: &FieldPath,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) {
        if !holds {
            let (expected, found) = (expected.into(), found.into());
            self.errors.push(FieldError {
                field: field.clone(),
                expected,
                found,
            });
        }
    }

    pub fn fraction(&mut self, value: f64, field: &FieldPath) {
        let holds = (0.0..=1.0).contains(&value);
        self.require(holds, field, "a fraction from 0 to 1", value.to_string());
    }

    pub fn at_least_one(&mut self, value: u32, field: &FieldPath) {
        self.require(value > 0, field, "at least 1", "0");
    }

    pub fn known(&mut self, holds: bool, kind: &str, name: &str, field: &FieldPath) {
        self.require(
            holds,
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
            let holds = !name.is_empty() && !name.contains(|c: char| c.is_control() || c == '/');
            let expected = "a name without slashes and control characters";
            check.require(holds, &path.field(name), expected, quoted(name));
        }
    }
}

fn check_targets(check: &mut FieldCheck, document: &ConfigurationDocument) {
    let mut addresses: IndexMap<SocketAddr, &str> = IndexMap::new();
    for (id, settings) in &document.targets {
        let path = FieldPath::default().field("targets").field(id);
        let known = document.services.contains_key(&settings.service);
        check.known(known, "service", &settings.service, &path.field("service"));
        let known = document.domains.contains_key(&settings.domain);
        check.known(
            known,
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
    let reachable = address.port() != 0 && !address.ip().is_unspecified();
    check.require(
        reachable,
        path,
        "an address to connect to",
        quoted(&settings.address),
    );
    match addresses.get(&address) {
        Some(other) => check.require(
            false,
            path,
            "an address of its own",
            format!("{address}, which target {other:?} has"),
        ),
        None => {
            addresses.insert(address, id);
        }
    }
}
