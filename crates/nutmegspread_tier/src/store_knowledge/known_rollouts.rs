//! Rollouts as this node knows them from the store, also while the store is restored.

use crate::{RolloutControl, RolloutOrder, RolloutSettings, RolloutState};
use indexmap::{IndexMap, IndexSet};
use std::time::Instant;

/// Largest number of former rollouts that are remembered of one object.
const MAX_FORMER: usize = 8;

/// Rollout that another one of its object has replaced, or whose object was removed.
#[derive(Clone, Debug)]
struct FormerRollout {
    control: RolloutControl,
    ended: Instant,
    /// Greatest revision that its order may have had.
    last: u64,
    /// Until when the order may be written again, if a restored store has lost it.
    lost_until: Option<Instant>,
}

impl FormerRollout {
    /// Whether `order` is the one of this rollout, as a restored store holds it.
    fn was_before(&self, order: &RolloutOrder) -> bool {
        let known = self.control.order();
        // A greater revision belongs to a change that was made later.
        self.lost_until.is_none()
            && order.era > known.era
            && order.revision <= self.last
            && self.control.is_same_order(order)
    }

    /// Whether the order may still be written again.
    fn is_lost(&self, now: Instant) -> bool {
        self.lost_until.is_some_and(|until| now < until)
    }
}

/// What the store holds, since it was restored, instead of the order of a known rollout.
#[derive(Clone, Debug)]
enum RestoredOrder {
    /// No object.
    Missing,
    /// The order of a former rollout.
    Former(RolloutOrder),
}

/// Rollouts as this node knows them from the store, by the name of their object.
///
/// A store that was restored may lack an order, or hold the one before, until the operator writes the
/// order again. The known rollout goes on meanwhile, for at most [`RolloutSettings::restore_hold`]
/// after this node learned of the era; nothing is written for it until its order is back.
#[derive(Clone, Debug, Default)]
pub struct KnownRollouts {
    settings: RolloutSettings,
    rollouts: IndexMap<String, RolloutControl>,
    /// Former rollouts of each object, the latest last.
    former: IndexMap<String, Vec<FormerRollout>>,
    /// What the store holds for rollouts whose order has not been written again.
    restored: IndexMap<String, RestoredOrder>,
    /// Latest known era of the store.
    era: u64,
    /// When this node learned of a later era than the first one that it knew.
    era_began: Option<Instant>,
}

impl KnownRollouts {
    /// The rollouts.
    pub fn rollouts(&self) -> impl Iterator<Item = &RolloutControl> {
        self.rollouts.values()
    }

    /// The rollouts, to be changed.
    pub fn rollouts_mut(&mut self) -> impl Iterator<Item = &mut RolloutControl> {
        self.rollouts.values_mut()
    }

    /// Records that the store has reached `era`. Nothing is written for orders of an earlier era.
    pub fn begin_era(&mut self, now: Instant, era: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.era_began = Some(now);
        for former in self.former.values_mut().flatten() {
            if former.is_lost(now) {
                former.lost_until = Some(now + self.settings.restore_hold);
            }
        }
    }

    /// Adds a rollout, or updates it with its order as read from the store. An order of an earlier era
    /// than the known one is ignored.
    pub fn apply_order(&mut self, now: Instant, name: &str, order: RolloutOrder) {
        self.begin_era(now, order.era);
        if order.era < self.era {
            return;
        }
        if self.is_held(now, name, &order) {
            let held = RestoredOrder::Former(order);
            self.restored.insert(name.to_owned(), held);
            return;
        }
        self.restored.shift_remove(name);
        let former = self.former_position(name, |former| {
            let is_same = former.control.is_same_order(&order);
            former.was_before(&order) || (former.is_lost(now) && is_same)
        });
        self.put_order(now, name, order, former);
    }

    /// Removes the rollouts whose names are not in `names`, a list of the latest known era.
    pub fn retain(&mut self, now: Instant, names: &IndexSet<&str>) {
        let missing: Vec<String> = self
            .rollouts
            .keys()
            .filter(|name| !names.contains(name.as_str()))
            .cloned()
            .collect();
        self.restored.retain(|name, held| {
            names.contains(name.as_str()) && matches!(held, RestoredOrder::Former(_))
        });
        for name in missing {
            let order = self.rollouts[&name].order();
            if order.era < self.era && self.is_holding(now) {
                self.restored.insert(name, RestoredOrder::Missing);
            } else {
                let is_lost = order.era < self.era;
                self.restored.shift_remove(&name);
                self.remove_rollout(now, &name, is_lost, 0);
            }
        }
    }

    /// Removes a rollout whose object was removed from the store at `revision`. Returns whether there was
    /// one.
    pub fn remove(&mut self, now: Instant, name: &str, revision: u64) -> bool {
        self.restored.shift_remove(name);
        self.remove_rollout(now, name, false, revision)
    }

