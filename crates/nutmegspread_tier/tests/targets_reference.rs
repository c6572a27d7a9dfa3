//! The known targets over generated courses of a store that comes back from older copies, against a
//! plain reference model.

use nutmegspread_tier::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

const IDS: [&str; 4] = ["a", "b", "c", "d"];
const RETURN_MS: u64 = 2500;

/// Start time and sequence number of a registration, and whether the target is draining.
type Report = (u64, u64, bool);
/// The registrations in the store by id; `None` for one that cannot be read.
type Contents = BTreeMap<&'static str, Option<Report>>;

/// What the node must know of a target.
#[derive(Clone, Debug)]
struct ModelTarget {
    last: Report,
    is_gone: bool,
    missing_until: Option<u64>,
}

/// The rules in their plainest form: a registration counts if it is later than the last one, and a
/// target that is missing after a restore is gone at the end of the return time.
#[derive(Debug, Default)]
struct Model {
    targets: BTreeMap<&'static str, ModelTarget>,
    restored: Option<u64>,
}

impl Model {
    fn expire(&mut self, time: u64) {
        for target in self.targets.values_mut() {
            if target.missing_until.is_some_and(|until| until <= time) {
                target.is_gone = true;
                target.missing_until = None;
            }
        }
    }

    fn begin_era(&mut self, time: u64) {
        self.restored = Some(time);
        for target in self.targets.values_mut() {
            target.missing_until = target.missing_until.map(|_| time + RETURN_MS);
        }
    }

    fn apply(&mut self, time: u64, id: &'static str, entry: Option<Option<Report>>) {
        let Some(target) = self.targets.get_mut(id) else {
            if let Some(Some(last)) = entry {
                let (is_gone, missing_until) = (false, None);
                let target = ModelTarget {
                    last,
                    is_gone,
                    missing_until,
                };
                self.targets.insert(id, target);
            }
            return;
        };
        let until = self.restored.map_or(0, |restored| restored + RETURN_MS);
        match entry {
            Some(Some(report)) => {
                if report > target.last {
                    target.last = report;
                    target.is_gone = false;
                }
                target.missing_until = None;
            }
            None if time < until && !target.last.2 && !target.is_gone => {
                target.missing_until.get_or_insert(until);
            }
            _ => {
                target.is_gone = true;
                target.missing_until = None;
            }
        }
    }

    fn usable(&self) -> BTreeSet<String> {
        let targets = self.targets.iter();
        targets
            .filter(|(_, target)| !target.is_gone && !target.last.2)
            .map(|(id, _)| (*id).to_owned())
            .collect()
    }
}

fn change(id: &str, entry: Option<Option<Report>>) -> RegistryChange {
    let record = |(started_ms, report, draining)| {
        Arc::new(TargetRecord {
            id: id.into(),
            service: "s".into(),
            address: "127.0.0.1:1".parse().expect("address"),
            domain: "d".into(),
            version: "v1".to_owned(),
            slots: 2,
            draining,
            cold_left: Duration::ZERO,
            started_ms,
            report,
        })
    };
    match entry {
        Some(entry) => RegistryChange::Put(id.into(), entry.map(record)),
        None => RegistryChange::Remove(id.into()),
    }
}

/// Applies a list to both.
fn list(
    registry: &mut TargetRegistry,
    model: &mut Model,
    now: Instant,
    time: u64,
    store: &Contents,
) {
    let entries = store
        .iter()
        .filter_map(|(id, entry)| match change(id, Some(*entry)) {
            RegistryChange::Put(id, record) => Some((id, record)),
            RegistryChange::Remove(_) => None,
        });
    registry.replace(now, entries);
    for id in IDS {
        model.apply(time, id, store.get(id).copied());
    }
}

/// Targets write, drain, restart and leave; the store goes back to one of its last states, at times
/// twice in a row; the node is cut off from the store at times. It must use exactly the targets of
/// the model, which never uses one that is known as draining or gone without a later registration.
#[test]
fn a_draining_or_removed_target_needs_a_later_registration() {
    let start = Instant::now();
    let (mut unusable, mut refused, mut kept) = (0, 0, 0);
    for seed in 0..4000 {
        let mut random = Pcg64::seed_from_u64(seed);
        let (mut registry, mut model) = (TargetRegistry::default(), Model::default());
        let mut own: BTreeMap<&str, Report> = IDS.map(|id| (id, (1, 0, false))).into();
        let mut history: Vec<Contents> = vec![Contents::new()];
        let (mut time, mut store_era, mut known_era, mut is_cut) = (0, 0, 0, false);
        let mut trace = Vec::new();
        for _ in 0..40 {
            time += random.random_range(0..700);
            let now = start + Duration::from_millis(time);
            let mut store = history.last().expect("a state").clone();
            let id = IDS[random.random_range(0..IDS.len())];
            let what = random.random_range(0..12);
            trace.push((time, what, id, store.clone()));
            if what < 8 {
                let (born, number, draining) = own[id];
                let report = match what {
                    0 => (born + 1, 0, false),
                    1 => (born, number + 1, true),
                    _ => (born, number + 1, draining),
                };
                own.insert(id, report);
                match what {
                    5 | 6 => {
                        store.remove(id);
                    }
                    7 => {
                        store.insert(id, None);
                    }
                    _ => {
                        store.insert(id, Some(report));
                    }
                }
                if !is_cut {
                    let entry = store.get(id).copied();
                    model.expire(time);
                    registry.expire(now);
                    registry.apply(now, change(id, entry));
                    model.apply(time, id, entry);
                }
                history.push(store);
            } else if what == 8 {
                is_cut = !is_cut;
            } else if what < 11 {
                let oldest = history.len().saturating_sub(12);
                history.truncate(random.random_range(oldest..history.len()) + 1);
                store_era += 1;
            }
            model.expire(time);
            registry.expire(now);
            if !is_cut && what >= 8 {
                if known_era < store_era {
                    known_era = store_era;
                    registry.begin_era(now);
                    model.begin_era(time);
                }
                let store = history.last().expect("a state");
                list(&mut registry, &mut model, now, time, store);
            }
            let usable = registry.usable().into_values().flatten();
            let usable: BTreeSet<String> = usable.map(|record| record.id.to_string()).collect();
            assert_eq!(usable, model.usable(), "seed {seed}, {model:?}, {trace:?}");
            unusable += model.targets.len() - usable.len();
        }
        refused += registry.refused_count();
        kept += registry.kept_count();
    }
    let reached = [unusable as u64, refused, kept];
    assert!(reached.iter().all(|count| *count > 1000), "{reached:?}");
}
