//! Check of one route.

use crate::configuration_check::check_limits::CheckLimits;
use crate::configuration_check::configuration_finding::{
    CheckedField, ConfigurationFinding, ConfigurationPart,
};
use crate::{GatherRule, RepeatRule, RouteDestination, ServiceName, ServiceRoute};

/// Adds what is wrong with a route by itself.
pub fn check_route(
    route: &ServiceRoute,
    part: &ConfigurationPart,
    limits: &CheckLimits,
    findings: &mut Vec<ConfigurationFinding>,
) {
    let mut warn = |field, message: String| {
        findings.push(ConfigurationFinding::warning(part.clone(), field, message));
    };
    // A port is cut off the host of a request, and a query string off its path.
    if route.host.is_empty() || route.host.contains([':', '/', ' ']) {
        let message = format!(
            "it can never match, because no request has the host {:?} without its port",
            route.host
        );
        warn(CheckedField::Host, message);
    }
    if route.prefix.contains(['?', '#', ' ']) {
        let message = format!("it can never match, because no path has {:?}", route.prefix);
        warn(CheckedField::Prefix, message);
    }
    if route.objective > route.timeout {
        let message = format!(
            "the objective of {:?} is above the time-out of {:?}",
            route.objective, route.timeout
        );
        warn(CheckedField::Objective, message);
    }
    if route.timeout.is_zero() {
        let message = "the time-out of 0 refuses every request".to_owned();
        warn(CheckedField::Whole, message);
    }
    if route.attempts > limits.targets {
        let message = format!(
            "{} attempts, but a service has at most {} targets",
            route.attempts, limits.targets
        );
        warn(CheckedField::Attempts, message);
    }
    match &route.destination {
        RouteDestination::Service(_) => {}
        RouteDestination::Split(parts) => check_split(parts, warn),
        RouteDestination::Gather(rule) => check_gather(rule, route.repeat, warn),
    }
}

fn check_split(parts: &[(ServiceName, f64)], mut warn: impl FnMut(CheckedField, String)) {
    let is_used = |weight: f64| weight > 0.0 && weight.is_finite();
    for (service, weight) in parts.iter().filter(|(_, weight)| !is_used(*weight)) {
        let message = format!("service {service:?} gets no request, as its weight is {weight}");
        warn(CheckedField::Split, message);
    }
    if !parts.iter().any(|(_, weight)| is_used(*weight)) {
        let message = "every request is refused, as no part has a weight above 0".to_owned();
        warn(CheckedField::Split, message);
    }
}

fn check_gather(rule: &GatherRule, repeat: RepeatRule, mut warn: impl FnMut(CheckedField, String)) {
    let shards = rule.shards.len();
    if shards == 0 {
        let message = "it has no shards, so no request can be answered".to_owned();
        warn(CheckedField::Gather, message);
    }
    if shards > 1 && rule.least_parts() == shards {
        let message = format!(
            "a coverage of {} needs every one of {shards} shards, so that one slow or lost shard \
             fails the request",
            rule.least_coverage
        );
        warn(CheckedField::Coverage, message);
    }
    if repeat == RepeatRule::AtMostOnce {
        let message = "requests to shards may be repeated, although the route is not safe";
        warn(CheckedField::Gather, message.to_owned());
    }
}
