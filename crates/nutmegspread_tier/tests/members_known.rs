//! Which nodes are advertised to callers, which watch the store, and how common limits are shared.

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
        ages_ms: vec![0, 0, 0],
        known: Vec::new(),
        rollouts: Vec::new(),
        is_rare: false,
        table: 0,
        level: 0,
        era: 0,
        kept_version: 0,
    }
}

/// Returns the view of node number `own`, started at `now`, which receives the records of all other
/// `members` 3 s later.
fn view(members: &[MemberRecord], own: usize, now: Instant) -> MemberView {
    let mut view = MemberView::new(MemberSettings::default(), now);
    for (number, record) in members.iter().enumerate() {
        if number != own {
            view.apply_record(now + Duration::from_secs(3), record.clone());
        }
    }
    view
}

fn received_time(now: Instant) -> Instant {
    now + Duration::from_secs(3)
}

#[test]
fn silent_leaving_and_unready_nodes_are_not_advertised() {
    let now = Instant::now();
    let members: Vec<MemberRecord> = (0..4).map(|number| member(number, 0.25, "d")).collect();
    let mut view = view(&members, 0, now);
    view.apply_record(
        received_time(now),
        MemberRecord {
            ready: false,
            ..members[1].clone()
        },
    );
    let at = received_time(now) + Duration::from_millis(1700);
    view.apply_record(at, members[2].clone());
    let named: Vec<_> = view
        .advertised(at, &members[0])
        .iter()
        .map(|record| record.callers.port())
        .collect();
    assert_eq!(named, [0, 2]);
    let leaving = MemberRecord {
        ready: false,
        ..members[0].clone()
    };
    let named: Vec<_> = view
        .advertised(at, &leaving)
        .iter()
        .map(|record| record.callers.port())
        .collect();
    assert_eq!(named, [2]);
}

