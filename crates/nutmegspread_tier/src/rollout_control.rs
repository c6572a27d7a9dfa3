//! One node's state of a rollout, and its decisions: how to distribute the traffic, whether the new
//! version is bad, and which state to record in the store.

use crate::excess_evidence::{SampleCounts, excess_strength};
use crate::{
    AnswerCounts, EvidenceBounds, EvidenceUse, NodeName, RolloutEvidence, RolloutOrder,
    RolloutSettings, RolloutState, RouteName, StorePosition, VersionCounts,
};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// How a node distributes the traffic of a service during its rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStage {
    /// The new version gets a small part of the traffic.
    Trying,
    /// The new version gets all traffic that its targets accept; the old version gets the rest. Also
    /// used before the traffic moves, while the new version has served nothing and few requests are
    /// still expected: without them a good version could not show that it serves.
    Moving,
    /// The old version gets no traffic.
    Completed,
    /// The new version gets no traffic.
    RolledBack,
}

/// One node's state of a rollout, and its decisions about the rollout.
///
/// All nodes decide by the same rules from the counts of all nodes. A fault of the new version may
/// show only late, and over the whole rollout a bad version must not get more than a small part of
/// the traffic. The new version therefore gets a small part until shortly before the finish time.
/// Then the rest of the traffic moves in one step, and the rollout is recorded as completed.
#[derive(Clone, Debug)]
pub struct RolloutControl {
    settings: RolloutSettings,
    /// The order as last read from the store, except that a final state is kept once recorded.
    order: RolloutOrder,
    /// Position of the order from which this state was created.
    created: StorePosition,
    /// Latest era in which the store showed the recorded state.
    recorded_era: u64,
    /// Tells evidence on this order from that on an earlier order of the version.
    bounds: EvidenceBounds,
    /// Whether the order follows an ended one of the same version in the same object of the store.
    is_repeated: bool,
    /// Earliest time, as far as this node has learned, at which any node knew of the order.
    ordered: Instant,
    /// Whether this node or a peer has marked the new version as bad. The mark spreads with the
    /// evidence and stops the traffic of the new version on every node.
    is_braked: bool,
    /// Latest counts received from each node, by the node's name and start time (in milliseconds
    /// since the Unix epoch).
    counts: IndexMap<(NodeName, u64), IndexMap<RouteName, VersionCounts>>,
    /// Whether the new version has served an attempt of any node.
    has_served: bool,
    /// When [`Self::next_write`] last returned a state to write; `None` before the first one.
    written: Option<Instant>,
}

impl RolloutControl {
    /// Creates the state for an order that this node learns of at `now`.
    pub fn new(settings: RolloutSettings, order: RolloutOrder, now: Instant) -> Self {
        Self {
            settings,
            created: order.position(),
            recorded_era: order.era,
            bounds: EvidenceBounds::new(order.evidence_position(), false),
            is_repeated: false,
            order,
            ordered: now,
            is_braked: false,
            counts: IndexMap::new(),
            has_served: false,
            written: None,
        }
    }

    /// Creates the state for an order that this node learns of at `now`, and which follows an ended one
    /// of the same version; see [`Self::is_ordered_again`].
    pub fn new_repeated(settings: RolloutSettings, order: RolloutOrder, now: Instant) -> Self {
        let order = RolloutOrder {
            recorded: order.recorded.filter(|state| !state.is_final()),
            ..order
        };
        Self {
            bounds: EvidenceBounds::new(order.position(), true),
            is_repeated: true,
            ..Self::new(settings, order, now)
        }
    }

    /// Position of the order from which this state was created; differs between orders of the same
    /// version.
    pub fn created(&self) -> StorePosition {
        self.created
    }

    /// The order as last read from the store, except that a final state is kept once recorded.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Whether the store holds a final state of the rollout, or did before it was restored.
    pub fn is_decided(&self) -> bool {
        self.order.recorded.is_some_and(RolloutState::is_final)
    }

    /// Whether `order` is about the same service and version as this rollout.
    pub fn is_same_rollout(&self, order: &RolloutOrder) -> bool {
        self.order.service == order.service && self.order.version == order.version
    }

    /// Whether `order` is the one of this rollout, perhaps read at another position.
    pub fn is_same_order(&self, order: &RolloutOrder) -> bool {
        self.is_same_rollout(order) && self.order.finish_within == order.finish_within
    }

    /// Whether `order` is a later one for the version of this rollout, which has ended: its state was
    /// removed, or it was rolled back and the operator has set another time. A later revision alone
    /// may come from another change of the object, such as its deletion being prepared.
    pub fn is_ordered_again(&self, order: &RolloutOrder) -> bool {
        let is_later = self.is_decided() && order.position() > self.order.position();
        if !is_later || !self.is_same_rollout(order) {
            return false;
        }
        let has_other_time = order.finish_within != self.order.finish_within;
        // A store that was restored may have lost the final state.
        if order.era > self.recorded_era {
            return has_other_time
                && self.order.recorded == Some(RolloutState::RolledBack)
                && order.recorded != Some(RolloutState::Completed);
        }
        match order.recorded {
            None | Some(RolloutState::Running) => true,
            Some(RolloutState::RolledBack) => has_other_time,
            Some(RolloutState::Completed) => false,
        }
    }

