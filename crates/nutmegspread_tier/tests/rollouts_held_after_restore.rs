//! Rollouts whose order a restored store lacks, or holds as it was before.

mod restored_orders;

use indexmap::IndexSet;
use nutmegspread_tier::*;
use restored_orders::{COMPLETED, ROLLED_BACK, RUNNING, evidence, order};
use std::time::{Duration, Instant};

/// What a node learns of the object of a rollout after the store was restored.
enum Step {
    /// A list, perhaps with an order.
    List(Option<RolloutOrder>),
    /// A change of the object.
    Put(RolloutOrder),
    Remove,
    /// Seconds until the next step.
    Wait(u64),
}

fn of_version(version: &str, order: RolloutOrder) -> RolloutOrder {
    RolloutOrder {
        version: version.to_owned(),
        ..order
    }
}

/// A node that knows a completed rollout of v1 and then one of v2, with the state `recorded`.
fn known_rollouts(now: Instant, recorded: Option<RolloutState>) -> KnownRollouts {
    let mut known = KnownRollouts::default();
    known.apply_order(now, "s", of_version("v1", order(1, 3, None, 30)));
    known.apply_order(now, "s", of_version("v1", order(1, 5, COMPLETED, 30)));
    known.apply_order(now, "s", order(1, 8, None, 30));
    for control in known.rollouts_mut() {
        control.apply_evidence(now, &"n1".into(), 1, evidence((1, 8), false, 0));
    }
    known.apply_order(now, "s", order(1, 9, recorded, 30));
    known
}

fn apply_step(known: &mut KnownRollouts, now: &mut Instant, step: Step) {
    match step {
        Step::List(order) => {
            let names = order.iter().map(|_| "s").collect::<IndexSet<&str>>();
            known.begin_era(*now, 2);
            known.retain(*now, &names);
            if let Some(order) = order {
                known.apply_order(*now, "s", order);
            }
        }
        Step::Put(order) => known.apply_order(*now, "s", order),
        Step::Remove => {
            known.remove(*now, "s", 0);
        }
        Step::Wait(seconds) => *now += Duration::from_secs(seconds),
    }
    known.expire(*now);
}

/// Guards against a rollout that starts anew, or moves traffic back to stopped targets, because the
/// restored store lacks its order or holds the one before.
#[test]
fn a_rollout_goes_on_until_its_order_is_written_again() {
    use RolloutStage as Stage;
    use Step::{List, Put, Remove, Wait};
    let v1 = |revision, recorded| of_version("v1", order(2, revision, recorded, 30));
    let v3 = |revision| of_version("v3", order(2, revision, None, 30));
    let v2 = |revision, recorded| order(2, revision, recorded, 30);
    // Version and stage of the rollout at the end, and attempts counted on its old version, which are
    // forgotten if an ended rollout was dropped meanwhile.
    let cases = [
        (
            "missing",
            RUNNING,
            vec![List(None), Wait(9)],
            Some(("v2", Stage::Trying, 7)),
        ),
        (
            "missing, decided",
            COMPLETED,
            vec![List(None), Wait(9)],
            Some(("v2", Stage::Completed, 7)),
        ),
        (
            "not written again",
            RUNNING,
            vec![List(None), Wait(10)],
            None,
        ),
        (
            "listed twice",
            RUNNING,
            vec![List(None), Wait(9), List(None), Wait(1)],
            None,
        ),
        (
            "written again",
            RUNNING,
            vec![List(None), Wait(3), Put(v2(6, None)), Wait(20)],
            Some(("v2", Stage::Trying, 7)),
        ),
        (
            "written again late",
            COMPLETED,
            vec![List(None), Wait(12), Put(v2(9, None))],
            Some(("v2", Stage::Completed, 0)),
        ),
        (
            "written again at once",
            ROLLED_BACK,
            vec![List(Some(v2(6, None)))],
            Some(("v2", Stage::RolledBack, 7)),
        ),
        (
            "before it",
            RUNNING,
            vec![List(Some(v1(5, COMPLETED))), Wait(9)],
            Some(("v2", Stage::Trying, 7)),
        ),
        (
            "before it, decided",
            COMPLETED,
            vec![List(Some(v1(4, RUNNING))), Wait(9)],
            Some(("v2", Stage::Completed, 7)),
        ),
        (
            "before it, changed",
            COMPLETED,
            vec![List(Some(v1(4, None))), Put(v1(9, RUNNING)), Wait(9)],
            Some(("v2", Stage::Completed, 7)),
        ),
        (
            "before it, for good",
            RUNNING,
            vec![List(Some(v1(4, RUNNING))), Put(v1(9, RUNNING)), Wait(10)],
            Some(("v1", Stage::Completed, 0)),
        ),
        (
            "before it, then it",
            RUNNING,
            vec![
                List(Some(v1(5, COMPLETED))),
                Wait(3),
                Put(v2(7, None)),
                Wait(9),
            ],
            Some(("v2", Stage::Trying, 7)),
        ),
        (
            "unknown before, then it",
            COMPLETED,
            vec![List(Some(v3(2))), Wait(3), Put(v2(7, None))],
            Some(("v2", Stage::Completed, 0)),
        ),
        (
            "a new one",
            COMPLETED,
            vec![List(Some(v3(12)))],
            Some(("v3", Stage::Trying, 0)),
        ),
        (
            "v1 again",
            COMPLETED,
            vec![List(Some(v1(12, None)))],
            Some(("v1", Stage::Trying, 0)),
        ),
        (
            "removed",
            COMPLETED,
            vec![List(Some(v2(7, RUNNING))), Remove],
            None,
        ),
        (
            "removed, ordered again",
            COMPLETED,
            vec![List(Some(v2(7, COMPLETED))), Remove, Put(v2(9, None))],
            Some(("v2", Stage::Trying, 0)),
        ),
        (
            "removed before",
            COMPLETED,
            vec![Remove, Wait(5), List(Some(v2(9, RUNNING)))],
            Some(("v2", Stage::Completed, 0)),
        ),
        (
            "late answer",
            COMPLETED,
            vec![List(Some(v2(7, RUNNING))), Put(order(1, 8, None, 50))],
            Some(("v2", Stage::Completed, 7)),
        ),
    ];
    for (name, recorded, steps, expected) in cases {
        let mut now = Instant::now();
        let mut known = known_rollouts(now, recorded);
        for step in steps {
            apply_step(&mut known, &mut now, step);
        }
        let found = known.rollouts().next().map(|control| {
            let sends = control.summary().0.old.sends;
            (control.order().version.as_str(), control.stage(now), sends)
        });
        assert_eq!(found, expected, "{name}");
    }
}

