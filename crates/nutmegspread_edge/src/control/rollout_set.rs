//! The rollouts under way, as the control thread holds them.

use crate::{RolloutLedger, ServiceRollout};
use indexmap::{IndexMap, IndexSet};
use nutmegspread_tier::{
    MemberRecord, RolloutControl, RolloutEvidence, RolloutOrder, RolloutSettings, RolloutStage,
    RolloutState, ServiceName,
};
use std::time::Instant;

/// The rollouts under way, by name of the store's object.
#[derive(Debug, Default)]
pub struct RolloutSet {
    rollouts: IndexMap<String, RolloutControl>,
    /// Stages that traffic was told.
    stages: IndexMap<ServiceName, RolloutStage>,
}

impl RolloutSet {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty()
    }

    /// Takes an order as the store holds it now.
    pub fn take(&mut self, now: Instant, name: &str, order: RolloutOrder) {
        log::info!(event = "rollout", service:% = order.service, version = order.version,
            finish_s = order.finish_within.as_secs_f64(), recorded:? = order.recorded,
            revision = order.revision; "rollout as the store holds it");
        match self.rollouts.get_mut(name) {
            Some(control) if control.is_same_rollout(&order) => control.update_order(order),
            _ => {
                let control = RolloutControl::new(RolloutSettings::default(), order, now);
                self.rollouts.insert(name.to_owned(), control);
            }
        }
    }

    /// Drops the rollouts that `names` does not name.
    pub fn keep(&mut self, names: &IndexSet<&str>) {
        self.rollouts
            .retain(|name, _| names.contains(name.as_str()));
    }

    /// Drops a rollout whose order is withdrawn.
    pub fn remove(&mut self, name: &str) {
        if self.rollouts.shift_remove(name).is_some() {
            log::info!(event = "rollout_removed", object = name; "rollout withdrawn");
        }
    }

    /// Takes the counts of another node.
    pub fn hear(&mut self, now: Instant, record: &MemberRecord) {
        for evidence in &record.rollouts {
            for control in self.rollouts.values_mut() {
                control.apply_evidence(now, &record.node, record.started_ms, evidence.clone());
            }
        }
    }

    /// Judges all versions; returns whether traffic has to treat any of them in another way.
    pub fn judge(&mut self, now: Instant, own: &MemberRecord, ledger: &RolloutLedger) -> bool {
        for control in self.rollouts.values_mut() {
            let order = control.order();
            let counts = ledger.counts(&order.service, &order.version);
            let evidence = control.evidence(now, counts);
            control.apply_evidence(now, &own.node, own.started_ms, evidence);
            if control.judge(now) {
                let (counts, strength) = control.summary();
                log::warn!(event = "rollout_braked", service:% = control.order().service,
                    version = control.order().version, strength, new:? = counts.new,
                    old:? = counts.old; "the new version gets nothing more");
            }
        }
        let stages: IndexMap<ServiceName, RolloutStage> = self
            .rollouts
            .values()
            .map(|control| (control.order().service.clone(), control.stage(now)))
            .collect();
        let has_changed = stages != self.stages;
        if has_changed {
            log::info!(event = "rollout_stages", stages:? = stages; "rollouts moved on");
            self.stages = stages;
        }
        has_changed
    }

    /// What this node tells the others.
    pub fn evidence(&self, now: Instant, ledger: &RolloutLedger) -> Vec<RolloutEvidence> {
        let rollouts = self.rollouts.values();
        rollouts
            .map(|control| {
                let order = control.order();
                control.evidence(now, ledger.counts(&order.service, &order.version))
            })
            .collect()
    }

    /// What traffic has to know.
    pub fn services(&self, now: Instant) -> IndexMap<ServiceName, ServiceRollout> {
        let rollouts = self.rollouts.values();
        rollouts
            .map(|control| {
                let rollout = ServiceRollout {
                    version: control.order().version.clone(),
                    stage: control.stage(now),
                };
                (control.order().service.clone(), rollout)
            })
            .collect()
    }

    /// The states to write into the store now, by name of the object.
    pub fn writes(&mut self, now: Instant) -> Vec<(String, RolloutOrder, RolloutState)> {
        let rollouts = self.rollouts.iter_mut();
        rollouts
            .filter_map(|(name, control)| {
                let state = control.next_write(now)?;
                Some((name.clone(), control.order().clone(), state))
            })
            .collect()
    }
}
