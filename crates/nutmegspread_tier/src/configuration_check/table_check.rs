//! Check of a whole configuration.

use crate::configuration_check::check_limits::CheckLimits;
use crate::configuration_check::configuration_finding::{
    CheckedField, ConfigurationFinding, ConfigurationPart,
};
use crate::configuration_check::limit_check::check_caller_limits;
use crate::configuration_check::route_check::check_route;
use crate::{RouteDestination, RouteTable, ServiceName, ServiceRoute, TenantFault};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

/// Finds entries that can never match, and limits that contradict each other. The cost grows with the
/// size of the configuration, and not with its square.
pub fn check_table(table: &RouteTable, limits: &CheckLimits) -> Vec<ConfigurationFinding> {
    let mut findings = Vec::new();
    check_routes(table, limits, &mut findings);
    check_services(table, &mut findings);
    check_tenants(table, &mut findings);
    check_caller_limits(&table.limits, limits, &mut findings);
    findings
}

fn check_routes(
    table: &RouteTable,
    limits: &CheckLimits,
    findings: &mut Vec<ConfigurationFinding>,
) {
    let mut names: IndexSet<&str> = IndexSet::new();
    for (host, routes) in &table.hosts {
        // Routes of one prefix stay in the order of the document, and the first one matches.
        let mut first: IndexMap<&str, &Arc<ServiceRoute>> = IndexMap::new();
        let mut copies: IndexMap<(&str, &str), usize> = IndexMap::new();
        for route in routes {
            let copies = copies.entry((&route.name, &route.prefix)).or_default();
            let part = ConfigurationPart::Route {
                name: Arc::clone(&route.name),
                host: host.clone(),
                prefix: route.prefix.clone(),
                copies: *copies,
            };
            *copies += 1;
            let earlier = *first.entry(&route.prefix).or_insert(route);
            if !Arc::ptr_eq(earlier, route) {
                let message = format!(
                    "it can never match, because route {:?} has the same host and prefix",
                    earlier.name
                );
                let warning =
                    ConfigurationFinding::warning(part.clone(), CheckedField::Prefix, message);
                findings.push(warning);
            }
            if !names.insert(&route.name) {
                let message = "another route has the same name, so logs and metrics mix both";
                findings.push(ConfigurationFinding::warning(
                    part.clone(),
                    CheckedField::Whole,
                    message.to_owned(),
                ));
            }
            check_route(route, &part, limits, findings);
        }
    }
}

fn check_services(table: &RouteTable, findings: &mut Vec<ConfigurationFinding>) {
    let mut used: IndexSet<&ServiceName> = IndexSet::new();
    for route in table.hosts.values().flatten() {
        match &route.destination {
            RouteDestination::Service(service) => drop(used.insert(service)),
            RouteDestination::Split(parts) => used.extend(parts.iter().map(|(name, _)| name)),
            RouteDestination::Gather(rule) => used.extend(rule.shards.iter()),
        }
    }
    let unused = table.services.keys().filter(|name| !used.contains(*name));
    findings.extend(unused.map(|name| {
        let part = ConfigurationPart::Service(Arc::clone(name));
        let message = "no route names it, so it gets no request".to_owned();
        ConfigurationFinding::warning(part, CheckedField::Whole, message)
    }));
}

fn check_tenants(table: &RouteTable, findings: &mut Vec<ConfigurationFinding>) {
    let Some(tenants) = &table.tenants else {
        return;
    };
    findings.extend(tenants.faults().iter().map(|fault| match fault {
        TenantFault::Unreadable { entry, reason } => ConfigurationFinding {
            part: ConfigurationPart::TenantEntry(*entry),
            field: CheckedField::Whole,
            is_error: true,
            message: format!("it is left out: {reason}"),
        },
        TenantFault::SharedKey { .. } => ConfigurationFinding::warning(
            ConfigurationPart::Tenants,
            CheckedField::Whole,
            fault.to_string(),
        ),
    }));
}