/// Guards against a write that was decided in one era and is sent in the next, in which its revision may
/// belong to other contents.
#[test]
fn states_are_written_only_for_orders_of_the_present_era() {
    let now = Instant::now();
    let later = now + Duration::from_secs(29);
    let mut known = known_rollouts(now, RUNNING);
    let writes = known.writes(later);
    let [(name, order_before, state)] = writes.as_slice() else {
        panic!("one write: {writes:?}");
    };
    assert_eq!((name.as_str(), Some(*state)), ("s", COMPLETED));
    assert!(known.may_write(name, order_before));
    known.begin_era(later, 2);
    assert!(!known.may_write(name, order_before));
    known.apply_order(later, "s", order(2, 9, RUNNING, 30));
    assert!(!known.may_write(name, order_before));
    let writes = known.writes(later);
    assert_eq!(writes, [("s".to_owned(), order(2, 9, RUNNING, 30), *state)]);

    let mut known = known_rollouts(now, COMPLETED);
    known.begin_era(later, 2);
    known.retain(later, &IndexSet::new());
    assert_eq!(known.writes(later), []);
    known.apply_order(later, "s", order(2, 4, None, 30));
    let written = known.writes(later);
    assert_eq!(
        written,
        [(
            "s".to_owned(),
            order(2, 4, COMPLETED, 30),
            RolloutState::Completed
        )]
    );
    assert!(known.may_write("s", &written[0].1));
    known.apply_order(later, "s", order(2, 5, None, 30));
    assert!(!known.may_write("s", &written[0].1));
}

/// Guards against a rollout that is judged anew because the store is restored after it acknowledged the
/// final state and before the node read it.
#[test]
fn an_acknowledged_state_holds_before_it_is_read() {
    let now = Instant::now();
    let later = now + Duration::from_secs(29);
    let mut known = known_rollouts(now, RUNNING);
    let writes = known.writes(later);
    let (name, before, state) = &writes[0];
    known.record_write(name, before, *state);
    known.apply_order(later, "s", order(2, 9, RUNNING, 30));
    for control in known.rollouts_mut() {
        control.apply_evidence(later, &"n2".into(), 1, evidence((2, 9), true, 0));
        assert_eq!(control.stage(later), RolloutStage::Completed);
    }
    assert_eq!(known.writes(later)[0].2, RolloutState::Completed);
}
