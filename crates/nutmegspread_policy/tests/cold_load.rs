//! A target in cold start gets no more load than it bears.

mod query_support;

use nutmegspread_model::{MonotonicTime, TargetLimits, TargetState};
use nutmegspread_policy::routing::TargetShare;
use nutmegspread_policy::target::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::time::Duration;

#[test]
fn scripts() {
    query_support::target_script::run_target_scripts("cold_load");
}

/// Owners of one target; the first leads.
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

    /// Sends one request and answers it, if the owner lets it through.
    fn work(&mut self, owner: usize, state: TargetState, incarnation: u64) -> bool {
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

/// Marks that are lost, repeated, delayed and reordered: once the latest one has come through,
/// the owners agree, and none but the leading one sends to a cold target.
#[test]
fn owners_agree_whatever_happens_to_their_marks() {
    let (mut cold, mut warm) = (0, 0);
    for seed in 0..500 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut group = OwnerGroup::new();
        let mut incarnation = 1;
        for _ in 0..100 {
            incarnation += u64::from(rng.random_bool(0.02));
            let says_cold = rng.random_bool(0.05);
            let state = if says_cold {
                TargetState::Cold
            } else {
                TargetState::Warm
            };
            let owner = rng.random_range(0..3);
            group.work(owner, state, incarnation);
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
        let sent = group.work(1, TargetState::Warm, incarnation);
        assert_eq!(sent, latest.warm, "seed {seed}: {latest:?}");
        if latest.warm { warm += 1 } else { cold += 1 }
    }
    assert!(cold > 50 && warm > 50, "{cold} cold, {warm} warm");
}
