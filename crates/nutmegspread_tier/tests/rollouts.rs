//! Rollouts over several nodes in virtual time: good versions are completed, and bad versions are
//! rolled back after a small number of requests.

use indexmap::IndexMap;
use nutmegspread_tier::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::time::{Duration, Instant};

const NODES: usize = 5;
const FINISH: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(10);
/// Time between messages of a node; each message is lost with a probability of 10 %.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time from a write to the store until all nodes know of the new state.
const KNOWN_AFTER: Duration = Duration::from_millis(200);
/// Requests that a new version may get before it is completed: a tenth of the service's requests
/// and 50 more.
const EXPOSED_SHARE: f64 = 0.1;
const EXPOSED_SLACK: f64 = 50.0;
/// Time after the 50th bad answer by which the new version must get no more requests.
const BRAKE_TIME: Duration = Duration::from_secs(5);
const ROUTES: [&str; 2] = ["fetch", "order"];

/// Returns whether an answer of the new version is a failure and whether it is slow, given the
/// route, the time since the order and a random number from 0 to 1.
type Behaviour = fn(&str, Duration, f64) -> (bool, bool);

/// What differs between the simulated fleets.
#[derive(Clone, Copy)]
struct World {
    nodes: usize,
    /// Requests per second over all nodes.
    per_second: f64,
    /// Whether the new version refuses all requests, which are then sent to the old version.
    refuses: bool,
}

struct WorldNode {
    control: RolloutControl,
    chooser: VersionChooser,
    counts: IndexMap<RouteName, VersionCounts>,
    answers: Vec<WorldAnswer>,
}

/// Answer that has not arrived yet.
struct WorldAnswer {
    at: Instant,
    route: RouteName,
    is_new: bool,
    is_refused: bool,
    has_failed: bool,
    is_slow: bool,
}

#[derive(Debug, Default)]
struct WorldResult {
    requests: u64,
    exposed: u64,
    bad: u64,
    /// Time of the 50th bad answer of the new version.
    fiftieth_bad: Option<Duration>,
    /// Time of the last request to the new version.
    last_exposed: Duration,
    state: Option<RolloutState>,
    finished: Duration,
}

fn order(recorded: Option<RolloutState>) -> RolloutOrder {
    RolloutOrder {
        service: "s".into(),
        version: "v2".to_owned(),
        finish_within: FINISH,
        recorded,
        revision: 1,
        era: 0,
    }
}

/// Simulates a rollout over `NODES` nodes with `per_second` requests per second in total.
fn simulate(seed: u64, per_second: f64, behaviour: Behaviour) -> WorldResult {
    let world = World {
        nodes: NODES,
        per_second,
        refuses: false,
    };
    simulate_world(seed, world, behaviour)
}

