//! Which targets are used after the store came back from an older copy.

use Step::*;
use nutmegspread_tier::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Start time and sequence number of a registration, and whether the target is draining.
type Report = (u64, u64, bool);

#[derive(Clone, Debug)]
enum Step {
    /// The store comes back from an older copy.
    Era,
    /// A complete list.
    List(Vec<(&'static str, Report)>),
    Put(&'static str, Report),
    Unreadable(&'static str),
    Remove(&'static str),
    Expire,
    /// The registrations are known up to the present.
    Confirm,
}

const READY: Report = (1, 9, false);
const OLDER: Report = (1, 5, false);
const LATER: Report = (1, 10, false);
const RESTARTED: Report = (2, 0, false);
const DRAINING: Report = (1, 9, true);

fn record(id: &str, (started_ms, report, draining): Report) -> Arc<TargetRecord> {
    Arc::new(TargetRecord {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("address"),
        domain: "d".into(),
        version: "v1".to_owned(),
        slots: 2,
        draining,
        cold_left: Duration::from_secs(report),
        started_ms,
        report,
    })
}

fn play(registry: &mut TargetRegistry, now: Instant, step: &Step) {
    match step {
        Era => registry.begin_era(now),
        List(entries) => {
            let entries = entries.iter();
            let entries = entries.map(|(id, report)| ((*id).into(), Some(record(id, *report))));
            registry.replace(now, entries);
        }
        Put(id, report) => registry.apply(
            now,
            RegistryChange::Put((*id).into(), Some(record(id, *report))),
        ),
        Unreadable(id) => registry.apply(now, RegistryChange::Put((*id).into(), None)),
        Remove(id) => registry.apply(now, RegistryChange::Remove((*id).into())),
        Expire => {
            registry.expire(now);
        }
        Confirm => {
            registry.admit_renewed(now, now);
        }
    }
}

/// Plays steps at these times in milliseconds; returns the registry at the end.
fn after(steps: &[(u64, Step)]) -> TargetRegistry {
    let start = Instant::now();
    let mut registry = TargetRegistry::default();
    for (time, step) in steps {
        play(&mut registry, start + Duration::from_millis(*time), step);
    }
    registry
}

fn usable(registry: &TargetRegistry) -> Vec<Arc<TargetRecord>> {
    registry.usable().into_values().flatten().collect()
}

/// The sequence numbers of the usable registrations at the end, with how many were kept and refused.
fn outcome(steps: &[(u64, Step)]) -> (Vec<u64>, u64, u64) {
    let registry = after(steps);
    let reports = usable(&registry).into_iter().map(|record| record.report);
    (
        reports.collect(),
        registry.kept_count(),
        registry.refused_count(),
    )
}

#[test]
fn a_missing_target_is_used_for_the_return_time() {
    let lost = |end: &[(u64, Step)]| {
        let mut steps = vec![(0, Put("a", READY)), (100, Era), (200, List(vec![]))];
        steps.extend_from_slice(end);
        outcome(&steps)
    };
    let cases = [
        ("no end yet", lost(&[(2599, Expire)]), (vec![9], 1, 0)),
        ("the time is over", lost(&[(2600, Expire)]), (vec![], 1, 0)),
        (
            "registered again",
            lost(&[(2000, Put("a", LATER)), (9000, Expire)]),
            (vec![10], 1, 0),
        ),
        (
            "started again",
            lost(&[(2000, Put("a", RESTARTED)), (9000, Expire)]),
            (vec![0], 1, 0),
        ),
        (
            "listed again with the same registration",
            lost(&[(300, List(vec![("a", READY)])), (9000, Expire)]),
            (vec![9], 1, 0),
        ),
        (
            "an older registration, too late, before the end was seen",
            lost(&[(2700, Put("a", OLDER))]),
            (vec![], 1, 1),
        ),
        (
            "an older registration after the end was seen",
            lost(&[(2600, Expire), (2700, Put("a", OLDER))]),
            (vec![], 1, 1),
        ),
        (
            "a second era starts the time anew",
            lost(&[(900, Era), (950, List(vec![])), (3399, Expire)]),
            (vec![9], 2, 0),
        ),
        (
            "a second era, and its time is over",
            lost(&[(900, Era), (950, List(vec![])), (3400, Expire)]),
            (vec![], 2, 0),
        ),
        (
            "a second era after the end does not bring it back",
            lost(&[(2700, Era), (2800, Expire)]),
            (vec![], 1, 0),
        ),
        (
            "a second copy has an older registration",
            lost(&[(900, Era), (950, List(vec![("a", OLDER)])), (9000, Expire)]),
            (vec![9], 2, 0),
        ),
    ];
    for (name, seen, expected) in cases {
        assert_eq!(seen, expected, "{name}");
    }
}

#[test]
fn a_removal_after_the_return_time_takes_effect_at_once() {
    let steps = [(0, Put("a", READY)), (100, Era), (2600, Remove("a"))];
    assert_eq!(outcome(&steps), (vec![], 0, 0));
    let steps = [(0, Put("a", READY)), (100, Era), (2500, Remove("a"))];
    assert_eq!(outcome(&steps), (vec![9], 1, 0));
}

#[test]
fn a_draining_target_does_not_come_back() {
    let cases: [(&str, &[Step], &[u64]); 6] = [
        ("missing", &[List(vec![])], &[]),
        (
            "ready with the same number",
            &[List(vec![("a", READY)])],
            &[],
        ),
        ("ready in the copy", &[List(vec![("a", OLDER)])], &[]),
        (
            "missing, then ready in a second copy",
            &[List(vec![]), Era, List(vec![("a", OLDER)])],
            &[],
        ),
        (
            "ready again with a later registration",
            &[List(vec![]), Put("a", LATER)],
            &[10],
        ),
        ("started again", &[Put("a", RESTARTED)], &[0]),
    ];
    for (name, end, expected) in cases {
        let mut steps = vec![(0, Put("a", OLDER)), (0, Put("a", DRAINING)), (100, Era)];
        steps.extend(end.iter().cloned().map(|step| (200, step)));
        assert_eq!(outcome(&steps).0, expected, "{name}");
    }
}

#[test]
fn a_removed_target_is_used_again_only_with_a_later_registration() {
    let listed = |report| List(vec![("a", report)]);
    type Steps = [(u64, Step)];
    let cases: [(&str, &Steps, &[u64], u64); 14] = [
        ("the same", &[(0, listed(READY))], &[], 1),
        ("an older one", &[(0, listed(OLDER))], &[], 1),
        ("an older change", &[(0, Put("a", OLDER))], &[], 1),
        ("an earlier start", &[(0, listed((0, 50, false)))], &[], 1),
        ("a later one", &[(0, listed(LATER))], &[10], 0),
        ("a later start", &[(0, listed(RESTARTED))], &[0], 0),
        (
            "the same after a later one",
            &[(0, listed(LATER)), (0, Put("a", READY))],
            &[10],
            0,
        ),
        (
            "listed twice",
            &[(0, listed(OLDER)), (10, listed(OLDER))],
            &[],
            1,
        ),
        (
            "in the next era, too",
            &[(0, listed(OLDER)), (500, Era), (500, listed(READY))],
            &[],
            2,
        ),
        (
            "removed again",
            &[(0, listed(OLDER)), (10, Remove("a")), (20, Put("a", READY))],
            &[],
            2,
        ),
        (
            "removed again, late",
            &[
                (0, listed(OLDER)),
                (50_000, Remove("a")),
                (65_000, Expire),
                (65_000, Put("a", OLDER)),
            ],
            &[],
            2,
        ),
        (
            "renewed for longer than any registration lasts",
            &[(0, listed(OLDER)), (59_999, Confirm), (60_000, Confirm)],
            &[5],
            1,
        ),
        (
            "not confirmed for long",
            &[(0, listed(OLDER)), (59_000, Confirm), (90_000, Expire)],
            &[],
            1,
        ),
        (
            "gone before the time is over",
            &[
                (0, listed(OLDER)),
                (50_000, List(vec![])),
                (90_000, Confirm),
            ],
            &[],
            1,
        ),
    ];
    for removal in [Remove("a"), List(vec![]), Unreadable("a")] {
        for (name, end, expected, refused) in &cases {
            let mut steps = vec![(0, Put("a", READY)), (0, removal.clone()), (1000, Era)];
            steps.extend(end.iter().map(|(time, step)| (1000 + time, step.clone())));
            let (reports, _, refusals) = outcome(&steps);
            let context = format!("{name}, after {removal:?}");
            assert_eq!((&reports[..], refusals), (*expected, *refused), "{context}");
        }
    }
}

#[test]
fn a_target_that_lapsed_after_a_restore_is_remembered_with_what_was_known_before() {
    let lapsed = [
        (0, Put("a", READY)),
        (100, Era),
        (200, List(vec![("a", OLDER)])),
        (3000, Remove("a")),
        (3100, Put("a", OLDER)),
    ];
    assert_eq!(outcome(&lapsed), (vec![], 1, 1));
}

#[test]
fn within_an_era_the_same_registration_counts_again() {
    let steps = [
        (0, Put("a", READY)),
        (100, Era),
        (200, List(vec![("a", READY)])),
        (5000, Remove("a")),
        (5100, Put("a", READY)),
    ];
    assert_eq!(outcome(&steps), (vec![9], 0, 0));
}

#[test]
fn an_unknown_target_in_the_copy_is_used() {
    let steps = [(0, Put("a", READY)), (100, Era), (200, Put("b", OLDER))];
    assert_eq!(outcome(&steps), (vec![9, 5], 0, 0));
}

/// The time for which a target stays cold counts from the reading of its latest registration.
#[test]
fn an_older_or_equal_registration_does_not_replace_a_known_one() {
    let start = Instant::now();
    for listed in [OLDER, READY] {
        let mut registry = after(&[(0, Put("a", READY)), (100, Era)]);
        let before = usable(&registry).remove(0);
        play(&mut registry, start, &List(vec![("a", listed)]));
        assert!(Arc::ptr_eq(&before, &usable(&registry)[0]), "{listed:?}");
    }
}

#[test]
fn what_is_remembered_is_bounded_in_number_and_age() {
    let start = Instant::now();
    let settings = RegistrySettings {
        removed_limit: 3500,
        ..Default::default()
    };
    let targets = |count: u64| {
        let ids = (0..count).map(|number| format!("t{number}"));
        ids.map(|id| (TargetId::from(&*id), Some(record(&id, READY))))
    };
    for (removed, age, refused) in [(3500, 59, 3500), (3600, 59, 3500), (3500, 60, 0)] {
        let mut registry = TargetRegistry::new(settings);
        registry.replace(start, targets(removed));
        registry.replace(start, std::iter::empty());
        let now = start + Duration::from_secs(age);
        registry.expire(now);
        registry.begin_era(now);
        registry.replace(now, targets(removed));
        let context = format!("{removed} removed, {age} s");
        assert_eq!(registry.refused_count(), refused, "{context}");
        assert_eq!(
            usable(&registry).len() as u64,
            removed - refused,
            "{context}"
        );
    }
}
