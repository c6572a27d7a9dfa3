//! Validation of the rollouts of a configuration document.

use super::document_check::{FieldCheck, quoted};
use super::{ConfigurationDocument, FieldPath, RolloutSettings, RolloutStep};
use crate::RolloutId;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub(super) fn check_rollouts(check: &mut FieldCheck, document: &ConfigurationDocument) {
    for (position, (id, settings)) in document.rollouts.iter().enumerate() {
        let path = FieldPath::default().field("rollouts").field(id);
        check_versions(check, &path, document, settings);
        check_steps(check, &path.field("steps"), &settings.steps);
        check_times(check, &path, settings);
        let earlier = document.rollouts.iter().take(position);
        check_overlap(check, &path, settings, earlier);
    }
}

fn check_versions(
    check: &mut FieldCheck,
    path: &FieldPath,
    document: &ConfigurationDocument,
    settings: &RolloutSettings,
) {
    let is_defined = document.services.contains_key(&settings.service);
    check.require_defined(
        is_defined,
        "service",
        &settings.service,
        &path.field("service"),
    );
    for (field, version) in [("from", &settings.from), ("to", &settings.to)] {
        let mut targets = document.targets.values();
        let has_target =
            targets.any(|target| target.service == settings.service && target.version == *version);
        let expected = "a version that a target of the service runs";
        check.require(has_target, &path.field(field), expected, quoted(version));
    }
    let is_other_version = settings.from != settings.to;
    check.require(
        is_other_version,
        &path.field("to"),
        "another version than `from`",
        quoted(&settings.to),
    );
}

fn check_steps(check: &mut FieldCheck, path: &FieldPath, steps: &[RolloutStep]) {
    let mut largest_share = 0.0;
    for (index, step) in steps.iter().enumerate() {
        let path = path.index(index).field("share");
        let is_valid = step.share > largest_share && step.share <= 1.0;
        let expected = format!("a share above {largest_share} and at most 1");
        check.require(is_valid, &path, expected, step.share.to_string());
        largest_share = step.share.max(largest_share);
    }
    let last = steps
        .last()
        .map_or("no step".to_owned(), |step| step.share.to_string());
    let ends_with_all_traffic = steps.last().is_some_and(|step| step.share == 1.0);
    check.require(
        ends_with_all_traffic,
        path,
        "a last step with the share 1",
        last,
    );
}

fn check_times(check: &mut FieldCheck, path: &FieldPath, settings: &RolloutSettings) {
    let path = path.field("finish_by_ms");
    let Ok(available_time) = settings.finish_by.duration_since(settings.start) else {
        check.require(
            false,
            &path,
            "a time after the start",
            epoch_millis(settings.finish_by),
        );
        return;
    };
    let total_time: Option<Duration> = settings
        .steps
        .iter()
        .try_fold(settings.hold, |total, step| {
            total.checked_add(step.minimum_duration)
        });
    let required_time = total_time.unwrap_or(Duration::MAX);
    check.require(
        required_time <= available_time,
        &path,
        format!(
            "at least {} ms after the start, for all steps and the hold",
            required_time.as_millis()
        ),
        format!("{} ms after the start", available_time.as_millis()),
    );
}

fn check_overlap<'a>(
    check: &mut FieldCheck,
    path: &FieldPath,
    settings: &RolloutSettings,
    earlier: impl Iterator<Item = (&'a RolloutId, &'a RolloutSettings)>,
) {
    for (id, other) in earlier {
        let overlaps = other.service == settings.service
            && other.start < settings.finish_by
            && settings.start < other.finish_by;
        check.require(
            !overlaps,
            &path.field("start_ms"),
            format!("a time outside the rollout {id:?} of the same service"),
            epoch_millis(settings.start),
        );
    }
}

fn epoch_millis(time: SystemTime) -> String {
    time.duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
        .to_string()
}
