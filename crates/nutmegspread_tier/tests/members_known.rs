//! Which nodes callers use, who watches the store, and how limits are divided.

use nutmegspread_tier::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn member(number: u16, cores: f64, domain: &str) -> MemberRecord {
    MemberRecord {
        node: format!("n{number:02}").into(),
        started_ms: 1,
        callers: SocketAddr::from(([127, 0, 0, 1], number)),
        peers: SocketAddr::from(([127, 0, 0, 1], 1000 + number)),
        domain: domain.into(),
        cores,
        ready: true,
        serves: true,
        reaches_store: true,
        revisions: vec![1, 1, 1],
        known: Vec::new(),
        rollouts: Vec::new(),
    }
}

/// The view of node `own` that hears all others of `members` at `now`.
fn view(members: &[MemberRecord], own: usize, now: Instant) -> MemberView {
    let mut view = MemberView::new(MemberSettings::default(), now);
    for (number, record) in members.iter().enumerate() {
        if number != own {
            view.apply_record(now + Duration::from_secs(3), record.clone());
        }
    }
    view
}

fn later(now: Instant) -> Instant {
    now + Duration::from_secs(3)
}

#[test]
fn silent_leaving_and_unready_nodes_are_not_named() {
    let now = Instant::now();
    let members: Vec<MemberRecord> = (0..4).map(|number| member(number, 0.25, "d")).collect();
    let mut view = view(&members, 0, now);
    view.apply_record(
        later(now),
        MemberRecord {
            ready: false,
            ..members[1].clone()
        },
    );
    let at = later(now) + Duration::from_millis(1700);
    view.apply_record(at, members[2].clone());
    let named: Vec<_> = view
        .advertised(at, &members[0])
        .iter()
        .map(|one| one.callers.port())
        .collect();
    assert_eq!(named, [0, 2]);
    let leaving = MemberRecord {
        ready: false,
        ..members[0].clone()
    };
    let named: Vec<_> = view
        .advertised(at, &leaving)
        .iter()
        .map(|one| one.callers.port())
        .collect();
    assert_eq!(named, [2]);
}

#[test]
fn a_message_of_an_earlier_start_changes_nothing() {
    let now = Instant::now();
    let own = member(0, 0.25, "d");
    let mut view = MemberView::new(MemberSettings::default(), now);
    let second = MemberRecord {
        started_ms: 7,
        ready: false,
        ..member(1, 0.25, "d")
    };
    assert!(view.apply_record(now, second));
    assert!(!view.apply_record(now, member(1, 0.25, "d")));
    assert_eq!(view.advertised(now, &own).len(), 1);
}

#[test]
fn large_nodes_are_named_alone_while_there_are_enough() {
    let now = Instant::now();
    let mut members: Vec<MemberRecord> = (0..6).map(|number| member(number, 0.5, "d")).collect();
    members.extend((6..60).map(|number| member(number, 0.12, "d")));
    let mut view = view(&members, 0, now);
    assert_eq!(view.advertised(later(now), &members[0]).len(), 6);
    for gone in &members[1..3] {
        view.apply_record(
            later(now),
            MemberRecord {
                ready: false,
                ..gone.clone()
            },
        );
    }
    assert_eq!(view.advertised(later(now), &members[0]).len(), 58);
}

#[test]
fn exactly_two_reaching_nodes_watch_and_the_rest_follow_them() {
    let now = Instant::now();
    let mut members: Vec<MemberRecord> = (0..40)
        .map(|number| member(number, if number < 8 { 0.5 } else { 0.12 }, "d"))
        .collect();
    let watching = |members: &[MemberRecord]| -> Vec<usize> {
        (0..members.len())
            .filter(|own| {
                view(members, *own, now).watch_role(later(now), &members[*own]) == WatchRole::Watch
            })
            .collect()
    };
    assert_eq!(watching(&members), [0, 1]);
    members[0].reaches_store = false;
    assert_eq!(
        watching(&members),
        [0, 1, 2],
        "the one that was turned away keeps trying"
    );
    for member in &mut members[..6] {
        member.reaches_store = false;
    }
    assert_eq!(
        watching(&members),
        [0, 1, 2, 3, 4, 5],
        "calls stay bounded while it is away"
    );
}

#[test]
fn a_node_that_hears_nobody_watches_after_a_greeting() {
    let now = Instant::now();
    let own = member(0, 0.25, "d");
    let view = MemberView::new(MemberSettings::default(), now);
    assert_eq!(view.watch_role(now, &own), WatchRole::Follow(Vec::new()));
    assert_eq!(
        view.watch_role(now + Duration::from_millis(100), &own),
        WatchRole::Watch
    );
}

