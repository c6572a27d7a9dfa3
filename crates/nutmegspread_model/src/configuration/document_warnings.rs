//! Entries of a valid document that have no effect, and settings that contradict each other.

use super::document_check::{FieldCheck, quoted};
use super::{ConfigurationDocument, FieldError, FieldPath, ServiceSettings, ServingState};
use crate::{DomainName, ServiceName};
use indexmap::{IndexMap, IndexSet};

/// Targets of one service.
#[derive(Default)]
struct ServiceTargets {
    all: usize,
    active: usize,
}

/// Returns what an operator hardly meant in a document that [`validate_document`] accepts.
///
/// [`validate_document`]: super::validate_document
pub fn find_warnings(document: &ConfigurationDocument) -> Vec<FieldError> {
    let mut check = FieldCheck::default();
    let mut targets: IndexMap<&ServiceName, ServiceTargets> = IndexMap::new();
    let mut used_domains: IndexSet<&DomainName> = IndexSet::new();
    for target in document.targets.values() {
        let counts = targets.entry(&target.service).or_default();
        let domain = document.domains.get(&target.domain);
        let is_active = target.state == ServingState::Active
            && domain.is_none_or(|domain| domain.state == ServingState::Active);
        counts.all += 1;
        counts.active += usize::from(is_active);
        used_domains.insert(&target.domain);
    }
    for (name, settings) in &document.services {
        let path = FieldPath::default().field("services").field(name);
        let none = ServiceTargets::default();
        check_targets(
            &mut check,
            &path,
            targets.get(name).unwrap_or(&none),
            settings,
        );
        check_coverage(&mut check, &path.field("coverage"), settings);
    }
    for name in document.domains.keys() {
        let path = FieldPath::default().field("domains").field(name);
        let is_used = used_domains.contains(name);
        check.require(is_used, &path, "a domain with targets", quoted(name));
    }
    check.into_errors()
}

fn check_targets(
    check: &mut FieldCheck,
    path: &FieldPath,
    targets: &ServiceTargets,
    settings: &ServiceSettings,
) {
    check.require(targets.all > 0, path, "a target of the service", "none");
    check.require(
        targets.all == 0 || targets.active > 0,
        path,
        "a target that is not drained",
        format!("{} drained ones", targets.all),
    );
    let budget = path.field("budget").field("extra_fraction");
    check.require(
        targets.all != 1 || settings.budget.extra_fraction == 0.0,
        &budget,
        "0, as the service has one target and no other for hedges and retries",
        settings.budget.extra_fraction.to_string(),
    );
}

fn check_coverage(check: &mut FieldCheck, path: &FieldPath, settings: &ServiceSettings) {
    let coverage = &settings.coverage;
    let has_no_use =
        coverage.minimum_coverage >= 1.0 && coverage.soft_deadline < coverage.hard_deadline;
    check.require(
        !has_no_use,
        &path.field("minimum_coverage"),
        "below 1, as the soft deadline has no effect on answers that need every shard",
        coverage.minimum_coverage.to_string(),
    );
}