fn simulate_world(seed: u64, world: World, behaviour: Behaviour) -> WorldResult {
    let mut random = Pcg64::seed_from_u64(seed);
    let origin = Instant::now();
    let mut nodes: Vec<WorldNode> = (0..world.nodes)
        .map(|_| WorldNode {
            control: RolloutControl::new(RolloutSettings::default(), order(None), origin),
            chooser: VersionChooser::new(random.random_range(0.0..1.0)),
            counts: IndexMap::new(),
            answers: Vec::new(),
        })
        .collect();
    let mut result = WorldResult::default();
    let mut written: Option<(Instant, RolloutState)> = None;
    let mut now = origin;
    while now < origin + FINISH + Duration::from_secs(1) {
        let elapsed = now - origin;
        if random.random_bool((world.per_second * STEP.as_secs_f64()).min(1.0)) {
            let node = &mut nodes[random.random_range(0..world.nodes)];
            let stage = node.control.stage(now);
            let settings = ExposureSettings::default();
            let choice = node
                .chooser
                .choose_first(&settings, stage, 1.0 / world.nodes as f64);
            let is_new = choice != VersionChoice::Old;
            let route = ROUTES[random.random_range(0..ROUTES.len())];
            let draw = random.random_range(0.0..1.0);
            let (failed, slow) = if is_new {
                behaviour(route, elapsed, draw)
            } else {
                (draw < 0.005, draw > 0.9)
            };
            result.requests += 1;
            if is_new {
                result.exposed += 1;
                result.last_exposed = elapsed;
            }
            let at = now + Duration::from_millis(if slow { 300 } else { 90 });
            let answer = |is_new, is_refused| WorldAnswer {
                at,
                route: route.into(),
                is_new,
                is_refused,
                has_failed: failed,
                is_slow: slow,
            };
            let is_refused = is_new && world.refuses;
            node.answers.push(answer(is_new, is_refused));
            if is_refused {
                node.answers.push(answer(false, false));
            }
        }
        for node in &mut nodes {
            let (due, later) = node.answers.drain(..).partition(|answer| answer.at <= now);
            node.answers = later;
            for answer in due {
                let counts = node.counts.entry(answer.route).or_default();
                let side = if answer.is_new {
                    &mut counts.new
                } else {
                    &mut counts.old
                };
                if answer.is_refused {
                    side.count_refused();
                    continue;
                }
                side.count(answer.has_failed, answer.is_slow);
                if answer.is_new && (answer.has_failed || answer.is_slow) {
                    result.bad += 1;
                    if result.bad == 50 {
                        result.fiftieth_bad = Some(elapsed);
                    }
                }
            }
        }
        if elapsed
            .as_millis()
            .is_multiple_of(HEARTBEAT_INTERVAL.as_millis())
        {
            exchange_evidence(&mut nodes, now, &mut random);
        }
        if written.is_none()
            && let Some(state) = nodes.iter_mut().find_map(|node| {
                node.control
                    .next_write(now)
                    .filter(|state| *state != RolloutState::Running)
            })
        {
            written = Some((now + KNOWN_AFTER, state));
        }
        if let Some((at, state)) = written
            && at <= now
            && result.state.is_none()
        {
            result.state = Some(state);
            result.finished = elapsed;
            for node in &mut nodes {
                node.control.update_order(order(Some(state)));
            }
        }
        now += STEP;
    }
    result
}

/// Sends the evidence of each node to the others, and lets each node judge the version.
fn exchange_evidence(nodes: &mut [WorldNode], now: Instant, random: &mut Pcg64) {
    for number in 0..nodes.len() {
        let counts = nodes[number].counts.clone().into_iter().collect();
        let evidence = nodes[number].control.evidence(now, counts);
        let name: NodeName = format!("n{number}").into();
        for (other, node) in nodes.iter_mut().enumerate() {
            if other == number || random.random_bool(0.9) {
                node.control.apply_evidence(now, &name, 1, evidence.clone());
            }
        }
        nodes[number].control.judge(now);
    }
}

/// Simulates rollouts of a bad version with several seeds. Each must be rolled back in time, with
/// no more requests to the version than are allowed.
fn check_bad_version(per_second: f64, behaviour: Behaviour) {
    for seed in 0..60 {
        let result = simulate(seed, per_second, behaviour);
        let allowed = EXPOSED_SHARE * result.requests as f64 + EXPOSED_SLACK;
        assert!(result.exposed as f64 <= allowed, "seed {seed}: {result:?}");
        assert_eq!(
            result.state,
            Some(RolloutState::RolledBack),
            "seed {seed}: {result:?}"
        );
        assert!(result.finished <= FINISH, "seed {seed}: {result:?}");
        if let Some(fiftieth_bad) = result.fiftieth_bad {
            assert!(
                result.last_exposed <= fiftieth_bad + BRAKE_TIME,
                "seed {seed}: {result:?}"
            );
        }
    }
}

#[test]
fn good_versions_are_completed_in_time() {
    for per_second in [2.0, 20.0, 80.0] {
        for seed in 0..100 {
            let result = simulate(seed, per_second, |_, _, draw| (draw < 0.005, draw > 0.9));
            let state = result.state;
            assert_eq!(
                state,
                Some(RolloutState::Completed),
                "seed {seed}, {per_second} requests per second: {result:?}"
            );
            assert!(result.finished <= FINISH, "seed {seed}: {result:?}");
        }
    }
}

