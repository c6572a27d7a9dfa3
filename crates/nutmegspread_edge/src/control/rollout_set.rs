//! The rollouts under way.

use crate::{RolloutLedger, ServiceRollout};
use indexmap::{IndexMap, IndexSet};
use nutmegspread_tier::{
    EvidenceLimits, EvidenceSchedule, KnownRollouts, MemberRecord, RolloutControl, RolloutEvidence,
    RolloutOrder, RolloutStage, RolloutState, ServiceName,
};
use std::time::Instant;

/// The rollouts under way.
#[derive(Debug, Default)]
pub struct RolloutSet {
    known: KnownRollouts,
    /// Stages in the last view for the traffic thread.
    stages: IndexMap<ServiceName, RolloutStage>,
    /// Which evidence goes into which message.
    schedule: EvidenceSchedule,
}

impl RolloutSet {
    /// Whether no rollout is under way.
    pub fn is_empty(&self) -> bool {
        self.known.rollouts().next().is_none()
    }

    /// Whether a rollout has no final state yet, so that the counts of all nodes matter.
    pub fn is_undecided(&self) -> bool {
        self.known.rollouts().any(|control| !control.is_decided())
    }

    /// Adds a rollout, or updates it with its order as read from the store.
    pub fn apply_order(&mut self, now: Instant, name: &str, order: RolloutOrder) {
        log::info!(event = "rollout", service:% = order.service, version = order.version,
            finish_s = order.finish_within.as_secs_f64(), recorded:? = order.recorded,
            revision = order.revision, era = order.era; "rollout order read from the store");
        self.known.apply_order(now, name, order);
    }

    /// Records that the store has reached `era`; see [`KnownRollouts::begin_era`].
    pub fn begin_era(&mut self, now: Instant, era: u64) {
        self.known.begin_era(now, era);
    }

    /// Removes the rollouts whose names are not in `names`; see [`KnownRollouts::retain`].
    pub fn retain(&mut self, now: Instant, names: &IndexSet<&str>) {
        self.known.retain(now, names);
    }

    /// Removes a rollout whose object was removed from the store at `revision`.
    pub fn remove(&mut self, now: Instant, name: &str, revision: u64) {
        if self.known.remove(now, name, revision) {
            log::info!(event = "rollout_removed", object = name;
                "order of a rollout was removed from the store");
        }
    }

    /// Applies the evidence in the heartbeat of a peer.
    pub fn apply_evidence(&mut self, now: Instant, record: &MemberRecord) {
        for evidence in &record.rollouts {
            for control in self.known.rollouts_mut() {
                control.apply_evidence(now, &record.node, record.started_ms, evidence.clone());
            }
        }
    }

    /// Judges the new version of every rollout. Returns whether the stage of any service changed.
    pub fn judge(&mut self, now: Instant, own: &MemberRecord, ledger: &RolloutLedger) -> bool {
        for name in self.known.expire(now) {
            log::info!(event = "rollout_lost", object = name;
                "order of a rollout was not written again after the store was restored");
        }
        for control in self.known.rollouts_mut() {
            let evidence = own_evidence(now, control, ledger);
            control.apply_evidence(now, &own.node, own.started_ms, evidence);
            if control.judge(now) {
                let (counts, strength) = control.summary();
                log::warn!(event = "rollout_braked", service:% = control.order().service,
                    version = control.order().version, strength, new:? = counts.new,
                    old:? = counts.old;
                    "set the brake on the new version; it gets no more traffic");
            }
        }
        let stages: IndexMap<ServiceName, RolloutStage> = self
            .known
            .rollouts()
            .map(|control| (control.order().service.clone(), control.stage(now)))
            .collect();
        let has_changed = stages != self.stages;
        if has_changed {
            log::info!(event = "rollout_stages", stages:? = stages; "stages of rollouts changed");
            self.stages = stages;
        }
        has_changed
    }

    /// Evidence of this node on undecided rollouts for its next messages to peers, of which there is
    /// at least one; see [`EvidenceSchedule::next_messages`].
    pub fn next_evidence(
        &mut self,
        now: Instant,
        ledger: &RolloutLedger,
        limits: EvidenceLimits,
        size: impl Fn(&RolloutEvidence) -> usize,
    ) -> Vec<Vec<RolloutEvidence>> {
        let undecided = self
            .known
            .rollouts()
            .filter(|control| !control.is_decided());
        let evidence = undecided
            .map(|control| own_evidence(now, control, ledger))
            .collect();
        self.schedule.next_messages(now, evidence, limits, size)
    }

    /// Rollout of each service that has one, for the view.
    pub fn services(&self, now: Instant) -> IndexMap<ServiceName, ServiceRollout> {
        let rollouts = self.known.rollouts();
        rollouts
            .map(|control| {
                let rollout = ServiceRollout {
                    version: control.order().version.clone(),
                    order: control.created(),
                    stage: control.stage(now),
                };
                (control.order().service.clone(), rollout)
            })
            .collect()
    }

    /// Returns the rollout states that should be written to the store now, each with the name of
    /// its object and its order.
    pub fn writes(&mut self, now: Instant) -> Vec<(String, RolloutOrder, RolloutState)> {
        self.known.writes(now)
    }

    /// Records that the store acknowledged a write; see [`KnownRollouts::record_write`].
    pub fn record_write(&mut self, name: &str, order: &RolloutOrder, state: RolloutState) {
        self.known.record_write(name, order, state);
    }

    /// Whether a write for `order` may still be sent; see [`KnownRollouts::may_write`].
    pub fn may_write(&self, name: &str, order: &RolloutOrder) -> bool {
        self.known.may_write(name, order)
    }
}

/// Evidence of this node on a rollout.
fn own_evidence(now: Instant, control: &RolloutControl, ledger: &RolloutLedger) -> RolloutEvidence {
    let order = control.order();
    let counts = ledger.counts(&order.service, &order.version, control.created());
    control.evidence(now, counts)
}
