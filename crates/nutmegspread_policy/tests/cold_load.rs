//! Tests that a cold target gets no more load than it bears.

mod query_support;

use nutmegspread_model::{MonotonicTime, TargetLimits, TargetState};
use nutmegspread_policy::routing::TargetShare;
use nutmegspread_policy::target::*;
use query_support::tier_world::{NODES, TierWorld};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::time::Duration;

#[test]
fn scripts() {
    query_support::target_script::run_target_scripts("cold_load");
}

/// Three owners of one target. Owner 0 leads, so only it sends requests to the target while it is
/// cold.
struct OwnerGroup {
    owners: Vec<OwnedTarget>,
    marks: Vec<WarmthMark>,
    now: MonotonicTime,
    next_ticket: TicketId,
}

impl OwnerGroup {
    fn new() -> Self {
        let limits = TargetLimits {
            slots: 3,
            warm_after: 3,
            ..Default::default()
        };
        let mut group = Self {
            owners: vec![OwnedTarget::new(limits, 8, Duration::ZERO); 3],
            marks: Vec::new(),
            now: Duration::ZERO,
            next_ticket: 0,
        };
        for owner in 0..3 {
            let share = TargetShare {
                slots: 1,
                connections: 2,
                leads: owner == 0,
            };
            group.step(
                owner,
                TargetInput::Share {
                    share,
                    return_count: 0,
                },
            );
            group.step(owner, TargetInput::Opened { connection: 0 });
        }
        group
    }

    fn step(&mut self, owner: usize, input: TargetInput) -> Vec<TargetAction> {
        let actions = self.owners[owner].step(self.now, input).actions;
        self.marks
            .extend(actions.iter().filter_map(|action| match action {
                TargetAction::Report(mark) => Some(*mark),
                _ => None,
            }));
        actions
    }

    /// Submits a request to an owner. If the owner sends it, the target replies with the given
    /// state and incarnation. Returns whether the owner sent it.
    fn submit(&mut self, owner: usize, state: TargetState, incarnation: u64) -> bool {
        self.next_ticket += 1;
        self.now += Duration::from_millis(1);
        let ticket = self.next_ticket;
        let deadline = self.now + Duration::from_secs(1);
        let actions = self.step(
            owner,
            TargetInput::Submit {
                ticket,
                extra: false,
                deadline,
            },
        );
        let sent = actions
            .iter()
            .any(|action| matches!(action, TargetAction::Send { .. }));
        let latency = Duration::from_millis(1);
        if sent {
            let result = TicketResult::Replied {
                state,
                incarnation,
                latency,
            };
            self.step(owner, TargetInput::Finished { ticket, result });
        }
        sent
    }
}

/// Marks between owners are lost, repeated, delayed and reordered at random. Once every owner has
/// received the latest mark, all agree whether the target is cold, and an owner that doesn't lead
/// sends to it only if it is warm.
#[test]
fn owners_agree_once_the_latest_mark_arrives() {
    let (mut cold, mut warm) = (0, 0);
    for seed in 0..500 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut group = OwnerGroup::new();
        let mut incarnation = 1;
        for _ in 0..100 {
            incarnation += u64::from(rng.random_bool(0.02));
            let replies_cold = rng.random_bool(0.05);
            let state = if replies_cold {
                TargetState::Cold
            } else {
                TargetState::Warm
            };
            let owner = rng.random_range(0..3);
            group.submit(owner, state, incarnation);
            if rng.random_bool(0.5) && !group.marks.is_empty() {
                let mark = group.marks[rng.random_range(0..group.marks.len())];
                group.step(rng.random_range(0..3), TargetInput::Reported(mark));
            }
        }
        let latest = *group.marks.iter().max().unwrap();
        for owner in 0..3 {
            group.step(owner, TargetInput::Reported(latest));
            let is_cold = group.owners[owner].is_cold();
            assert_eq!(
                is_cold, !latest.warm,
                "seed {seed}: owner {owner} at {latest:?}"
            );
        }
        let sent = group.submit(1, TargetState::Warm, incarnation);
        assert_eq!(sent, latest.warm, "seed {seed}: {latest:?}");
        if latest.warm { warm += 1 } else { cold += 1 }
    }
    assert!(cold > 50 && warm > 50, "{cold} cold, {warm} warm");
}

/// Half of the targets are drained, restart and return to service together; the nodes apply this at
/// different times. No target gets more concurrent requests than it bears, whether cold or warm. A
/// drained target gets no new work. All targets become warm again, and every answer is complete.
#[test]
fn whole_domain_returns_cold_at_once() {
    let limits = TargetLimits {
        slots: 4,
        cold_slots: 1,
        warm_after: 20,
        ..Default::default()
    };
    for seed in 0..20 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut world = TierWorld::new(seed, 6, limits.clone());
        let domain: Vec<_> = world.targets.keys().take(6).cloned().collect();
        let at = Duration::from_millis;
        world.run_until(at(4000));
        let before = world.answers.len();
        for (begin, serving, returns) in [(4000, false, 0), (6000, true, 1)] {
            let mut delays: Vec<(u64, usize)> = (0..NODES)
                .map(|node| (rng.random_range(0..500), node))
                .collect();
            delays.sort();
            for (delay, node) in delays {
                world.run_until(at(begin + delay));
                for target in &domain {
                    world.set_serving(node, target, serving, returns);
                }
            }
            world.run_until(at(begin + 1900));
            for target in domain.iter().filter(|_| !serving) {
                let last = world.targets[target].last_arrival;
                assert!(
                    last < at(begin + 501),
                    "seed {seed}: {target} got new work at {last:?} while drained"
                );
                world.restart_target(target);
            }
        }
        world.run_until(at(12_000));
        for (name, target) in &world.targets {
            assert_eq!(target.cold_peak, 1, "seed {seed}: {name}");
            assert!(target.peak <= 4, "seed {seed}: {name} had {}", target.peak);
            assert!(
                world.is_warm(name),
                "seed {seed}: {name} is still cold: {target:?}"
            );
        }
        let complete = world
            .answers
            .iter()
            .filter(|(_, answer)| answer.coverage.is_complete());
        let (complete, all) = (complete.count(), world.answers.len());
        assert!(before > 300 && all > 1000, "seed {seed}: {all} answers");
        assert_eq!(
            (complete, world.refusals),
            (all, 0),
            "seed {seed}: incomplete answers"
        );
    }
}