/// Guards against parts of the exposure that are lost to rounding on each node, so that a good version
/// gets no request on a large fleet and counts as unreachable.
#[test]
fn nodes_of_any_fleet_together_send_what_the_limit_allows_to_a_new_version() {
    let settings = ExposureSettings::default();
    let mut random = Pcg64::seed_from_u64(3);
    for nodes in [1, 7, 76, 300, 760] {
        for requests in [90, 660, 6000] {
            let mut choosers: Vec<VersionChooser> = (0..nodes)
                .map(|_| VersionChooser::new(random.random_range(0.0..1.0)))
                .collect();
            let exposed = (0..requests)
                .filter(|_| {
                    let chooser = &mut choosers[random.random_range(0..nodes)];
                    let share = 1.0 / nodes as f64;
                    let stage = RolloutStage::Trying;
                    chooser.choose_first(&settings, stage, share) != VersionChoice::Old
                })
                .count();
            let least = if requests < nodes { 4 } else { requests / 25 };
            let most = EXPOSED_SHARE * requests as f64 + EXPOSED_SLACK;
            assert!(
                exposed >= least && exposed as f64 <= most,
                "{nodes} nodes, {requests} requests: {exposed}"
            );
        }
    }
}

/// Guards against a version that has served nothing and is completed because its time is over, and
/// against a rule for this case that rolls back good versions under light traffic.
#[test]
fn a_version_is_completed_only_if_it_has_served() {
    let mut outcomes = Vec::new();
    for (nodes, seeds) in [(5, 40), (76, 4), (300, 1)] {
        for per_second in [0.5, 3.0, 22.0] {
            for refuses in [false, true] {
                let world = World {
                    nodes,
                    per_second,
                    refuses,
                };
                let expected = if refuses {
                    RolloutState::RolledBack
                } else {
                    RolloutState::Completed
                };
                let wrong = (0..seeds)
                    .map(|seed| {
                        simulate_world(seed, world, |_, _, draw| (draw < 0.005, draw > 0.9))
                    })
                    .filter(|result| {
                        let allowed = EXPOSED_SHARE * result.requests as f64 + EXPOSED_SLACK;
                        result.state != Some(expected)
                            || result.finished > FINISH
                            || (refuses && result.exposed as f64 > allowed)
                    })
                    .count();
                if wrong > 0 {
                    outcomes.push((nodes, per_second, expected, wrong, seeds));
                }
            }
        }
    }
    assert!(outcomes.is_empty(), "{outcomes:?}");
}

#[test]
fn versions_that_fail_at_once_are_rolled_back() {
    check_bad_version(40.0, |_, _, draw| (draw < 0.4, false));
}

#[test]
fn versions_that_fail_later_are_rolled_back() {
    check_bad_version(60.0, |_, elapsed, draw| {
        (elapsed > Duration::from_secs(12) && draw < 0.5, false)
    });
}

#[test]
fn versions_that_fail_on_one_route_are_rolled_back() {
    check_bad_version(60.0, |route, _, draw| {
        (route == "order" && draw < 0.5, false)
    });
}

#[test]
fn slow_versions_are_rolled_back() {
    check_bad_version(40.0, |_, _, draw| (false, draw < 0.9));
}

/// The version only fails once all traffic has moved.
#[test]
fn versions_that_fail_under_load_are_rolled_back() {
    check_bad_version(80.0, |_, elapsed, draw| {
        (
            elapsed > FINISH - Duration::from_secs(3) && draw < 0.6,
            false,
        )
    });
}

/// A rollout of a service without requests is completed. It is rolled back if the service has
/// requests but the new version has answered none.
#[test]
fn a_version_without_any_answer_is_rolled_back_if_the_service_has_traffic() {
    let now = Instant::now();
    let decision_time = now + FINISH - Duration::from_secs(1);
    let states = [0, 500].map(|sends| {
        let mut control = RolloutControl::new(RolloutSettings::default(), order(None), now);
        let counts = VersionCounts {
            old: AnswerCounts {
                sends,
                ..Default::default()
            },
            ..Default::default()
        };
        let evidence = control.evidence(now, vec![("fetch".into(), counts)]);
        control.apply_evidence(now, &"n0".into(), 1, evidence);
        control.judge(decision_time);
        (
            control.stage(decision_time),
            control.next_write(decision_time),
        )
    });
    assert_eq!(
        states,
        [
            (RolloutStage::Moving, Some(RolloutState::Completed)),
            (RolloutStage::RolledBack, Some(RolloutState::RolledBack)),
        ]
    );
}

