//! One rollout on one node.

use super::evidence_table::EvidenceTable;
use super::exposure_budget::ExposureBudget;
use super::record_coordinator::{RecordCoordinator, WriteTurn};
use super::record_draft::RecordDraft;
use super::step_gate::StepGate;
use super::version_judge::{VersionFinding, judge_version};
use super::{
    BrakeReason, CountPair, EvidenceKey, KnownRecord, NodeEvidence, QueryObservation,
    RolloutAction, RolloutInput, RolloutLimits, RolloutOutput, RolloutPlan, WriteOutcome,
};
use nutmegspread_model::{
    Incarnation, MonotonicTime, NodeId, RolloutId, RolloutRecord, RolloutSettings, RolloutState,
    RouteName, VersionName, rank_candidates,
};
use std::time::SystemTime;

/// Decides the share of the new version on this node and drives the record in the platform.
///
/// Every node runs the same; whoever finds a change due writes it, and the platform's conditional
/// update lets one writer win. The share is the smaller of the recorded step's and the local brake.
#[derive(Clone, Debug)]
pub struct RolloutPolicy {
    pub(super) rollout: RolloutId,
    pub(super) settings: RolloutSettings,
    pub(super) limits: RolloutLimits,
    pub(super) plan: RolloutPlan,
    pub(super) budget: ExposureBudget,
    pub(super) known: Option<KnownRecord>,
    pub(super) brake: Option<BrakeReason>,
    process: (NodeId, Incarnation),
    members: Vec<NodeId>,
    table: EvidenceTable,
    finding: Option<VersionFinding>,
    absent: Option<SystemTime>,
    coordinator: RecordCoordinator,
    next_judge: MonotonicTime,
}

impl RolloutPolicy {
    /// Starts with no record: the new version gets nothing until the platform confirms one.
    pub fn new(
        rollout: RolloutId,
        settings: RolloutSettings,
        limits: RolloutLimits,
        node: NodeId,
        incarnation: Incarnation,
    ) -> Self {
        let token_prefix = format!("{node}-{incarnation}-{rollout}");
        Self {
            rollout,
            plan: RolloutPlan::new(&settings, &limits),
            budget: ExposureBudget::default(),
            known: None,
            brake: None,
            members: vec![node.clone()],
            process: (node, incarnation),
            table: EvidenceTable::default(),
            finding: None,
            absent: None,
            coordinator: RecordCoordinator::new(limits.clone(), token_prefix),
            next_judge: MonotonicTime::ZERO,
            settings,
            limits,
        }
    }

