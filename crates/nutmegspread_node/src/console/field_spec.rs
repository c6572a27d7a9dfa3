//! The form fields of each section of the document, in the order in which pages show them.

use super::field_kind::FieldKind;

/// One field of a form.
#[derive(Clone, Copy, Debug)]
pub(super) struct FieldSpec {
    /// Path inside the entry; names are separated by slashes.
    pub path: &'static str,
    /// Label shown to operators, with the unit.
    pub label: &'static str,
    /// Kind of the value.
    pub kind: FieldKind,
}

const fn spec(path: &'static str, label: &'static str, kind: FieldKind) -> FieldSpec {
    FieldSpec { path, label, kind }
}

/// Fields of a failure domain.
pub(super) const DOMAIN_FIELDS: &[FieldSpec] = &[
    spec("region", "Region", FieldKind::Text),
    spec("state", "State", FieldKind::Serving),
];

/// Fields of a service.
pub(super) const SERVICE_FIELDS: &[FieldSpec] = &[
    spec("version", "Version", FieldKind::Text),
    spec("routes", "Routes", FieldKind::Names),
    spec("orders", "Takes orders", FieldKind::Flag),
    spec(
        "coverage/soft_deadline_ms",
        "Soft deadline, ms",
        FieldKind::Count,
    ),
    spec(
        "coverage/hard_deadline_ms",
        "Hard deadline, ms",
        FieldKind::Count,
    ),
    spec(
        "coverage/minimum_coverage",
        "Least coverage at the soft deadline, 0 to 1",
        FieldKind::Fraction,
    ),
    spec(
        "budget/extra_fraction",
        "Extra attempts, part of first ones, 0 to 1",
        FieldKind::Fraction,
    ),
    spec(
        "budget/burst",
        "Extra attempts that may be saved up",
        FieldKind::Count,
    ),
    spec(
        "budget/hedge_quantile",
        "Latency quantile before a hedge, 0 to 1",
        FieldKind::Fraction,
    ),
    spec(
        "budget/minimum_hedge_delay_ms",
        "Least hedge delay, ms",
        FieldKind::Count,
    ),
    spec("limits/slots", "Slots of a target", FieldKind::Count),
    spec(
        "limits/connections",
        "Connections of a target",
        FieldKind::Count,
    ),
    spec(
        "limits/connection_cost_ms",
        "Time for a new connection, ms",
        FieldKind::Count,
    ),
    spec(
        "limits/cold_slots",
        "Slots of a cold target",
        FieldKind::Count,
    ),
    spec(
        "limits/warm_after",
        "Requests until a target is warm",
        FieldKind::Count,
    ),
    spec("queue_limit", "Queue for each target", FieldKind::Count),
];

/// Fields of a target.
pub(super) const TARGET_FIELDS: &[FieldSpec] = &[
    spec("service", "Service", FieldKind::Service),
    spec("domain", "Failure domain", FieldKind::Domain),
    spec("version", "Version", FieldKind::Text),
    spec("address", "IP address and port", FieldKind::Text),
    spec("state", "State", FieldKind::Serving),
];

/// Fields of the limits of a target that doesn't use its service's limits.
pub(super) const LIMIT_FIELDS: &[FieldSpec] = &[
    spec("limits/slots", "Slots", FieldKind::Count),
    spec("limits/connections", "Connections", FieldKind::Count),
    spec(
        "limits/connection_cost_ms",
        "Time for a new connection, ms",
        FieldKind::Count,
    ),
    spec("limits/cold_slots", "Slots when cold", FieldKind::Count),
    spec("limits/warm_after", "Requests until warm", FieldKind::Count),
];

/// Fields of a rollout, without its steps.
pub(super) const ROLLOUT_FIELDS: &[FieldSpec] = &[
    spec("service", "Service", FieldKind::Service),
    spec("from", "From version", FieldKind::Text),
    spec("to", "To version", FieldKind::Text),
    spec("start_ms", "Start, UTC", FieldKind::Time),
    spec("finish_by_ms", "Finish by, UTC", FieldKind::Time),
    spec("hold_ms", "Hold after the last step, ms", FieldKind::Count),
];

/// Fields of a step of a rollout.
pub(super) const STEP_FIELDS: &[FieldSpec] = &[
    spec("share", "Share, 0 to 1", FieldKind::Fraction),
    spec("minimum_duration_ms", "Least time, ms", FieldKind::Count),
    spec(
        "minimum_samples",
        "Least queries on each route",
        FieldKind::Count,
    ),
];

/// Kind of the field at a path of the document; `None` if no form has such a field.
pub(super) fn kind_at(path: &str) -> Option<FieldKind> {
    let (section, rest) = path.split_once('/')?;
    let (_, field) = rest.split_once('/')?;
    let specs: &[&[FieldSpec]] = match section {
        "domains" => &[DOMAIN_FIELDS],
        "services" => &[SERVICE_FIELDS],
        "targets" => &[TARGET_FIELDS, LIMIT_FIELDS],
        "rollouts" => &[ROLLOUT_FIELDS],
        _ => return None,
    };
    let (specs, field) = match step_field(section, field) {
        Some(step_field) => (&[STEP_FIELDS][..], step_field),
        None => (specs, field),
    };
    let mut specs = specs.iter().copied().flatten();
    specs.find(|spec| spec.path == field).map(|spec| spec.kind)
}

/// The part after the position for a path inside a rollout such as `steps/0/share`; `None` for other
/// paths.
fn step_field<'a>(section: &str, field: &'a str) -> Option<&'a str> {
    let (_, field) = field.strip_prefix("steps/")?.split_once('/')?;
    (section == "rollouts").then_some(field)
}