/// Guards against a version that refuses requests on one route only, and against one attempt that was
/// refused by chance deciding the rollout of a version that serves.
#[test]
fn a_version_that_refuses_most_attempts_on_a_route_is_rolled_back() {
    let now = Instant::now();
    let decision_time = now + FINISH - Duration::from_secs(3);
    // Attempts of the new version on the second route that were served and refused, and of the old one.
    let cases = [
        ((3, 0), (9, 0), RolloutStage::Moving),
        ((0, 1), (9, 0), RolloutStage::Moving),
        ((4, 4), (9, 0), RolloutStage::Moving),
        ((0, 2), (9, 0), RolloutStage::RolledBack),
        ((4, 5), (9, 0), RolloutStage::RolledBack),
        ((4, 5), (9, 12), RolloutStage::Moving),
    ];
    for (new, old, expected) in cases {
        let answers = |(sends, refused)| AnswerCounts {
            sends,
            refused,
            ..Default::default()
        };
        let mut control = RolloutControl::new(RolloutSettings::default(), order(None), now);
        let counts = |new, old| VersionCounts {
            old: answers(old),
            new: answers(new),
        };
        let routes = vec![
            ("fetch".into(), counts((20, 0), (90, 0))),
            ("order".into(), counts(new, old)),
        ];
        let evidence = control.evidence(now, routes);
        control.apply_evidence(now, &"n0".into(), 1, evidence);
        control.judge(decision_time);
        assert_eq!(control.stage(decision_time), expected, "{new:?}, {old:?}");
    }
}

/// A state that the store does not show is written again after a pause; a final state never
/// changes.
#[test]
fn states_are_rewritten_only_after_a_pause_and_final_ones_stay() {
    let now = Instant::now();
    let mut control = RolloutControl::new(RolloutSettings::default(), order(None), now);
    let time_after = |millis| now + Duration::from_millis(millis);
    let mut writes = vec![
        control.next_write(time_after(0)),
        control.next_write(time_after(900)),
        control.next_write(time_after(1000)),
    ];
    control.update_order(order(Some(RolloutState::Running)));
    writes.push(control.next_write(time_after(2500)));
    control.update_order(order(Some(RolloutState::RolledBack)));
    control.update_order(order(Some(RolloutState::Running)));
    writes.push(control.next_write(time_after(29_900)));
    let running = Some(RolloutState::Running);
    assert_eq!(writes, [running, None, running, None, None]);
    assert_eq!(control.stage(time_after(29_900)), RolloutStage::RolledBack);
}

/// Guards against an order that decides on the evidence of the one before, and against a change of an
/// ended order's object, such as its deletion being prepared, that starts the rollout again.
#[test]
fn an_order_after_a_rollback_is_a_new_one() {
    let now = Instant::now();
    let at = |revision, recorded, seconds| RolloutOrder {
        revision,
        finish_within: Duration::from_secs(seconds),
        ..order(recorded)
    };
    let rolled_back = Some(RolloutState::RolledBack);
    let mut control = RolloutControl::new(RolloutSettings::default(), at(5, None, 30), now);
    let stale = RolloutEvidence {
        is_braked: true,
        ..control.evidence(now, Vec::new())
    };
    control.update_order(at(7, rolled_back, 30));
    let is_again = [
        at(9, rolled_back, 30),
        at(7, None, 30),
        at(9, rolled_back, 40),
        at(9, None, 30),
    ]
    .map(|order| control.is_ordered_again(&order));
    assert_eq!(is_again, [false, false, true, true]);

    let settings = RolloutSettings::default();
    let mut control = RolloutControl::new_repeated(settings, at(9, rolled_back, 40), now);
    control.apply_evidence(now, &"n1".into(), 1, stale.clone());
    control.update_order(at(9, rolled_back, 40));
    assert_eq!(control.stage(now), RolloutStage::Trying);
    assert_eq!(control.next_write(now), Some(RolloutState::Running));
    // Nodes of an earlier release do not state a revision.
    let unknown = RolloutEvidence {
        revision: 0,
        ..stale
    };
    control.apply_evidence(now, &"n1".into(), 1, unknown);
    assert_eq!(control.stage(now), RolloutStage::RolledBack);
}
