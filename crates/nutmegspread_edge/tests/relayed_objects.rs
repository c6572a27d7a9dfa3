//! What a node knows after it has applied another node's answer to a relay call.

use nutmegspread_edge::control::ControlState;
use nutmegspread_edge::{NodeSettings, SharedState};
use nutmegspread_platform::{ObjectChange, ObjectKind, StoreObject};
use nutmegspread_tier::StorePosition;
use std::sync::Arc;
use std::time::Instant;

/// Kind of the objects in these tests; a view shows the names of its objects.
const KIND: ObjectKind = ObjectKind::Evacuations;

fn state(now: Instant) -> (ControlState, Arc<SharedState>) {
    let text = include_str!("../../../examples/edge-1.jsonc");
    let settings = NodeSettings::parse(text).expect("valid settings");
    let own = settings.member_record(1);
    let shared = Arc::new(SharedState::new(settings, 1.0));
    (ControlState::new(Arc::clone(&shared), own, now), shared)
}

fn object(name: &str, revision: u64) -> StoreObject {
    StoreObject {
        name: name.to_owned(),
        revision,
        contents: "{}".to_owned(),
        status: None,
    }
}

fn at(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

fn change(object: StoreObject, is_removed: bool) -> ObjectChange {
    ObjectChange { object, is_removed }
}

/// A node may read a removal and a new creation in one answer, and relay to a node that has read both
/// apart.
#[test]
fn an_object_that_was_created_again_is_not_removed_by_a_relay() {
    let now = Instant::now();
    let (mut source, _) = state(now);
    let (mut follower, shared) = state(now);
    for state in [&mut source, &mut follower] {
        state.apply_list(now, KIND, &[object("domain-a", 5)], at(5));
    }
    let removed = change(object("domain-a", 5), true);
    let created = change(object("domain-a", 8), false);
    follower.apply_changes(now, KIND, std::slice::from_ref(&removed), at(7));
    follower.apply_changes(now, KIND, std::slice::from_ref(&created), at(8));
    source.apply_changes(now, KIND, &[removed, created], at(10));
    let answer = source
        .answer_relay(now, KIND, at(8))
        .expect("the kind is known");
    follower.apply_relay_answer(now, KIND, answer);
    assert!(shared.view.load().evacuated.contains("domain-a"));
}
