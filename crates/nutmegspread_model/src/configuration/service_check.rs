//! Validation of the services of a configuration document, and of limits of targets.

use super::document_check::{FieldCheck, quoted};
use super::{
    BudgetPolicy, ConfigurationDocument, CoveragePolicy, FieldPath, ServiceSettings, TargetLimits,
};
use indexmap::IndexSet;

pub(super) fn check_service(
    check: &mut FieldCheck,
    path: &FieldPath,
    document: &ConfigurationDocument,
    name: &str,
    settings: &ServiceSettings,
) {
    let version = path.field("version");
    check.require(
        !settings.version.is_empty(),
        &version,
        "a version",
        "an empty name",
    );
    let mut targets = document
        .targets
        .values()
        .filter(|target| &*target.service == name);
    let has_targets = targets.clone().next().is_some();
    let version_has_target = targets.any(|target| target.version == settings.version);
    let found = format!("{:?}, which no target runs", settings.version);
    check.require(
        version_has_target || !has_targets,
        &version,
        "a version that a target runs",
        found,
    );
    check_routes(check, &path.field("routes"), settings);
    check_coverage(check, &path.field("coverage"), &settings.coverage);
    check_budget(check, &path.field("budget"), &settings.budget);
    check_limits(check, &path.field("limits"), &settings.limits);
}

fn check_routes(check: &mut FieldCheck, path: &FieldPath, settings: &ServiceSettings) {
    check.require(
        !settings.routes.is_empty(),
        path,
        "at least one route",
        "none",
    );
    let mut seen = IndexSet::new();
    for (index, route) in settings.routes.iter().enumerate() {
        let path = path.index(index);
        check.require(!route.is_empty(), &path, "a route", "an empty name");
        check.require(seen.insert(route), &path, "each route once", quoted(route));
    }
}

fn check_coverage(check: &mut FieldCheck, path: &FieldPath, policy: &CoveragePolicy) {
    let hard = policy.hard_deadline.as_millis();
    let soft = policy.soft_deadline.as_millis();
    check.require(hard > 0, &path.field("hard_deadline_ms"), "at least 1", "0");
    check.require(soft > 0, &path.field("soft_deadline_ms"), "at least 1", "0");
    check.require(
        soft <= hard,
        &path.field("soft_deadline_ms"),
        format!("at most the hard deadline of {hard}"),
        soft.to_string(),
    );
    check.require_fraction(policy.minimum_coverage, &path.field("minimum_coverage"));
}

fn check_budget(check: &mut FieldCheck, path: &FieldPath, policy: &BudgetPolicy) {
    check.require_fraction(policy.extra_fraction, &path.field("extra_fraction"));
    check.require_fraction(policy.hedge_quantile, &path.field("hedge_quantile"));
}

pub(super) fn check_limits(check: &mut FieldCheck, path: &FieldPath, limits: &TargetLimits) {
    check.require_nonzero(limits.slots, &path.field("slots"));
    check.require_nonzero(limits.connections, &path.field("connections"));
    check.require_nonzero(limits.cold_slots, &path.field("cold_slots"));
    check.require_nonzero(limits.warm_after, &path.field("warm_after"));
    check.require(
        limits.cold_slots <= limits.slots,
        &path.field("cold_slots"),
        format!("at most the {} slots", limits.slots),
        limits.cold_slots.to_string(),
    );
    check.require(
        limits.connections >= limits.slots,
        &path.field("connections"),
        format!("at least one for each of the {} slots", limits.slots),
        limits.connections.to_string(),
    );
}
