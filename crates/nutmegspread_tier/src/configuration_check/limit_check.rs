//! Check of the limits on requests of callers against the size of a node.

use crate::CallerLimits;
use crate::configuration_check::check_limits::CheckLimits;
use crate::configuration_check::configuration_finding::{
    CheckedField, ConfigurationFinding, ConfigurationPart,
};

/// Adds limits on requests of callers that a node of the given size cannot keep.
pub fn check_caller_limits(
    callers: &CallerLimits,
    limits: &CheckLimits,
    findings: &mut Vec<ConfigurationFinding>,
) {
    let mut warn = |field, message| {
        let part = ConfigurationPart::Limits;
        findings.push(ConfigurationFinding::warning(part, field, message));
    };
    let bodies = limits.body_memory / callers.body_bytes.max(1);
    if bodies < limits.least_bodies {
        let message = format!(
            "bodies of {} bytes: a node with {} bytes for bodies holds {bodies} at once",
            callers.body_bytes, limits.body_memory
        );
        warn(CheckedField::BodyBytes, message);
    }
    let heads = callers.head_bytes.saturating_mul(limits.connections);
    if heads > limits.body_memory {
        let message = format!(
            "heads of {} bytes on {} connections need more than the {} bytes of a node",
            callers.head_bytes, limits.connections, limits.body_memory
        );
        warn(CheckedField::HeadBytes, message);
    }
}
