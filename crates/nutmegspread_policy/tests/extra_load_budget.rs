//! Tests that hedges and retries together stay within one budget, avoid cold targets and still
//! reduce the tail latency.

mod query_support;

use nutmegspread_model::*;
use nutmegspread_policy::query::ExtraBudget;
use query_support::query_world::{
    LogEvent, PlannedOutcomes, QueryWorld, no_outcomes, usable_target, warm_up, whole_reply,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::time::Duration;

const SHARDS: u32 = 24;
const TARGETS: u32 = 20;
const QUERIES: u32 = 300;

#[test]
fn scripts() {
    query_support::query_script::run_query_scripts("extra_load_budget");
}

/// A service with two replicas of each shard, after queries that have made all targets warm and the
/// latencies known.
fn warmed_up_world(seed: u64) -> QueryWorld {
    let mut world = QueryWorld::new(seed);
    let target = |number: u32| -> TargetId { format!("t{}", number % TARGETS).into() };
    for number in 0..TARGETS {
        world
            .view
            .targets
            .insert(target(number), usable_target().into());
    }
    let shards = (0..SHARDS)
        .map(|shard| vec![target(shard), target(shard + 7)])
        .collect();
    world.publish(1, shards);
    world.view.settings.coverage.hard_deadline = Duration::from_millis(500);
    warm_up(&mut world, 30, Duration::from_millis(5));
    world
}

/// Starts a query every 10 ms and waits until all have ended. Returns their durations in ascending
/// order.
fn run_queries(
    world: &mut QueryWorld,
    plan_outcomes: &mut impl FnMut(&TargetId, bool, &SearchRequest) -> PlannedOutcomes,
) -> Vec<Duration> {
    let mut starts = BTreeMap::new();
    for number in 0..QUERIES {
        let request_id = format!("q{number}");
        starts.insert(request_id.clone(), world.now);
        world.start(&request_id, 1, Duration::from_secs(1), plan_outcomes);
        let until = world.now + Duration::from_millis(10);
        world.run_until(until, plan_outcomes);
    }
    let until = world.now + Duration::from_secs(2);
    world.run_until(until, plan_outcomes);
    let mut durations: Vec<Duration> = world
        .log
        .iter()
        .filter(|entry| {
            matches!(
                entry.event,
                LogEvent::Answered(_) | LogEvent::Refused { .. }
            )
        })
        .map(|entry| entry.at - starts[&*entry.request_id])
        .collect();
    durations.sort();
    assert_eq!(durations.len(), QUERIES as usize);
    durations
}

/// Checks, after each attempt, that the extra attempts so far don't exceed the budget: the tokens
/// saved during the warm-up and `extra_fraction` of the first attempts. Returns the number
/// of extra attempts.
fn assert_within_budget(world: &QueryWorld, saved_tokens: u64) -> u64 {
    let fraction = world.view.settings.budget.extra_fraction;
    let (mut first, mut extra) = (0_u64, 0_u64);
    for entry in &world.log {
        if let LogEvent::Sent {
            extra: is_extra, ..
        } = &entry.event
        {
            if *is_extra { extra += 1 } else { first += 1 }
        }
        // All first attempts of a query are sent in one step, so the limit grows with each of them.
        let limit = saved_tokens as f64 + first as f64 * fraction;
        assert!(
            extra as f64 <= limit + 1e-6,
            "{extra} extra attempts exceed the limit of {limit}"
        );
    }
    extra
}

#[test]
fn budget_holds_while_every_target_is_slow() {
    for seed in 0..20 {
        let mut world = warmed_up_world(seed);
        let saved_tokens = world.table.budget.tokens() + 1;
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut plan_outcomes = |_: &TargetId, _: bool, request: &SearchRequest| {
            let delay = Duration::from_millis(rng.random_range(100..400));
            vec![(delay, SubOutcome::Reply(whole_reply(request, Vec::new())))]
        };
        run_queries(&mut world, &mut plan_outcomes);
        let extra = assert_within_budget(&world, saved_tokens);
        assert!(extra > 0, "seed {seed}: no hedge was sent");
    }
}

#[test]
fn budget_holds_while_every_attempt_fails() {
    let failures = [
        SubFailure::ConnectionLost,
        SubFailure::Shed,
        SubFailure::TargetError,
    ];
    for seed in 0..20 {
        let mut world = warmed_up_world(seed);
        let saved_tokens = world.table.budget.tokens() + 1;
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut plan_outcomes = |_: &TargetId, _: bool, _: &SearchRequest| {
            let failure = failures[rng.random_range(0..3)];
            vec![(
                Duration::from_millis(1),
                SubOutcome::Failure {
                    failure,
                    run: RunState::Unknown,
                },
            )]
        };
        run_queries(&mut world, &mut plan_outcomes);
        assert_within_budget(&world, saved_tokens);
    }
}

#[test]
fn one_slow_target_of_twenty_does_not_determine_the_p99() {
    let slow = Duration::from_millis(200);
    for seed in 0..10 {
        let mut world = warmed_up_world(seed);
        let saved_tokens = world.table.budget.tokens() + 1;
        let mut plan_outcomes = |target: &TargetId, _: bool, request: &SearchRequest| {
            let delay = if &**target == "t3" {
                slow
            } else {
                Duration::from_millis(5)
            };
            vec![(delay, SubOutcome::Reply(whole_reply(request, Vec::new())))]
        };
        let durations = run_queries(&mut world, &mut plan_outcomes);
        assert_within_budget(&world, saved_tokens);
        let p99 = durations[durations.len() * 99 / 100];
        assert!(p99 <= slow / 3, "seed {seed}: p99 is {p99:?}");
        let still_used = world.log.iter().any(|entry| {
            let late = entry.at > Duration::from_secs(2);
            late && matches!(&entry.event, LogEvent::Sent { target, .. } if &**target == "t3")
        });
        assert!(still_used, "seed {seed}: the slow target gets no attempts");
    }
}

#[test]
fn cold_targets_get_no_extra_attempt() {
    for seed in 0..20 {
        let mut world = warmed_up_world(seed);
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut cold_extra = 0;
        let mut plan_outcomes = |target: &TargetId, extra: bool, request: &SearchRequest| {
            let cold = matches!(&**target, "t3" | "t4" | "t5");
            cold_extra += u32::from(cold && extra && request.attempt > 3 * u64::from(SHARDS) * 30);
            let mut reply = whole_reply(request, Vec::new());
            if cold {
                reply.state = TargetState::Cold;
            }
            let delay = Duration::from_millis(rng.random_range(1..40));
            vec![(delay, SubOutcome::Reply(reply))]
        };
        run_queries(&mut world, &mut plan_outcomes);
        assert_eq!(cold_extra, 0, "seed {seed}");
    }
}

#[test]
fn tokens_never_exceed_what_was_earned() {
    let policy = BudgetPolicy {
        extra_fraction: 0.05,
        burst: 3,
        ..Default::default()
    };
    let mut budget = ExtraBudget::default();
    assert!(!budget.spend_on_retry());
    (0..20).for_each(|_| budget.earn(&policy));
    assert!(budget.spend_on_retry());
    assert!(!budget.spend_on_retry());
    (0..1000).for_each(|_| budget.earn(&policy));
    assert_eq!(budget.tokens(), 3);
    let hedges = (0..10).filter(|_| budget.spend_on_hedge(&policy)).count();
    assert_eq!(hedges, 2, "one token is left to retries");
    assert!(budget.spend_on_retry());
}

/// Unanswered attempts are in flight at their targets until the query ends, whether by its deadline
/// or because the caller disconnects.
#[test]
fn nothing_counts_as_in_flight_after_the_end() {
    for disconnected in [true, false] {
        let mut world = warmed_up_world(1);
        world.start("r", 1, Duration::from_secs(1), &mut no_outcomes);
        let in_flight = |world: &QueryWorld| -> u32 {
            let observations = world
                .view
                .targets
                .keys()
                .map(|target| world.table.observation(target));
            observations
                .flatten()
                .map(|observation| observation.in_flight)
                .sum()
        };
        assert_eq!(in_flight(&world), SHARDS);
        if disconnected {
            world.disconnect("r");
        } else {
            let until = world.now + Duration::from_secs(1);
            world.run_until(until, &mut no_outcomes);
        }
        assert_eq!(in_flight(&world), 0, "disconnected: {disconnected}");
    }
}