    /// Applies what the store holds for rollouts whose order was not written again in time, and
    /// forgets former rollouts. Returns the names of the former.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let longest = self.settings.former_time;
        self.former.retain(|_, former| {
            former.retain(|former| now.saturating_duration_since(former.ended) < longest);
            !former.is_empty()
        });
        if self.restored.is_empty() || self.is_holding(now) {
            return Vec::new();
        }
        let restored = std::mem::take(&mut self.restored);
        let names = restored.keys().cloned().collect();
        for (name, held) in restored {
            match held {
                RestoredOrder::Missing => {
                    self.remove_rollout(now, &name, true, 0);
                }
                RestoredOrder::Former(order) => {
                    let is_same = |former: &FormerRollout| former.control.is_same_order(&order);
                    let former = self.former_position(&name, is_same);
                    self.put_order(now, &name, order, former);
                }
            }
        }
        names
    }

    /// Returns the states that should be written to the store now, each with the name of its object
    /// and its order.
    pub fn writes(&mut self, now: Instant) -> Vec<(String, RolloutOrder, RolloutState)> {
        let era = self.era;
        let current = self.rollouts.iter_mut();
        current
            .filter(|(_, control)| control.order().era == era)
            .filter_map(|(name, control)| {
                let state = control.next_write(now)?;
                Some((name.clone(), control.order().clone(), state))
            })
            .collect()
    }

    /// Whether a write for `order` may still be sent: no later order and no later era is known.
    pub fn may_write(&self, name: &str, order: &RolloutOrder) -> bool {
        let known = self.rollouts.get(name);
        let is_latest = known.is_some_and(|known| known.order().position() == order.position());
        is_latest && order.era == self.era
    }

    /// Records that the store acknowledged a write of `state` for `order`. A store that is restored
    /// before the state is read would lose it otherwise.
    pub fn record_write(&mut self, name: &str, order: &RolloutOrder, state: RolloutState) {
        if let Some(known) = self.rollouts.get_mut(name)
            && known.order().position() == order.position()
        {
            known.record_write(state);
        }
    }

    /// Whether the operator may still write orders again that a restored store has lost.
    fn is_holding(&self, now: Instant) -> bool {
        self.era_began
            .is_some_and(|began| now.saturating_duration_since(began) < self.settings.restore_hold)
    }

    /// Whether `order` is the one before that of the known rollout, from a restored store, and the
    /// known one may still be written again.
    fn is_held(&self, now: Instant, name: &str, order: &RolloutOrder) -> bool {
        let Some(known) = self.rollouts.get(name) else {
            return false;
        };
        if order.era == known.order().era || known.is_same_order(order) || !self.is_holding(now) {
            return false;
        }
        match self.restored.get(name) {
            // Other nodes may have written a state for the order since.
            Some(RestoredOrder::Former(held)) => {
                held.version == order.version && held.finish_within == order.finish_within
            }
            _ => {
                let before = self.former_position(name, |former| former.was_before(order));
                before.is_some()
            }
        }
    }

    /// Position of the latest former rollout of the object that `is_meant` accepts.
    fn former_position(
        &self,
        name: &str,
        is_meant: impl Fn(&FormerRollout) -> bool,
    ) -> Option<usize> {
        self.former.get(name)?.iter().rposition(is_meant)
    }

    /// Applies an order. If it is that of the rollout at position `former`, that one goes on.
    fn put_order(&mut self, now: Instant, name: &str, order: RolloutOrder, former: Option<usize>) {
        if let Some(known) = self.rollouts.get_mut(name)
            && known.is_same_rollout(&order)
            && !known.is_ordered_again(&order)
            && (former.is_none() || known.is_same_order(&order))
        {
            known.update_order(order);
            return;
        }
        let all = self.former.get_mut(name);
        let former = all.zip(former).map(|(all, former)| all.remove(former));
        let known = self.rollouts.get(name);
        let is_lost = known.is_some_and(|known| order.era > known.order().era);
        let order_revision = order.revision;
        let is_repeated = known.is_some_and(|known| known.is_ordered_again(&order));
        let control = match former {
            Some(FormerRollout { mut control, .. }) => {
                control.update_order(order);
                control
            }
            None if is_repeated => RolloutControl::new_repeated(self.settings, order, now),
            None => RolloutControl::new(self.settings, order, now),
        };
        let last = order_revision.saturating_sub(1);
        self.remove_rollout(now, name, is_lost, last);
        self.rollouts.insert(name.to_owned(), control);
    }

    /// Makes a rollout a former one of its object, whose order had no greater revision than `last`, or
    /// than the known one. Returns whether there was one.
    fn remove_rollout(&mut self, now: Instant, name: &str, is_lost: bool, last: u64) -> bool {
        let Some(mut control) = self.rollouts.shift_remove(name) else {
            return false;
        };
        if control.is_decided() {
            control.forget_counts();
        }
        let former = self.former.entry(name.to_owned()).or_default();
        former.push(FormerRollout {
            last: last.max(control.order().revision),
            control,
            ended: now,
            lost_until: is_lost.then(|| now + self.settings.restore_hold),
        });
        former.drain(..former.len().saturating_sub(MAX_FORMER));
        true
    }
}
