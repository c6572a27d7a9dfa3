//! Which evacuations are in force after the store came back from an older copy.

use Step::*;
use nutmegspread_tier::*;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
enum Step {
    Era,
    List(&'static [&'static str]),
    Put(&'static str),
    Remove(&'static str),
    Expire,
}

/// Applies a step; returns whether the domains in force have changed.
fn play(set: &mut EvacuationSet, now: Instant, step: &Step) -> bool {
    match step {
        Era => {
            set.begin_era();
            false
        }
        List(names) => set.replace(now, names.iter().map(|name| (*name).into())),
        Put(name) => set.put((*name).into()),
        Remove(name) => set.remove(&(*name).into()),
        Expire => set.expire(now),
    }
}

fn names<'a>(domains: impl IntoIterator<Item = &'a FailureDomain>) -> Vec<String> {
    let mut names: Vec<String> = domains.into_iter().map(ToString::to_string).collect();
    names.sort();
    names
}

/// Plays steps at these times in milliseconds, and checks that each tells whether it has changed the
/// domains in force.
fn after(name: &str, steps: &[(u64, Step)]) -> EvacuationSet {
    let start = Instant::now();
    let mut set = EvacuationSet::new(EvacuationSettings::default());
    for (time, step) in steps {
        let before = set.domains();
        let has_changed = play(&mut set, start + Duration::from_millis(*time), step);
        assert_eq!(has_changed, before != set.domains(), "{name}, {step:?}");
    }
    set
}

#[test]
fn without_a_restore_the_store_is_followed_at_once() {
    let cases: [(&str, &[Step], &[&str]); 5] = [
        ("a list", &[List(&["a", "b"])], &["a", "b"]),
        ("put twice", &[Put("a"), Put("a")], &["a"]),
        ("removed", &[Put("a"), Remove("a"), Remove("b")], &[]),
        ("missing", &[List(&["a", "b"]), List(&["b"])], &["b"]),
        ("the same list", &[List(&["a"]), List(&["a"])], &["a"]),
    ];
    for (name, steps, expected) in cases {
        let steps: Vec<_> = steps.iter().cloned().map(|step| (0, step)).collect();
        assert_eq!(names(&after(name, &steps).domains()), expected, "{name}");
    }
}

#[test]
fn an_evacuation_that_an_older_copy_lacks_is_held() {
    type Steps = [(u64, Step)];
    type Names = [&'static str];
    let cases: [(&str, &Steps, &Names, &Names); 16] = [
        ("no list yet", &[(60_000, Expire)], &["a"], &[]),
        ("missing", &[(200, List(&[]))], &["a"], &["a"]),
        (
            "just before the end",
            &[(200, List(&[])), (10_199, Expire)],
            &["a"],
            &["a"],
        ),
        (
            "the time is over",
            &[(200, List(&[])), (10_200, Expire)],
            &[],
            &[],
        ),
        (
            "the time is over when a list is read",
            &[(200, List(&[])), (10_200, List(&["b"]))],
            &["b"],
            &[],
        ),
        (
            "a further list of the era does not prolong it",
            &[(200, List(&[])), (9000, List(&["b"])), (10_200, Expire)],
            &["b"],
            &[],
        ),
        (
            "a further list of the era does not end it",
            &[(200, List(&[])), (300, List(&["b"]))],
            &["a", "b"],
            &["a"],
        ),
        (
            "written again",
            &[(200, List(&[])), (300, Put("a")), (60_000, Expire)],
            &["a"],
            &[],
        ),
        (
            "listed again",
            &[(200, List(&[])), (300, List(&["a"])), (60_000, Expire)],
            &["a"],
            &[],
        ),
        (
            "written again, then missing in a list of the era",
            &[(200, List(&[])), (300, Put("a")), (400, List(&[]))],
            &[],
            &[],
        ),
        (
            "in the copy, then missing in a list of the era",
            &[(200, List(&["a"])), (300, List(&[]))],
            &[],
            &[],
        ),
        (
            "removed while it is held",
            &[(200, List(&[])), (300, Remove("a"))],
            &[],
            &[],
        ),
        ("removed before a list", &[(200, Remove("a"))], &[], &[]),
        (
            "a second restore starts the time anew",
            &[
                (200, List(&[])),
                (900, Era),
                (1000, List(&[])),
                (10_999, Expire),
            ],
            &["a"],
            &["a"],
        ),
        (
            "a second restore, and its time is over",
            &[
                (200, List(&[])),
                (900, Era),
                (1000, List(&[])),
                (11_000, Expire),
            ],
            &[],
            &[],
        ),
        (
            "confirmed, then lacking in a second copy",
            &[(200, List(&["a"])), (900, Era), (1000, List(&[]))],
            &["a"],
            &["a"],
        ),
    ];
    for (name, end, expected, held) in cases {
        let mut steps = vec![(0, Put("a")), (100, Era)];
        steps.extend_from_slice(end);
        let set = after(name, &steps);
        assert_eq!(names(&set.domains()), expected, "{name}");
        assert_eq!(names(set.held()), held, "{name}");
    }
}

#[test]
fn an_ended_evacuation_in_the_copy_is_in_force_again() {
    let steps = [
        (0, Put("a")),
        (50, Remove("a")),
        (100, Era),
        (200, List(&["a"])),
        (60_000, Expire),
    ];
    let set = after("in the copy", &steps);
    assert_eq!(names(&set.domains()), ["a"]);
    assert!(names(set.held()).is_empty());
}
