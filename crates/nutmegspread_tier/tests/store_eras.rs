//! What a node concludes from the eras that answers of the store and messages of peers state.

use nutmegspread_tier::{EraObservation, EraTracker, StatedEra};

#[test]
fn eras_only_rise() {
    use EraObservation::{Current, First, Missing, Older, Risen, Unreadable};
    use StatedEra::{Missing as None, Number, Unreadable as Odd};
    type Step = (StatedEra, EraObservation, u64);
    let cases: [(&str, Vec<Step>); 6] = [
        (
            "a store that states none",
            vec![(None, Current, 0), (None, Current, 0)],
        ),
        (
            "two restores, with an answer on its way from before each",
            vec![
                (Number(1), First, 1),
                (Number(1), Current, 1),
                (Number(2), Risen { before: 1 }, 2),
                (Number(1), Older, 2),
                (Number(3), Risen { before: 2 }, 3),
                (Number(2), Older, 3),
            ],
        ),
        (
            "a node that missed eras",
            vec![(Number(4), First, 4), (Number(9), Risen { before: 4 }, 9)],
        ),
        (
            "an answer without an era",
            vec![(Number(2), First, 2), (None, Missing, 2)],
        ),
        (
            "an era that is no number",
            vec![
                (Odd, Unreadable, 0),
                (Number(2), First, 2),
                (Odd, Unreadable, 2),
            ],
        ),
        (
            "a store that states one from some time on",
            vec![
                (None, Current, 0),
                (Number(0), First, 0),
                (Number(1), Risen { before: 0 }, 1),
            ],
        ),
    ];
    for (what, course) in cases {
        let mut tracker = EraTracker::default();
        for (step, (stated, observation, latest)) in course.into_iter().enumerate() {
            let found = (tracker.observe(stated), tracker.latest());
            assert_eq!(found, (observation, latest), "{what}, step {step}");
        }
    }
}

#[test]
fn a_peer_that_knows_no_era_changes_none() {
    let mut tracker = EraTracker::default();
    tracker.observe(StatedEra::Number(3));
    assert_eq!(tracker.observe_peer(0), EraObservation::Current);
    assert_eq!(tracker.observe_peer(2), EraObservation::Older);
    assert_eq!(tracker.observe_peer(4), EraObservation::Risen { before: 3 });
    assert_eq!(tracker.latest(), 4);
}
