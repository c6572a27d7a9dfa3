//! The policy of one rollout on one node.

use super::evidence_table::EvidenceTable;
use super::exposure_budget::ExposureBudget;
use super::record_coordinator::{RecordCoordinator, WriteTurn};
use super::record_proposer::RecordProposer;
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

/// Decides which fraction of queries this node gives to the new version of a rollout, and updates
/// the rollout's record in the platform.
///
/// Every node runs the same policy. Any node may write a change of the record that is due; the
/// platform's conditional update accepts only one of several concurrent writes. The fraction is the
/// share of the recorded step. It is zero once the brake, which stops the new version's traffic on
/// every node, is set or the time limit (`finish_by`) has passed.
#[derive(Clone, Debug)]
pub struct RolloutPolicy {
    pub(super) rollout: RolloutId,
    pub(super) settings: RolloutSettings,
    pub(super) limits: RolloutLimits,
    pub(super) plan: RolloutPlan,
    pub(super) budget: ExposureBudget,
    /// The newest record that this node has read, written or received.
    pub(super) known: Option<KnownRecord>,
    /// Why the brake was set; `None` while it isn't.
    pub(super) brake: Option<BrakeReason>,
    /// Id of this node and incarnation of its process.
    process: (NodeId, Incarnation),
    /// The nodes that are alive, including this one.
    members: Vec<NodeId>,
    table: EvidenceTable,
    /// Strongest evidence against the new version at the last comparison; `None` if there was none
    /// that keeps the rollout from advancing.
    finding: Option<VersionFinding>,
    /// When the platform last confirmed that it has no record of the rollout.
    absent: Option<SystemTime>,
    coordinator: RecordCoordinator,
    /// Time of the next comparison of the versions.
    next_judge: MonotonicTime,
}

impl RolloutPolicy {
    /// Creates a policy that knows no record.
    ///
    /// The new version gets no queries until the platform has confirmed a record.
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

    /// Applies an input and returns the calls to make to the platform.
    ///
    /// Only ticks and the inputs about the record return calls. Calls that become due because of
    /// queries, counts, brakes or members are returned by the next tick.
    ///
    /// `now` is the time of the process's monotonic clock. `wall` is the wall-clock time of the VM;
    /// the clocks of two VMs are assumed to differ by at most [`RolloutLimits::clock_error`].
    pub fn step(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        input: RolloutInput,
    ) -> RolloutOutput {
        let may_cause_calls = matches!(
            input,
            RolloutInput::Tick
                | RolloutInput::PeerRecord(_)
                | RolloutInput::RecordRead(_)
                | RolloutInput::ReadFailed
                | RolloutInput::RecordAbsent { .. }
                | RolloutInput::WriteEnded { .. }
        );
        self.apply_input(now, wall, input);
        self.compare_versions(now, wall);
        let actions = if may_cause_calls && !self.is_settled() {
            self.platform_calls(now, wall)
        } else {
            Vec::new()
        };
        RolloutOutput {
            actions,
            wake_at: self.wake_at(now),
        }
    }

    /// The brake on this rollout, to be sent to peers; once set, it stays.
    pub fn brake(&self) -> Option<&BrakeReason> {
        self.brake.as_ref()
    }

    /// The newest known record, to be sent to peers.
    pub fn known_record(&self) -> Option<&KnownRecord> {
        self.known.as_ref()
    }

    /// The query counts of this node's process for all steps.
    pub fn evidence(&self) -> NodeEvidence {
        NodeEvidence {
            rollout: self.rollout.clone(),
            node: self.process.0.clone(),
            incarnation: self.process.1,
            counts: self.table.process_counts(&self.process),
        }
    }

    /// The query counts of this node's process for the recorded step and the step before it, to be
    /// sent to peers. Earlier steps are left out because their counts no longer change.
    pub fn recent_evidence(&self) -> NodeEvidence {
        let step = self.known.as_ref().map_or(0, |known| known.record.step);
        let mut evidence = self.evidence();
        evidence.counts.retain(|(key, _)| key.step + 1 >= step);
        evidence
    }

    /// Settings of the rollout.
    pub fn settings(&self) -> &RolloutSettings {
        &self.settings
    }

    fn apply_input(&mut self, now: MonotonicTime, wall: SystemTime, input: RolloutInput) {
        match input {
            RolloutInput::Tick | RolloutInput::ReadFailed => {}
            RolloutInput::Members(members) => self.members = members,
            RolloutInput::QueryStarted { version, route } => self.record_start(&version, &route),
            RolloutInput::QueryEnded(observation) => self.record_end(&observation),
            RolloutInput::Evidence(evidence) => self.merge(&evidence),
            RolloutInput::Brake(reason) => {
                self.brake.get_or_insert(reason);
            }
            RolloutInput::PeerRecord(known) => self.update_record(wall, known),
            RolloutInput::RecordRead(known) => {
                self.coordinator.clear_lost_write();
                self.update_record(wall, known);
            }
            RolloutInput::RecordAbsent { confirmed } => {
                self.coordinator.clear_lost_write();
                self.absent = Some(confirmed);
            }
            RolloutInput::WriteEnded { token, outcome } => self.on_write(now, wall, token, outcome),
        }
    }

