//! Generated histories of rollouts in a store that is restored from older copies at any time.

use indexmap::{IndexMap, IndexSet};
use nutmegspread_tier::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::time::{Duration, Instant};

const SEEDS: u64 = 300;
/// A seed with which an order that was lost three times in a row started anew.
const LOST_AGAIN_SEED: u64 = 9_805;
const STEP: Duration = Duration::from_millis(500);
const STEPS: u32 = 400;
/// Steps at the end without changes and restores.
const QUIET_STEPS: u32 = 150;
/// Largest number of steps between a restore and the operator's writing again.
const REWRITE_STEPS: u32 = 16;
/// Largest age of a copy, in steps.
const COPY_STEPS: usize = 12;

/// The object of the rollout, with the version and the time that the operator ordered.
#[derive(Clone, Debug)]
struct StoredRollout {
    version: String,
    seconds: u64,
    state: Option<(String, RolloutState)>,
    revision: u64,
}

/// A store with one rollout, its operator, and a node that follows it.
struct RestoredStore {
    random: Pcg64,
    era: u64,
    revision: u64,
    object: Option<StoredRollout>,
    /// Contents of the store at each of the last steps.
    copies: Vec<(u64, Option<StoredRollout>)>,
    /// What the operator ordered last.
    wanted: Option<(String, u64)>,
    orders: u64,
    /// Step at which the operator writes again what was lost.
    rewrite: Option<u32>,
    /// Final states that the store acknowledged, by order.
    ended: IndexMap<(String, u64), RolloutState>,
}

impl RestoredStore {
    fn put(&mut self, change: impl FnOnce(&mut StoredRollout)) {
        self.revision += 1;
        if let Some(object) = &mut self.object {
            change(object);
            object.revision = self.revision;
        }
    }

    /// The operator orders what is wanted.
    fn write_order(&mut self) {
        let Some((version, seconds)) = self.wanted.clone() else {
            self.revision += 1;
            self.object = None;
            return;
        };
        self.object.get_or_insert(StoredRollout {
            version: String::new(),
            seconds,
            state: None,
            revision: 0,
        });
        self.put(|object| (object.version, object.seconds) = (version, seconds));
    }

    fn change_order(&mut self) {
        self.orders += 1;
        let is_removed = self.wanted.is_some() && self.random.random_bool(0.2);
        let seconds = self.random.random_range(5..40);
        self.wanted = (!is_removed).then(|| (format!("v{}", self.orders), seconds));
        self.write_order();
    }

    fn restore(&mut self, step: u32) {
        let age = self.random.random_range(0..self.copies.len());
        let (revision, object) = self.copies[self.copies.len() - 1 - age].clone();
        (self.revision, self.object) = (revision, object);
        self.copies.truncate(self.copies.len() - age);
        self.era += 1;
        self.rewrite = Some(step + self.random.random_range(0..REWRITE_STEPS));
    }

    fn write_again(&mut self) {
        let held = self.object.as_ref();
        let held = held.map(|object| (object.version.clone(), object.seconds));
        if held != self.wanted {
            self.write_order();
        }
    }

    /// Executes a write of the node if its condition holds.
    fn write_state(&mut self, order: &RolloutOrder, state: RolloutState) -> bool {
        let is_met = self.object.as_ref().map(|object| object.revision) == Some(order.revision);
        if is_met {
            let version = order.version.clone();
            self.put(|object| object.state = Some((version, state)));
            if state.is_final() {
                let key = (order.version.clone(), order.finish_within.as_secs());
                self.ended.entry(key).or_insert(state);
            }
        }
        is_met
    }

    fn order(&self) -> Option<RolloutOrder> {
        let object = self.object.as_ref()?;
        let state = object.state.as_ref();
        Some(RolloutOrder {
            service: "s".into(),
            version: object.version.clone(),
            finish_within: Duration::from_secs(object.seconds),
            recorded: state
                .filter(|(version, _)| *version == object.version)
                .map(|(_, state)| *state),
            revision: object.revision,
            era: self.era,
        })
    }
}

/// What the node has read.
#[derive(Default)]
struct ReadingNode {
    known: KnownRollouts,
    read: StorePosition,
    created: IndexMap<(String, u64), StorePosition>,
}