    /// Replaces the order by the one that the store now holds. A recorded state that is final
    /// (completed or rolled back) is kept. An order of an earlier era than the known one is ignored.
    pub fn update_order(&mut self, order: RolloutOrder) {
        if order.era < self.order.era {
            return;
        }
        if order.era > self.order.era {
            self.bounds.begin_era(order.evidence_position());
            self.written = None;
        }
        let recorded = self.recorded_after(&order);
        if recorded == order.recorded {
            self.recorded_era = order.era;
        }
        self.order = RolloutOrder { recorded, ..order };
    }

    /// Records that the store acknowledged a write of `state` on the condition of the known order.
    pub fn record_write(&mut self, state: RolloutState) {
        if state.is_final() && !self.is_decided() {
            self.order.recorded = Some(state);
            self.recorded_era = self.order.era;
        }
    }

    /// Forgets the counts of all nodes, which do not matter once the rollout has ended.
    pub fn forget_counts(&mut self) {
        self.counts = IndexMap::new();
    }

    /// Returns the state of this rollout once `order` is read.
    fn recorded_after(&self, order: &RolloutOrder) -> Option<RolloutState> {
        let own = self.order.recorded;
        if self.is_decided() {
            // Once the store shows a rollout as completed, the old targets stop.
            let is_completed = order.recorded == Some(RolloutState::Completed);
            let is_overruled = is_completed && order.era > self.recorded_era;
            return if is_overruled { order.recorded } else { own };
        }
        // The position at which a repeated order is first read may still hold the state of the one
        // before, as does that of its first return in a restored store.
        let is_rolled_back = order.recorded == Some(RolloutState::RolledBack);
        let is_restored = order.era > self.order.era && is_rolled_back && !self.is_braked;
        match self.is_repeated {
            true if order.position() <= self.created => own,
            true if is_restored => None,
            _ => order.recorded,
        }
    }

    /// Applies the evidence of a node, which may be this one. Evidence on another rollout, or on an
    /// earlier order of the same version, is ignored. It may hold a part of the routes, and may arrive after later evidence.
    ///
    /// The node counts from 0 after a restart, so its counts from before the restart, which have
    /// another `started_ms`, are kept as well.
    pub fn apply_evidence(
        &mut self,
        now: Instant,
        node: &NodeName,
        started_ms: u64,
        evidence: RolloutEvidence,
    ) {
        if evidence.version != self.order.version || evidence.service != self.order.service {
            return;
        }
        let evidence_use = self.bounds.evidence_use(&evidence);
        self.is_braked |= evidence.is_braked && evidence_use != EvidenceUse::Nothing;
        if evidence_use != EvidenceUse::Whole {
            return;
        }
        if let Some(ordered) = now.checked_sub(Duration::from_millis(evidence.age_ms)) {
            self.ordered = self.ordered.min(ordered);
        }
        let known = self.counts.entry((node.clone(), started_ms)).or_default();
        for (route, counts) in evidence.routes {
            self.has_served |= counts.new.served() > 0;
            let known = known.entry(route).or_default();
            if counts.attempts() >= known.attempts() {
                *known = counts;
            }
        }
    }

    /// Returns the whole evidence that this node has for its peers. `routes` holds the counts of its own
    /// attempts, by route.
    pub fn evidence(
        &self,
        now: Instant,
        routes: Vec<(RouteName, VersionCounts)>,
    ) -> RolloutEvidence {
        RolloutEvidence {
            service: self.order.service.clone(),
            version: self.order.version.clone(),
            age_ms: now.saturating_duration_since(self.ordered).as_millis() as u64,
            is_braked: self.is_braked,
            revision: self.order.revision,
            era: self.order.era,
            routes,
        }
    }

    /// Marks the new version as bad if the counts of all nodes are strong enough evidence against
    /// the version, or if it has not shown that it serves by the time when all traffic is due to move
    /// to it. Returns whether this call set the mark.
    pub fn judge(&mut self, now: Instant) -> bool {
        if self.is_braked || self.is_decided() {
            return false;
        }
        let strength = self.strength();
        let is_move_due = now >= self.move_time();
        self.is_braked = strength >= self.settings.bad_strength
            || (is_move_due && (strength >= self.settings.doubt_strength || self.is_refusing(now)));
        self.is_braked
    }

    /// Returns how to distribute the service's traffic at `now`.
    pub fn stage(&self, now: Instant) -> RolloutStage {
        match self.order.recorded {
            Some(RolloutState::Completed) => RolloutStage::Completed,
            Some(RolloutState::RolledBack) => RolloutStage::RolledBack,
            _ if self.is_braked => RolloutStage::RolledBack,
            _ if now >= self.move_time() || self.is_probe_due(now) => RolloutStage::Moving,
            _ => RolloutStage::Trying,
        }
    }

