//! Decides whether a configuration that arrives replaces the one in force.

use crate::SharedState;
use nutmegspread_platform::{
    DecodeError, ObjectKind, StoreObject, conceal_keys, decode_configuration,
};
use nutmegspread_tier::{RouteTable, check_table};
use std::cmp::Ordering;
use std::sync::Arc;

/// Largest number of findings of one version that are logged.
const MAX_LOGGED_FINDINGS: usize = 8;

/// What becomes of a configuration that arrives.
#[derive(Debug)]
pub enum ConfigurationIntake {
    /// It is later than the one in force.
    Later(Arc<RouteTable>),
    /// It has the version in force.
    Same,
    /// It is earlier than the one in force, which stays.
    Earlier,
}

/// Decodes a configuration and compares it with the one in force. Logs a change, and what an operator
/// hardly meant in it.
///
/// # Errors
/// When the object cannot be decoded.
pub fn take_configuration(
    shared: &SharedState,
    current: Option<&Arc<RouteTable>>,
    object: &StoreObject,
) -> Result<ConfigurationIntake, DecodeError> {
    let table = decode_configuration(&object.contents, &shared.key_secret)?;
    let current_version = current.map_or(0, |table| table.version);
    match table.version.cmp(&current_version) {
        Ordering::Less => return Ok(ConfigurationIntake::Earlier),
        Ordering::Equal => return Ok(ConfigurationIntake::Same),
        Ordering::Greater => {}
    }
    let tenants = table.tenants.as_ref().map(|tenants| tenants.len());
    log::info!(event = "configuration", version = table.version, before = current_version,
        revision = object.revision, tenants; "applied a new configuration");
    log_findings(shared, &table, object.revision);
    Ok(ConfigurationIntake::Later(Arc::new(table)))
}

fn log_findings(shared: &SharedState, table: &RouteTable, revision: u64) {
    let faults = table.tenants.iter().flat_map(|tenants| tenants.faults());
    for fault in faults {
        shared.metrics.count("tenant_faults", fault.name());
    }
    let findings = check_table(table, &shared.callers.settings().check_limits());
    for finding in findings.iter().take(MAX_LOGGED_FINDINGS) {
        log::warn!(event = "configuration_finding", version = table.version, revision,
            part:% = finding.part, reason = finding.message.as_str(), findings = findings.len();
            "a part of the configuration is not used, or contradicts another");
    }
}

/// Removes the keys of tenants from objects that were read from the store or from a peer.
pub fn conceal_objects<'a>(kind: ObjectKind, contents: impl Iterator<Item = &'a mut String>) {
    if kind == ObjectKind::Configuration {
        for contents in contents {
            *contents = conceal_keys(std::mem::take(contents));
        }
    }
}