#[test]
fn a_record_of_an_earlier_start_is_ignored() {
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
fn only_large_nodes_are_advertised_while_there_are_enough() {
    let now = Instant::now();
    let mut members: Vec<MemberRecord> = (0..6).map(|number| member(number, 0.5, "d")).collect();
    members.extend((6..60).map(|number| member(number, 0.12, "d")));
    let mut view = view(&members, 0, now);
    assert_eq!(view.advertised(received_time(now), &members[0]).len(), 6);
    for member in &members[1..3] {
        view.apply_record(
            received_time(now),
            MemberRecord {
                ready: false,
                ..member.clone()
            },
        );
    }
    assert_eq!(view.advertised(received_time(now), &members[0]).len(), 58);
}

#[test]
fn two_nodes_that_reach_the_store_watch_it_and_the_others_follow() {
    let now = Instant::now();
    let mut members: Vec<MemberRecord> = (0..40)
        .map(|number| member(number, if number < 8 { 0.5 } else { 0.12 }, "d"))
        .collect();
    let watching = |members: &[MemberRecord]| -> Vec<usize> {
        (0..members.len())
            .filter(|own| {
                view(members, *own, now).watch_role(received_time(now), &members[*own])
                    != WatchRole::Follow
            })
            .collect()
    };
    assert_eq!(watching(&members), [0, 1]);
    members[0].reaches_store = false;
    assert_eq!(
        watching(&members),
        [0, 1, 2],
        "the node that does not reach the store keeps calling it"
    );
    for member in &mut members[..6] {
        member.reaches_store = false;
    }
    assert_eq!(
        watching(&members),
        [0, 1, 2, 3, 4, 5],
        "the number of calls stays bounded while the store is unavailable"
    );
}

#[test]
fn the_first_node_that_reaches_the_store_leads() {
    let now = Instant::now();
    let mut members: Vec<MemberRecord> = (0..9).map(|number| member(number, 0.25, "d")).collect();
    let roles = |members: &[MemberRecord]| -> Vec<WatchRole> {
        (0..4)
            .map(|own| view(members, own, now).watch_role(received_time(now), &members[own]))
            .collect()
    };
    use WatchRole::{Follow, Lead, Watch};
    assert_eq!(roles(&members), [Lead, Watch, Follow, Follow]);
    members[0].reaches_store = false;
    assert_eq!(roles(&members), [Watch, Lead, Watch, Follow]);
}

/// A failure domain may be cut off from the store as a whole.
#[test]
fn candidates_are_spread_over_the_failure_domains() {
    let now = Instant::now();
    let members: Vec<MemberRecord> = (0..12)
        .map(|number| member(number, 0.25, ["a", "b", "c"][usize::from(number) / 4]))
        .collect();
    let candidates: Vec<usize> = (0..members.len())
        .filter(|own| view(&members, *own, now).is_candidate(received_time(now), &members[*own]))
        .collect();
    assert_eq!(candidates, [0, 1, 4, 5, 8, 9]);
    let watching: Vec<usize> = (0..members.len())
        .filter(|own| {
            view(&members, *own, now).watch_role(received_time(now), &members[*own])
                != WatchRole::Follow
        })
        .collect();
    assert_eq!(watching, [0, 4], "the watchers are in different domains");
}

/// Returns the numbers of the members that must read objects of an age in milliseconds.
fn readers(members: &[MemberRecord], age_ms: u64) -> Vec<usize> {
    let now = Instant::now();
    let age = Duration::from_millis(age_ms);
    (0..members.len())
        .filter(|own| {
            let view = view(members, *own, now);
            view.read_urgency(received_time(now), &members[*own], 0, age) != ReadUrgency::None
        })
        .collect()
}

/// If nobody else keeps the objects of the nodes current, every node reads the store in time, the
/// candidates first.
#[test]
fn every_node_reads_the_store_before_its_objects_are_too_old() {
    let members: Vec<MemberRecord> = (0..75).map(|number| member(number, 0.25, "d")).collect();
    let counts = [1700, 1705, 1750, 2000, 2100, 2200].map(|age| readers(&members, age).len());
    assert_eq!(counts, [0, 2, 6, 6, 38, 75]);
}

/// In an outage of the store, the calls of the candidates take a while to fail. The number of the
/// other nodes that call the store in this time must not grow with the number of nodes.
#[test]
fn nodes_try_the_store_in_turn_while_no_candidate_has_a_confirmation() {
    let mut members: Vec<MemberRecord> = (0..75).map(|number| member(number, 0.25, "d")).collect();
    for member in &mut members {
        member.ages_ms = vec![2000; 3];
    }
    let others = [1999, 2010, 2150, 2210, 2450].map(|age| readers(&members, age)[6..].to_vec());
    assert_eq!(others, [vec![], vec![6], vec![6], vec![7], vec![8]]);
    members[0].ages_ms = vec![300; 3];
    assert_eq!(
        readers(&members, 2210).len(),
        75,
        "a candidate has a confirmation that the other nodes lack"
    );
}

/// All candidates may be cut off from the store while other nodes reach it; and if the store is
/// away, many nodes must not call it again and again.
#[test]
fn nodes_try_the_store_in_turn_while_no_candidate_reaches_it() {
    let mut members: Vec<MemberRecord> = (0..9).map(|number| member(number, 0.25, "d")).collect();
    for member in &mut members[..6] {
        member.reaches_store = false;
    }
    let candidates = [0, 1, 2, 3, 4, 5];
    let others = [2000, 2010, 2210, 2410, 2610, 2810].map(|age| {
        let readers = readers(&members, age);
        assert_eq!(readers[..6], candidates);
        readers[6..].to_vec()
    });
    assert_eq!(
        others,
        [vec![], vec![6], vec![7], vec![8], vec![6], vec![7]]
    );
}

#[test]
fn a_node_without_peers_watches_after_the_greeting_time() {
    let now = Instant::now();
    let own = member(0, 0.25, "d");
    let view = MemberView::new(MemberSettings::default(), now);
    assert_eq!(view.watch_role(now, &own), WatchRole::Follow);
    assert_eq!(
        view.watch_role(now + Duration::from_millis(100), &own),
        WatchRole::Lead
    );
}

#[test]
fn a_node_with_old_revisions_finds_the_peers_with_later_ones() {
    let now = Instant::now();
    let mut members: Vec<MemberRecord> = (0..4).map(|number| member(number, 0.25, "d")).collect();
    members[2].revisions = vec![1, 9, 1];
    members[3].revisions = vec![1, 5, 1];
    let view = view(&members, 0, now);
    let ports = |kind, revision| -> Vec<u16> {
        let known = StorePosition { era: 0, revision };
        view.peers_ahead(received_time(now), kind, known)
            .iter()
            .map(SocketAddr::port)
            .collect()
    };
    assert_eq!(ports(1, 4), [1002, 1003]);
    assert_eq!(ports(1, 5), [1002]);
    assert!(ports(0, 1).is_empty());
}

#[test]
fn a_peer_of_a_later_era_is_ahead_whatever_its_revision() {
    let now = Instant::now();
    let mut members: Vec<MemberRecord> = (0..5).map(|number| member(number, 0.25, "d")).collect();
    // Of the latest era, with a kind that was not read in it yet, and of the era before.
    for (number, era, revision) in [(1, 3, 40), (2, 3, 60), (3, 3, 0), (4, 2, 900)] {
        members[number].era = era;
        members[number].revisions = vec![revision];
    }
    let view = view(&members, 0, now);
    let ports = |era, revision| -> Vec<u16> {
        let known = StorePosition { era, revision };
        let peers = view.peers_ahead(received_time(now), 0, known);
        peers.iter().map(SocketAddr::port).collect()
    };
    assert_eq!(ports(2, 900), [1002, 1001]);
    assert_eq!(ports(2, 800), [1002, 1001, 1004]);
    assert_eq!(ports(3, 50), [1002]);
    assert!(ports(3, 60).is_empty());
    assert!(ports(4, 1).is_empty());
}

#[test]
fn the_shares_of_all_nodes_add_up_to_at_most_one() {
    let now = Instant::now();
    for (large, small) in [(7, 0), (8, 70), (2, 20), (1, 0), (5, 3)] {
        let mut members: Vec<MemberRecord> =
            (0..large).map(|number| member(number, 0.5, "d")).collect();
        members.extend((large..large + small).map(|number| member(number, 0.12, "d")));
        let sum: f64 = (0..members.len())
            .map(|own| view(&members, own, now).limit_share(received_time(now), &members[own]))
            .sum();
        assert!(sum <= 1.0 + 1e-9, "{large} large and {small} small: {sum}");
        assert!(sum >= 0.7, "{large} large and {small} small: {sum}");
    }
}

#[test]
fn a_node_that_just_started_takes_a_small_share() {
    let now = Instant::now();
    let view = MemberView::new(MemberSettings::default(), now);
    let own = member(0, 0.25, "d");
    assert!(view.limit_share(now, &own) <= 0.125);
}

#[test]
fn nodes_that_are_cut_off_from_targets_are_not_advertised_unless_all_are() {
    let now = Instant::now();
    let members: Vec<MemberRecord> = (0..4).map(|number| member(number, 0.25, "d")).collect();
    let mut view = view(&members, 0, now);
    let cut_off = |member: &MemberRecord| MemberRecord {
        serves: false,
        ..member.clone()
    };
    view.apply_record(received_time(now), cut_off(&members[1]));
    assert_eq!(view.advertised(received_time(now), &members[0]).len(), 3);
    for member in &members[1..] {
        view.apply_record(received_time(now), cut_off(member));
    }
    assert_eq!(
        view.advertised(received_time(now), &cut_off(&members[0]))
            .len(),
        4
    );
}

/// When many nodes start at the same time, none knows of the others at first. If each of them
/// watched the store at once, each would call it.
#[test]
fn a_node_settles_before_it_watches() {
    let now = Instant::now();
    let settings = MemberSettings::default();
    let view = MemberView::new(settings, now);
    let delays = [0, 60, 499, 500, 3000];
    let settling = delays.map(|millis| view.is_settling(now + Duration::from_millis(millis)));
    assert_eq!(settling, [true, true, true, false, false]);
}

/// The wall clock of a VM may be set back between two starts of its node.
#[test]
fn a_record_of_a_node_that_restarted_after_its_clock_went_back_is_applied() {
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
        "a delayed message of an earlier start is ignored"
    );
    assert!(
        view.apply_record(at(1_500), start(6_600)),
        "the node was silent for longer than messages are delayed, so it has restarted"
    );
    assert!(!view.apply_record(at(1_900), start(6_600)));
}

