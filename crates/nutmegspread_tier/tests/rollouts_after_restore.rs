//! Rollouts whose order is read again from a store that was restored from an older copy.

mod restored_orders;

use nutmegspread_tier::*;
use restored_orders::{COMPLETED, ROLLED_BACK, RUNNING, evidence, order};
use std::time::{Duration, Instant};

fn control(order: RolloutOrder, now: Instant) -> RolloutControl {
    RolloutControl::new(RolloutSettings::default(), order, now)
}

/// Guards against an ended rollout that runs again because the restored store has lost its final state.
#[test]
fn an_ended_rollout_stays_ended_and_its_state_is_written_again() {
    use RolloutStage as Stage;
    // The state known before the restore, the order as read after it, whether that is a new order,
    // and the stage and the state to write otherwise.
    let cases = [
        (COMPLETED, order(2, 5, None, 30), None),
        (COMPLETED, order(2, 5, RUNNING, 30), None),
        (COMPLETED, order(2, 20, RUNNING, 30), None),
        (COMPLETED, order(2, 20, None, 40), None),
        (ROLLED_BACK, order(2, 5, None, 30), None),
        (ROLLED_BACK, order(2, 20, RUNNING, 30), None),
        (ROLLED_BACK, order(2, 5, None, 40), Some("new")),
        (ROLLED_BACK, order(2, 5, ROLLED_BACK, 40), Some("new")),
        (COMPLETED, order(2, 5, COMPLETED, 30), Some("recorded")),
        (ROLLED_BACK, order(2, 5, ROLLED_BACK, 30), Some("recorded")),
    ];
    for (recorded, restored, other) in cases {
        let now = Instant::now();
        let case = format!("{recorded:?}, {restored:?}");
        let mut control = control(order(1, 8, None, 30), now);
        control.update_order(order(1, 9, RUNNING, 30));
        control.update_order(order(1, 10, recorded, 30));
        let is_again = control.is_ordered_again(&restored);
        assert_eq!(is_again, other == Some("new"), "{case}");
        if is_again {
            continue;
        }
        let revision = restored.revision;
        control.update_order(restored);
        let stage = if recorded == COMPLETED {
            Stage::Completed
        } else {
            Stage::RolledBack
        };
        for elapsed in [0, 10, 28, 60] {
            let now = now + Duration::from_secs(elapsed);
            assert!(!control.judge(now), "{case}");
            assert_eq!(control.stage(now), stage, "{case}");
        }
        let due = recorded.filter(|_| other.is_none());
        assert_eq!(control.next_write(now), due, "{case}");
        assert_eq!(control.order().revision, revision, "{case}");
        // The operator writes the order again before the state has been recorded.
        control.update_order(order(
            2,
            revision + 1,
            recorded.filter(|_| due.is_none()),
            30,
        ));
        assert_eq!(control.stage(now), stage, "{case}");
        control.update_order(order(2, revision + 2, recorded, 30));
        assert_eq!(
            control.next_write(now + Duration::from_secs(9)),
            None,
            "{case}"
        );
        // Once the store holds the state again, an order without one is a new one.
        let next = order(2, revision + 3, None, 30);
        assert!(control.is_ordered_again(&next), "{case}");
        // A late answer of the era before changes nothing.
        control.update_order(order(1, 99, RUNNING, 50));
        assert_eq!(control.order().position().era, 2, "{case}");
    }
}

/// Guards against an order that is taken as new because its revision went back, and against a late
/// answer of the era before that ends it.
#[test]
fn a_rollout_under_way_keeps_its_age_and_counts() {
    for (recorded, is_braked) in [(None, false), (RUNNING, false), (None, true)] {
        let now = Instant::now();
        let mut control = control(order(1, 8, None, 30), now);
        control.apply_evidence(now, &"n1".into(), 1, evidence((1, 8), is_braked, 0));
        let created = control.created();
        let later = now + Duration::from_secs(28);
        let restored = order(2, 3, recorded, 30);
        assert!(!control.is_ordered_again(&restored));
        control.update_order(restored);
        // A late answer of the era before.
        control.update_order(order(1, 9, ROLLED_BACK, 50));
        assert_eq!(control.created(), created);
        assert_eq!(control.summary().0.old.sends, 7);
        let (stage, state) = if is_braked {
            (RolloutStage::RolledBack, RolloutState::RolledBack)
        } else {
            (RolloutStage::Moving, RolloutState::Completed)
        };
        assert_eq!(control.stage(later), stage, "{recorded:?}");
        assert_eq!(control.next_write(later), Some(state), "{recorded:?}");
    }
}

/// Guards against a state of the order before that ends a repeated one after a restore.
#[test]
fn a_repeated_order_keeps_running_if_the_store_returns_with_the_state_of_the_one_before() {
    let now = Instant::now();
    let repeated = order(1, 9, ROLLED_BACK, 40);
    let mut control = RolloutControl::new_repeated(RolloutSettings::default(), repeated, now);
    control.update_order(order(1, 10, RUNNING, 40));
    control.update_order(order(2, 10, ROLLED_BACK, 40));
    assert_eq!(control.stage(now), RolloutStage::Trying);
    assert_eq!(control.next_write(now), RUNNING);
    control.update_order(order(2, 11, ROLLED_BACK, 40));
    assert_eq!(control.stage(now), RolloutStage::RolledBack);
}

/// Guards against a brake that is lost, and against counts on an earlier order, when evidence names a
/// revision of another era.
#[test]
fn evidence_of_another_era_sets_the_brake_and_adds_no_counts_of_an_earlier_order() {
    let now = Instant::now();
    let continued = || {
        let mut control = control(order(1, 8, None, 30), now);
        control.update_order(order(2, 3, None, 30));
        control
    };
    let started = || control(order(2, 3, None, 30), now);
    let settings = RolloutSettings::default();
    let repeated = || RolloutControl::new_repeated(settings, order(2, 3, ROLLED_BACK, 40), now);
    let (whole, brake, nothing) = ((true, 7), (true, 0), (false, 0));
    // The position of the peer's order, and whether its mark and its counts are taken.
    let cases = [
        ("continued", continued(), (1, 8), whole),
        ("continued", continued(), (1, 7), nothing),
        ("continued", continued(), (2, 3), whole),
        ("continued", continued(), (2, 2), brake),
        ("continued", continued(), (3, 1), whole),
        ("continued", continued(), (0, 5), whole),
        ("started", started(), (1, 8), brake),
        ("started", started(), (2, 4), whole),
        ("started", started(), (2, 2), nothing),
        ("repeated", repeated(), (1, 8), nothing),
        ("repeated", repeated(), (2, 2), nothing),
        ("repeated", repeated(), (2, 4), whole),
        ("repeated", repeated(), (0, 0), whole),
    ];
    for (name, mut control, position, expected) in cases {
        control.apply_evidence(now, &"n1".into(), 1, evidence(position, true, 60_000));
        let is_braked = control.stage(now) == RolloutStage::RolledBack;
        let sends = control.summary().0.old.sends;
        assert_eq!((is_braked, sends), expected, "{name}, {position:?}");
    }
}