    /// Takes an input and says what to do.
    ///
    /// Counts, brakes and members lead to calls at the next tick, which comes soon after.
    ///
    /// `now` is the process's own clock and `wall` the VM's, off by at most the stated error.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        input: RolloutInput,
    ) -> RolloutOutput {
        let leads_to_calls = matches!(
            input,
            RolloutInput::Tick
                | RolloutInput::PeerRecord(_)
                | RolloutInput::RecordRead(_)
                | RolloutInput::ReadFailed
                | RolloutInput::RecordAbsent { .. }
                | RolloutInput::WriteEnded { .. }
        );
        self.absorb(now, wall, input);
        self.judge(now, wall);
        let actions = if leads_to_calls && !self.is_settled() {
            self.decide(now, wall)
        } else {
            Vec::new()
        };
        RolloutOutput {
            actions,
            wake_at: self.wake_at(now),
        }
    }

    /// The brake to pass on to other nodes; it never lifts.
    pub fn brake(&self) -> Option<&BrakeReason> {
        self.brake.as_ref()
    }

    /// The newest record known, to pass on to other nodes.
    pub fn known_record(&self) -> Option<&KnownRecord> {
        self.known.as_ref()
    }

    /// This process's own counts, to pass on to other nodes.
    pub fn evidence(&self) -> NodeEvidence {
        NodeEvidence {
            rollout: self.rollout.clone(),
            node: self.process.0.clone(),
            incarnation: self.process.1,
            counts: self.table.counts_of(&self.process),
        }
    }

    /// This process's counts of the recorded step and the one before, which alone still change.
    pub fn recent_evidence(&self) -> NodeEvidence {
        let step = self.known.as_ref().map_or(0, |known| known.record.step);
        let mut evidence = self.evidence();
        evidence.counts.retain(|(key, _)| key.step + 1 >= step);
        evidence
    }

    /// Settings by which it runs.
    pub fn settings(&self) -> &RolloutSettings {
        &self.settings
    }

    fn absorb(&mut self, now: MonotonicTime, wall: SystemTime, input: RolloutInput) {
        match input {
            RolloutInput::Tick | RolloutInput::ReadFailed => {}
            RolloutInput::Members(members) => self.members = members,
            RolloutInput::QueryStarted { version, route } => self.begin(&version, &route),
            RolloutInput::QueryEnded(observation) => self.observe(&observation),
            RolloutInput::Evidence(evidence) => self.merge(&evidence),
            RolloutInput::Brake(reason) => {
                self.brake.get_or_insert(reason);
            }
            RolloutInput::PeerRecord(known) => self.learn(wall, known),
            RolloutInput::RecordRead(known) => {
                self.coordinator.read_back();
                self.learn(wall, known);
            }
            RolloutInput::RecordAbsent { confirmed } => {
                self.coordinator.read_back();
                self.absent = Some(confirmed);
            }
            RolloutInput::WriteEnded { token, outcome } => self.settle(now, wall, token, outcome),
        }
    }

    fn begin(&mut self, version: &VersionName, route: &RouteName) {
        let is_exposed = *version == self.settings.to;
        if is_exposed || *version == self.settings.from {
            self.budget.begin(route, is_exposed);
        }
    }

    fn observe(&mut self, observation: &QueryObservation) {
        let is_new = observation.version == self.settings.to;
        let is_known = is_new || observation.version == self.settings.from;
        let Some(known) = self.known.as_ref().filter(|known| !known.is_final()) else {
            return;
        };
        if !is_known {
            return;
        }
        let key = EvidenceKey {
            step: known.record.step,
            route: observation.route.clone(),
            domain: observation.domain.clone(),
        };
        self.table
            .record(&self.process, &key, |pair: &mut CountPair| {
                let side = if is_new { &mut pair.new } else { &mut pair.old };
                side.record(observation);
            });
    }

    fn merge(&mut self, evidence: &NodeEvidence) {
        let process = (evidence.node.clone(), evidence.incarnation);
        if evidence.rollout == self.rollout && process != self.process {
            self.table.merge(evidence);
        }
    }

    /// Takes a record that is newer; one that lets the share grow only if confirmed just now.
    fn learn(&mut self, wall: SystemTime, known: KnownRecord) {
        let is_fresh = known.age(wall) <= self.limits.fresh_for + self.limits.clock_error;
        match &mut self.known {
            Some(current) if current.version == known.version => {
                current.confirmed = current.confirmed.max(known.confirmed);
            }
            Some(current) if !known.record.supersedes(&current.record) => {}
            _ if is_fresh || known.is_final() => self.known = Some(known),
            _ => {}
        }
    }

    fn settle(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        token: String,
        outcome: WriteOutcome,
    ) {
        let Some((record, version)) = self.coordinator.settle(now, &token, outcome) else {
            return;
        };
        let known = KnownRecord {
            record,
            version,
            token: Some(token),
            confirmed: wall,
        };
        self.learn(wall, known);
    }

    /// Brakes when the version is bad, or still in doubt when the step's time is used up.
    fn judge(&mut self, now: MonotonicTime, wall: SystemTime) {
        if now < self.next_judge {
            return;
        }
        self.next_judge = now + self.limits.judge_interval;
        let Some(known) = self.known.as_ref().filter(|known| !known.is_final()) else {
            return;
        };
        if self.brake.is_some() || self.is_expired(wall) {
            return;
        }
        let gate = StepGate {
            plan: &self.plan,
            limits: &self.limits,
            record: &known.record,
            table: &self.table,
        };
        let is_out_of_patience = gate.is_out_of_patience(wall);
        self.finding = judge_version(&self.table, known.record.step, now);
        self.table.keep_history(now);
        let finding = self.finding.as_ref();
        let bad = finding.filter(|finding| finding.is_bad() || is_out_of_patience);
        self.brake = bad.map(|finding| finding.brake_reason(&self.process.0));
    }

    fn decide(&mut self, now: MonotonicTime, wall: SystemTime) -> Vec<RolloutAction> {
        let proposal = self.proposal(wall);
        let turn = self.turn(wall, proposal.as_ref());
        let base = self.known.as_ref().map(|known| known.version);
        let order = self.order();
        let write = self
            .coordinator
            .write_if_due(now, base, proposal, turn, order);
        let read = self.coordinator.read_if_due(now, order);
        write.into_iter().chain(read).collect()
    }

    fn proposal(&self, wall: SystemTime) -> Option<RolloutRecord> {
        let draft = RecordDraft {
            rollout: &self.rollout,
            settings: &self.settings,
            limits: &self.limits,
            plan: &self.plan,
            node: &self.process.0,
            table: &self.table,
            has_doubt: self.finding.is_some(),
            brake: self.brake.as_ref(),
            is_expired: self.is_expired(wall),
            wall,
        };
        match &self.known {
            Some(known) => draft.next(known),
            None => draft.first(self.absent),
        }
    }

    /// Whoever found the version bad writes at once; a lease holds up growth and no take-back.
    fn turn(&self, wall: SystemTime, proposal: Option<&RolloutRecord>) -> WriteTurn {
        let is_stop =
            proposal.is_some_and(|record| matches!(record.state, RolloutState::TakenBack { .. }));
        let is_finder = self
            .brake
            .as_ref()
            .is_some_and(|brake| brake.node == self.process.0);
        if is_stop && is_finder {
            return WriteTurn::Now;
        }
        let record = self.known.as_ref().map(|known| &known.record);
        match record.filter(|record| wall < record.lease_until) {
            Some(record) if record.coordinator == self.process.0 => WriteTurn::Now,
            Some(_) if !is_stop => WriteTurn::Leased,
            _ => WriteTurn::Ordered,
        }
    }

    /// Whether the time limit may have passed by any node's clock.
    pub(super) fn is_expired(&self, wall: SystemTime) -> bool {
        let known = self.known.as_ref();
        let finish_by = known.map_or(self.settings.finish_by, |known| known.record.finish_by);
        wall + self.limits.clock_error >= finish_by
    }

    /// Whether the record can change no more.
    pub fn is_settled(&self) -> bool {
        let known = self.known.as_ref();
        known.is_some_and(|known| known.is_taken_back() || known.is_done(self.limits.clock_error))
    }

    /// Position of this node in the order in which nodes act on this rollout, from 0.
    fn order(&self) -> u32 {
        let ranked = rank_candidates(&self.rollout, self.members.iter());
        let position = ranked.iter().position(|node| **node == self.process.0);
        u32::try_from(position.unwrap_or(0)).unwrap_or(u32::MAX)
    }

    pub(super) fn member_count(&self) -> usize {
        self.members.len().max(1)
    }

    fn wake_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        if self.is_settled() {
            return None;
        }
        let next_read = self.coordinator.next_read();
        Some(self.next_judge.min(next_read).max(now))
    }
}