    fn record_start(&mut self, version: &VersionName, route: &RouteName) {
        let is_exposed = *version == self.settings.to;
        if is_exposed || *version == self.settings.from {
            self.budget.record_start(route, is_exposed);
        }
    }

    fn record_end(&mut self, observation: &QueryObservation) {
        let is_new = observation.version == self.settings.to;
        let is_of_rollout = is_new || observation.version == self.settings.from;
        let Some(known) = self.known.as_ref().filter(|known| !known.is_final()) else {
            return;
        };
        if !is_of_rollout {
            return;
        }
        let key = EvidenceKey {
            step: known.record.step,
            route: observation.route.clone(),
            domain: observation.domain.clone(),
        };
        self.table
            .record(&self.process, &key, |pair: &mut CountPair| {
                let count = if is_new { &mut pair.new } else { &mut pair.old };
                count.record(observation);
            });
    }

    fn merge(&mut self, evidence: &NodeEvidence) {
        let process = (evidence.node.clone(), evidence.incarnation);
        if evidence.rollout == self.rollout && process != self.process {
            self.table.merge(evidence);
        }
    }

    /// Replaces the known record by a newer one.
    ///
    /// A record that is not final is accepted only if its confirmation is recent, because it may
    /// raise the fraction of queries that the new version gets.
    fn update_record(&mut self, wall: SystemTime, known: KnownRecord) {
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

    /// Applies the outcome of a write; an accepted write makes its record the known one.
    fn on_write(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        token: String,
        outcome: WriteOutcome,
    ) {
        let Some((record, version)) = self.coordinator.finish_write(now, &token, outcome) else {
            return;
        };
        let known = KnownRecord {
            record,
            version,
            token: Some(token),
            confirmed: wall,
        };
        self.update_record(wall, known);
    }

    /// Compares the versions if that is due, and sets the brake if the new version is bad.
    ///
    /// Weaker evidence is enough once the rollout no longer waits for samples in this step.
    fn compare_versions(&mut self, now: MonotonicTime, wall: SystemTime) {
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
        let is_past_sample_timeout = gate.is_past_sample_timeout(wall);
        self.finding = judge_version(&self.table, known.record.step, now);
        self.table.record_history(now);
        let finding = self.finding.as_ref();
        let bad = finding.filter(|finding| finding.is_bad() || is_past_sample_timeout);
        self.brake = bad.map(|finding| finding.brake_reason(&self.process.0));
    }

    /// Returns the write and the read of the record that are due.
    fn platform_calls(&mut self, now: MonotonicTime, wall: SystemTime) -> Vec<RolloutAction> {
        let proposal = self.proposal(wall);
        let turn = self.write_turn(wall, proposal.as_ref());
        let base = self.known.as_ref().map(|known| known.version);
        let rank = self.rank();
        let write = self
            .coordinator
            .write_if_due(now, base, proposal, turn, rank);
        let read = self.coordinator.read_if_due(now, rank);
        write.into_iter().chain(read).collect()
    }

    /// Returns the record to write; `None` if the stored record should not change.
    fn proposal(&self, wall: SystemTime) -> Option<RolloutRecord> {
        let proposer = RecordProposer {
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
            Some(known) => proposer.next_record(known),
            None => proposer.first_record(self.absent),
        }
    }

    /// Decides when this node may write the proposed record.
    ///
    /// The node that set the brake writes the rollback at once. While another node holds the lease,
    /// this node writes nothing but rollbacks.
    fn write_turn(&self, wall: SystemTime, proposal: Option<&RolloutRecord>) -> WriteTurn {
        let is_rollback =
            proposal.is_some_and(|record| matches!(record.state, RolloutState::TakenBack { .. }));
        let has_set_brake = self
            .brake
            .as_ref()
            .is_some_and(|brake| brake.node == self.process.0);
        if is_rollback && has_set_brake {
            return WriteTurn::Now;
        }
        let record = self.known.as_ref().map(|known| &known.record);
        match record.filter(|record| wall < record.lease_until) {
            Some(record) if record.coordinator == self.process.0 => WriteTurn::Now,
            Some(_) if !is_rollback => WriteTurn::Leased,
            _ => WriteTurn::Staggered,
        }
    }

    /// Whether the time limit may have passed on the clock of any node.
    pub(super) fn is_expired(&self, wall: SystemTime) -> bool {
        let known = self.known.as_ref();
        let finish_by = known.map_or(self.settings.finish_by, |known| known.record.finish_by);
        wall + self.limits.clock_error >= finish_by
    }

    /// Whether the known record can no longer change: the rollout is rolled back, or done in time.
    pub fn is_settled(&self) -> bool {
        let known = self.known.as_ref();
        known.is_some_and(|known| known.is_rolled_back() || known.is_done(self.limits.clock_error))
    }

    /// Position of this node, from 0, in the order in which the live nodes may write the record.
    fn rank(&self) -> u32 {
        let ranked = rank_candidates(&self.rollout, self.members.iter());
        let position = ranked.iter().position(|node| **node == self.process.0);
        u32::try_from(position.unwrap_or(0)).unwrap_or(u32::MAX)
    }

    /// Number of live nodes, at least 1.
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