#[test]
fn a_node_that_is_behind_finds_those_ahead() {
    let now = Instant::now();
    let mut members: Vec<MemberRecord> = (0..4).map(|number| member(number, 0.25, "d")).collect();
    members[2].revisions = vec![1, 9, 1];
    members[3].revisions = vec![1, 5, 1];
    let view = view(&members, 0, now);
    let ports = |kind, revision| -> Vec<u16> {
        view.peers_ahead(later(now), kind, revision)
            .iter()
            .map(SocketAddr::port)
            .collect()
    };
    assert_eq!(ports(1, 4), [1002, 1003]);
    assert_eq!(ports(1, 5), [1002]);
    assert!(ports(0, 1).is_empty());
}

#[test]
fn the_parts_of_all_nodes_add_up_to_one_at_most() {
    let now = Instant::now();
    for (large, small) in [(7, 0), (8, 70), (2, 20), (1, 0), (5, 3)] {
        let mut members: Vec<MemberRecord> =
            (0..large).map(|number| member(number, 0.5, "d")).collect();
        members.extend((large..large + small).map(|number| member(number, 0.12, "d")));
        let sum: f64 = (0..members.len())
            .map(|own| view(&members, own, now).limit_share(later(now), &members[own]))
            .sum();
        assert!(sum <= 1.0 + 1e-9, "{large} large and {small} small: {sum}");
        assert!(sum >= 0.7, "{large} large and {small} small: {sum}");
    }
}

#[test]
fn a_node_that_just_started_takes_a_small_part() {
    let now = Instant::now();
    let view = MemberView::new(MemberSettings::default(), now);
    let own = member(0, 0.25, "d");
    assert!(view.limit_share(now, &own) <= 0.125);
}

#[test]
fn nodes_that_are_cut_off_from_targets_are_not_named_unless_all_are() {
    let now = Instant::now();
    let members: Vec<MemberRecord> = (0..4).map(|number| member(number, 0.25, "d")).collect();
    let mut view = view(&members, 0, now);
    let cut = |member: &MemberRecord| MemberRecord {
        serves: false,
        ..member.clone()
    };
    view.apply_record(later(now), cut(&members[1]));
    assert_eq!(view.advertised(later(now), &members[0]).len(), 3);
    for member in &members[1..] {
        view.apply_record(later(now), cut(member));
    }
    assert_eq!(view.advertised(later(now), &cut(&members[0])).len(), 4);
}

/// At a common start every node is alone at first; watching at once would be a call each.
#[test]
fn a_node_settles_before_it_watches() {
    let now = Instant::now();
    let settings = MemberSettings::default();
    let view = MemberView::new(settings, now);
    let moments = [0, 60, 499, 500, 3000];
    let settling = moments.map(|millis| view.is_settling(now + Duration::from_millis(millis)));
    assert_eq!(settling, [true, true, true, false, false]);
}

/// The wall clock of a VM may go back between two starts of its node.
#[test]
fn a_node_that_restarts_on_a_clock_that_went_back_is_heard() {
    let now = Instant::now();
    let mut view = MemberView::new(MemberSettings::default(), now);
    let at = |millis| now + Duration::from_millis(millis);
    let start = |started_ms| MemberRecord {
        started_ms,
        ..member(1, 0.25, "d")
    };
    assert!(view.apply_record(at(0), start(9_000)));
    assert!(
        !view.apply_record(at(300), start(6_600)),
        "a late message of an earlier start changes nothing"
    );
    assert!(
        view.apply_record(at(1_500), start(6_600)),
        "the node was silent and has restarted"
    );
    assert!(!view.apply_record(at(1_900), start(6_600)));
}

#[test]
fn limits_of_whole_requests_are_shared_by_the_nodes_that_callers_use() {
    let now = Instant::now();
    let members: Vec<MemberRecord> = (0..3).map(|number| member(number, 0.25, "d")).collect();
    let view = view(&members, 0, now);
    let names = view
        .sharers(later(now), &members[0])
        .expect("it has heard the others");
    assert_eq!(names, ["n00".into(), "n01".into(), "n02".into()]);
    let early = now + Duration::from_millis(400);
    assert_eq!(
        view.sharers(early, &members[0]),
        None,
        "others may not be heard yet"
    );
}

/// All nodes learn of a change in the same moment, and two watchers cannot serve hundreds at once.
#[test]
fn followers_spread_their_questions_and_candidates_do_not() {
    let now = Instant::now();
    let members: Vec<MemberRecord> = (0..300).map(|number| member(number, 0.25, "d")).collect();
    let spreads = [0, 5, 6, 299]
        .map(|own| view(&members, own, now).relay_call_spread(later(now), &members[own]));
    let spread = Some(Duration::from_millis(299));
    assert_eq!(spreads, [None, None, spread, spread]);
    let few = &members[..7];
    let spread = view(few, 6, now).relay_call_spread(later(now), &few[6]);
    assert_eq!(spread, Some(Duration::from_millis(6)));
}