impl ReadingNode {
    fn read(&mut self, now: Instant, store: &RestoredStore) {
        let position = StorePosition {
            era: store.era,
            revision: store.revision,
        };
        if position == self.read {
            return;
        }
        self.known.begin_era(now, store.era);
        let order = store.order();
        if store.era > self.read.era {
            let names: IndexSet<&str> = order.iter().map(|_| "s").collect();
            self.known.retain(now, &names);
        } else if order.is_none() {
            self.known.remove(now, "s", store.revision);
        }
        if let Some(order) = order {
            self.known.apply_order(now, "s", order);
        }
        self.read = position;
    }

    /// Fails if a rollout that has ended runs again, or one under way has started anew.
    fn check(&mut self, now: Instant, store: &RestoredStore, place: &str) {
        for control in self.known.rollouts() {
            let order = control.order();
            let key = (order.version.clone(), order.finish_within.as_secs());
            if let Some(ended) = store.ended.get(&key) {
                let expected = match ended {
                    RolloutState::Completed => RolloutStage::Completed,
                    _ => RolloutStage::RolledBack,
                };
                assert_eq!(control.stage(now), expected, "{place}: {key:?}");
            }
            let created = *self.created.entry(key).or_insert(control.created());
            assert_eq!(control.created(), created, "{place}: {order:?}");
        }
    }
}

fn run(seed: u64) {
    let mut store = RestoredStore {
        random: Pcg64::seed_from_u64(seed),
        era: 1,
        revision: 1,
        object: None,
        copies: Vec::new(),
        wanted: None,
        orders: 0,
        rewrite: None,
        ended: IndexMap::new(),
    };
    let mut node = ReadingNode::default();
    let mut now = Instant::now();
    let mut late: Vec<(String, RolloutOrder, RolloutState)> = Vec::new();
    for step in 0..STEPS {
        let place = format!("seed {seed}, step {step}, era {}", store.era);
        let is_quiet = step > STEPS - QUIET_STEPS;
        store.copies.push((store.revision, store.object.clone()));
        let surplus = store.copies.len().saturating_sub(COPY_STEPS);
        store.copies.drain(..surplus);
        if !is_quiet && store.rewrite.is_none() && store.random.random_bool(0.02) {
            store.change_order();
        }
        if !is_quiet && store.random.random_bool(0.04) {
            store.restore(step);
        }
        if store.rewrite.is_some_and(|rewrite| step >= rewrite) {
            store.rewrite = None;
            store.write_again();
        }
        if store.random.random_bool(0.02) {
            for control in node.known.rollouts_mut() {
                let evidence = control.evidence(now, Vec::new());
                let evidence = RolloutEvidence {
                    is_braked: true,
                    ..evidence
                };
                control.apply_evidence(now, &"n1".into(), 1, evidence);
            }
        }
        if is_quiet || store.random.random_bool(0.8) {
            node.read(now, &store);
        }
        node.known.expire(now);
        node.check(now, &store, &place);
        // The writes of the step before arrive now.
        for (name, order, state) in late.drain(..) {
            if node.known.may_write(&name, &order)
                && store.era == node.read.era
                && store.write_state(&order, state)
            {
                node.known.record_write(&name, &order, state);
            }
        }
        late = node.known.writes(now);
        node.check(now, &store, &place);
        now += STEP;
    }
    let order = node
        .known
        .rollouts()
        .next()
        .map(|control| control.order().clone());
    let held = order
        .as_ref()
        .map(|order| (order.version.clone(), order.finish_within.as_secs()));
    assert_eq!(held, store.wanted, "seed {seed}");
    let state = store.order().and_then(|order| order.recorded);
    let expected = store.wanted.as_ref().map(|wanted| store.ended[wanted]);
    assert_eq!(state, expected, "seed {seed}");
}

/// Guards against a restore that runs an ended rollout again, or starts one under way anew.
#[test]
fn no_restore_runs_a_rollout_again() {
    for seed in (0..SEEDS).chain([LOST_AGAIN_SEED]) {
        run(seed);
    }
}