#[test]
fn limits_of_whole_requests_are_shared_by_the_advertised_nodes() {
    let now = Instant::now();
    let members: Vec<MemberRecord> = (0..3).map(|number| member(number, 0.25, "d")).collect();
    let view = view(&members, 0, now);
    let names = view
        .sharers(received_time(now), &members[0])
        .expect("the other nodes are known");
    assert_eq!(names, ["n00".into(), "n01".into(), "n02".into()]);
    let early = now + Duration::from_millis(400);
    assert_eq!(
        view.sharers(early, &members[0]),
        None,
        "messages of other nodes may still be missing"
    );
}

/// All nodes learn of a change at the same time, and two watchers cannot answer hundreds of
/// followers at once.
#[test]
fn followers_spread_their_relay_calls_and_candidates_do_not() {
    let now = Instant::now();
    let members: Vec<MemberRecord> = (0..300).map(|number| member(number, 0.25, "d")).collect();
    let spreads = [0, 5, 6, 299]
        .map(|own| view(&members, own, now).relay_call_spread(received_time(now), &members[own]));
    let spread = Some(Duration::from_millis(299));
    assert_eq!(spreads, [None, None, spread, spread]);
    let few = &members[..7];
    let spread = view(few, 6, now).relay_call_spread(received_time(now), &few[6]);
    assert_eq!(spread, Some(Duration::from_millis(6)));
}
