//! Rollouts over several nodes in virtual time: good versions finish, bad ones get little.

use indexmap::IndexMap;
use nutmegspread_tier::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::time::{Duration, Instant};

const NODES: usize = 5;
const FINISH: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(10);
/// Time between messages of a node; a tenth of them is lost.
const BEAT: Duration = Duration::from_millis(400);
/// Time from a write until all nodes know of it.
const KNOWN_AFTER: Duration = Duration::from_millis(200);
/// What the promise allows: a tenth of the service's requests and 50 more.
const EXPOSED_SHARE: f64 = 0.1;
const EXPOSED_SLACK: f64 = 50.0;
/// Time after the 50th bad answer by which the version must get nothing more.
const BRAKE_TIME: Duration = Duration::from_secs(5);
const ROUTES: [&str; 2] = ["fetch", "order"];

/// How an answer of the new version turns out, by route, time since the order and random number.
type Behaviour = fn(&str, Duration, f64) -> (bool, bool);

struct WorldNode {
    control: RolloutControl,
    share: VersionShare,
    counts: IndexMap<RouteName, VersionCounts>,
    /// Answers still on their way: when, route, whether of the new version, failed, slow.
    answers: Vec<(Instant, RouteName, bool, bool, bool)>,
}

#[derive(Debug, Default)]
struct WorldResult {
    requests: u64,
    exposed: u64,
    bad: u64,
    /// Time of the 50th bad answer, and of the last request to the new version.
    fiftieth: Option<Duration>,
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
    }
}

/// Plays a rollout with `per_second` requests over all nodes.
fn play(seed: u64, per_second: f64, behaviour: Behaviour) -> WorldResult {
    let mut random = Pcg64::seed_from_u64(seed);
    let origin = Instant::now();
    let mut nodes: Vec<WorldNode> = (0..NODES)
        .map(|_| WorldNode {
            control: RolloutControl::new(RolloutSettings::default(), order(None), origin),
            share: VersionShare::default(),
            counts: IndexMap::new(),
            answers: Vec::new(),
        })
        .collect();
    let mut result = WorldResult::default();
    let mut written: Option<(Instant, RolloutState)> = None;
    let mut now = origin;
    while now < origin + FINISH + Duration::from_secs(1) {
        let elapsed = now - origin;
        if random.random_bool((per_second * STEP.as_secs_f64()).min(1.0)) {
            let node = &mut nodes[random.random_range(0..NODES)];
            let stage = node.control.stage(now);
            let settings = ExposureSettings::default();
            let choice = node
                .share
                .choose_first(&settings, stage, 1.0 / NODES as f64);
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
            node.answers.push((at, route.into(), is_new, failed, slow));
        }
        for node in &mut nodes {
            let (due, later) = node.answers.drain(..).partition(|answer| answer.0 <= now);
            node.answers = later;
            for (_, route, is_new, failed, slow) in due {
                let counts = node.counts.entry(route).or_default();
                let side = if is_new {
                    &mut counts.new
                } else {
                    &mut counts.old
                };
                side.count(failed, slow);
                if is_new && (failed || slow) {
                    result.bad += 1;
                    if result.bad == 50 {
                        result.fiftieth = Some(elapsed);
                    }
                }
            }
        }
        if elapsed.as_millis().is_multiple_of(BEAT.as_millis()) {
            exchange(&mut nodes, now, &mut random);
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

fn exchange(nodes: &mut [WorldNode], now: Instant, random: &mut Pcg64) {
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

/// Plays seeds and checks what is promised of a bad version.
fn check_bad(per_second: f64, behaviour: Behaviour) {
    for seed in 0..60 {
        let result = play(seed, per_second, behaviour);
        let allowed = EXPOSED_SHARE * result.requests as f64 + EXPOSED_SLACK;
        assert!(result.exposed as f64 <= allowed, "seed {seed}: {result:?}");
        assert_eq!(
            result.state,
            Some(RolloutState::RolledBack),
            "seed {seed}: {result:?}"
        );
        assert!(result.finished <= FINISH, "seed {seed}: {result:?}");
        if let Some(fiftieth) = result.fiftieth {
            assert!(
                result.last_exposed <= fiftieth + BRAKE_TIME,
                "seed {seed}: {result:?}"
            );
        }
    }
}

#[test]
fn good_versions_are_completed_in_time() {
    for per_second in [2.0, 20.0, 80.0] {
        for seed in 0..100 {
            let result = play(seed, per_second, |_, _, draw| (draw < 0.005, draw > 0.9));
            let state = result.state;
            assert_eq!(
                state,
                Some(RolloutState::Completed),
                "seed {seed} at {per_second} a second: {result:?}"
            );
            assert!(result.finished <= FINISH, "seed {seed}: {result:?}");
        }
    }
}

#[test]
fn versions_that_fail_at_once_are_rolled_back() {
    check_bad(40.0, |_, _, draw| (draw < 0.4, false));
}

#[test]
fn versions_that_fail_later_are_rolled_back() {
    check_bad(60.0, |_, elapsed, draw| {
        (elapsed > Duration::from_secs(12) && draw < 0.5, false)
    });
}

#[test]
fn versions_that_fail_on_one_route_are_rolled_back() {
    check_bad(60.0, |route, _, draw| {
        (route == "order" && draw < 0.5, false)
    });
}

#[test]
fn slow_versions_are_rolled_back() {
    check_bad(40.0, |_, _, draw| (false, draw < 0.9));
}

/// The fault shows only once all traffic has moved.
#[test]
fn versions_that_fail_under_load_are_rolled_back() {
    check_bad(80.0, |_, elapsed, draw| {
        (
            elapsed > FINISH - Duration::from_secs(3) && draw < 0.6,
            false,
        )
    });
}

/// A service that nobody queries can be moved; one whose new targets get nothing cannot.
#[test]
fn a_version_without_any_answer_is_rolled_back_if_the_service_has_traffic() {
    let now = Instant::now();
    let decided = now + FINISH - Duration::from_secs(1);
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
        control.judge(decided);
        (control.stage(decided), control.next_write(decided))
    });
    assert_eq!(
        states,
        [
            (RolloutStage::Moving, Some(RolloutState::Completed)),
            (RolloutStage::RolledBack, Some(RolloutState::RolledBack)),
        ]
    );
}

/// States are written once and again only after a pause; a final state is never left.
#[test]
fn states_are_written_sparingly_and_final_ones_stay() {
    let now = Instant::now();
    let mut control = RolloutControl::new(RolloutSettings::default(), order(None), now);
    let after = |millis| now + Duration::from_millis(millis);
    let mut writes = vec![
        control.next_write(after(0)),
        control.next_write(after(900)),
        control.next_write(after(1000)),
    ];
    control.update_order(order(Some(RolloutState::Running)));
    writes.push(control.next_write(after(2500)));
    control.update_order(order(Some(RolloutState::RolledBack)));
    control.update_order(order(Some(RolloutState::Running)));
    writes.push(control.next_write(after(29_900)));
    let running = Some(RolloutState::Running);
    assert_eq!(writes, [running, None, running, None, None]);
    assert_eq!(control.stage(after(29_900)), RolloutStage::RolledBack);
}