    /// Returns the state to write to the store, if one is due. The calling code must write it now:
    /// no state is returned again until `write_pause` has passed. A state that the store does not
    /// hold by then is returned again.
    pub fn next_write(&mut self, now: Instant) -> Option<RolloutState> {
        if now >= self.state_time() && !self.is_decided() {
            // The evidence may have arrived after the last judgement.
            self.judge(now);
        }
        let state = self.due_state(now)?;
        let is_paused = self.written.is_some_and(|written| {
            now.saturating_duration_since(written) < self.settings.write_pause
        });
        if is_paused {
            return None;
        }
        self.written = Some(now);
        Some(state)
    }

    /// Returns the counts of both versions, summed over all nodes and routes, and the strength of
    /// the strongest evidence against the new version.
    pub fn summary(&self) -> (VersionCounts, f64) {
        (self.total(), self.strength())
    }

    /// Returns the state that the store should hold at `now`; `None` if it already holds this state
    /// or a final one. A final state that a restored store has lost is due again.
    fn due_state(&self, now: Instant) -> Option<RolloutState> {
        match self.order.recorded {
            Some(RolloutState::Completed | RolloutState::RolledBack) => {
                let is_lost = self.order.era > self.recorded_era;
                self.order.recorded.filter(|_| is_lost)
            }
            _ if self.is_braked => Some(RolloutState::RolledBack),
            _ if now >= self.state_time() => Some(RolloutState::Completed),
            Some(RolloutState::Running) => None,
            None => Some(RolloutState::Running),
        }
    }

    /// Time by which the rollout must be completed or rolled back.
    fn finish_time(&self) -> Instant {
        self.ordered + self.order.finish_within
    }

    /// Time at which all traffic moves to the new version.
    fn move_time(&self) -> Instant {
        self.finish_time() - self.shortened_lead(self.settings.move_lead)
    }

    /// Time from which the rollout is recorded as completed.
    fn state_time(&self) -> Instant {
        self.finish_time() - self.shortened_lead(self.settings.state_lead)
    }

    /// Returns `lead` (`move_lead` or `state_lead`), shortened if the rollout is too short for
    /// `move_lead`; see [`RolloutSettings::move_share`].
    fn shortened_lead(&self, lead: Duration) -> Duration {
        let longest = self.order.finish_within.mul_f64(self.settings.move_share);
        let scale = longest.as_secs_f64() / self.settings.move_lead.as_secs_f64();
        lead.mul_f64(scale.min(1.0))
    }

    /// Returns the counts of both versions, summed over all nodes and routes.
    fn total(&self) -> VersionCounts {
        let mut total = VersionCounts::default();
        for counts in self.counts.values().flat_map(IndexMap::values) {
            total.old.add(&counts.old);
            total.new.add(&counts.new);
        }
        total
    }

    /// Returns the counts of all nodes, summed by route.
    fn counts_by_route(&self) -> IndexMap<&RouteName, VersionCounts> {
        let mut totals: IndexMap<&RouteName, VersionCounts> = IndexMap::new();
        for (route, counts) in self.counts.values().flatten() {
            let total = totals.entry(route).or_default();
            total.old.add(&counts.old);
            total.new.add(&counts.new);
        }
        totals
    }

    /// Returns the strength of the strongest evidence against the new version: the largest strength
    /// over all routes and over failed and slow attempts.
    fn strength(&self) -> f64 {
        let totals = self.counts_by_route();
        let strengths = totals.values().map(|counts| {
            let compare = |sample: fn(&AnswerCounts) -> SampleCounts, margin| {
                excess_strength(sample(&counts.new), sample(&counts.old), margin)
            };
            compare(AnswerCounts::failed_counts, self.settings.failed_margin).max(compare(
                AnswerCounts::slow_counts,
                self.settings.slow_margin,
            ))
        });
        strengths.fold(0.0, f64::max)
    }

    /// Whether the new version has not shown that it serves: it has served nothing although the old
    /// version served, or refused most attempts on a route on which the old version did not.
    ///
    /// Time alone shows nothing: a version that refused everything was recorded as completed, which
    /// stopped the old targets.
    fn is_refusing(&self, now: Instant) -> bool {
        let total = self.total();
        let is_time_over = total.old.sends >= self.settings.reach_floor || now >= self.state_time();
        let totals = self.counts_by_route();
        (is_time_over && total.is_new_unproven())
            || totals
                .values()
                .any(|counts| counts.new.is_mostly_refused() && !counts.old.is_mostly_refused())
    }

    /// Whether a new version that has served nothing may get all attempts before the traffic moves:
    /// the attempts on it so far, and the requests expected by then, are at most `probe_attempts` each.
    fn is_probe_due(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.ordered).as_secs_f64();
        let whole = self.order.finish_within.as_secs_f64();
        if self.has_served || elapsed < self.settings.probe_share * whole {
            return false;
        }
        let total = self.total();
        let left = self
            .move_time()
            .saturating_duration_since(now)
            .as_secs_f64();
        let expected = total.old.sends as f64 * left / elapsed.max(1e-3);
        let most = self.settings.probe_attempts;
        total.is_new_unproven() && total.new.attempts() < most && expected <= most as f64
    }
}
