//! State of one rollout on one node, with the node's decisions about it.

use crate::excess_evidence::{SampleCounts, excess_strength};
use crate::{
    AnswerCounts, NodeName, RolloutEvidence, RolloutOrder, RolloutState, RouteName, VersionCounts,
};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Thresholds for a bad version, and times at which traffic moves.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSettings {
    /// Strength of evidence at and above which the version counts as bad: a false alarm has a
    /// probability of at most 1 in 3,000 at each evaluation.
    pub bad_strength: f64,
    /// Strength of evidence at and above which the version counts as bad once traffic is due to
    /// move: a false alarm has a probability of at most 1 in 20.
    pub doubt_strength: f64,
    /// Amount by which the new version's share of failed attempts may exceed the old one's.
    pub failed_margin: f64,
    /// Amount by which the new version's share of slow attempts may exceed the old one's.
    pub slow_margin: f64,
    /// Number of attempts on the old version from which a new version without any attempt counts as
    /// unreachable.
    pub reach_floor: u64,
    /// Time before the rollout's limit at which all traffic moves to the new version.
    pub move_lead: Duration,
    /// Time before the rollout's limit at which it is recorded as completed. Between `move_lead`
    /// and this time, requests that still run on the old version come to their end.
    pub state_lead: Duration,
    /// Largest fraction of the rollout's whole time that `move_lead` may take; in a short rollout
    /// both leads are shortened by the same factor.
    pub move_share: f64,
    /// Time before a state is written again if the store does not show it.
    pub write_pause: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            bad_strength: 8.0,
            doubt_strength: 3.0,
            failed_margin: 0.02,
            slow_margin: 0.1,
            reach_floor: 100,
            move_lead: Duration::from_secs(3),
            state_lead: Duration::from_secs(2),
            move_share: 0.3,
            write_pause: Duration::from_secs(1),
        }
    }
}

/// How a node distributes the traffic of a service during its rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStage {
    /// The new version gets a small share of the traffic.
    Trying,
    /// The new version gets all traffic that its targets accept, the old version the rest.
    Moving,
    /// The old version gets no traffic.
    Completed,
    /// The new version gets no traffic.
    RolledBack,
}

/// State of one rollout on one node, with the node's decisions about it.
///
/// All nodes decide by the same rules from the counts of all nodes. A version may turn bad late,
/// and a version that is not completed may get only a small part of all traffic. The new version
/// therefore gets a small share for almost the whole time, and traffic moves in one step shortly
/// before the limit.
#[derive(Clone, Debug)]
pub struct RolloutControl {
    settings: RolloutSettings,
    order: RolloutOrder,
    /// Earliest time at which any node knew of the order.
    ordered: Instant,
    /// Whether any node marked the new version as bad, which stops its traffic on every node.
    is_braked: bool,
    /// Latest counts, by name and start time of the node.
    counts: IndexMap<(NodeName, u64), Vec<(RouteName, VersionCounts)>>,
    /// Time at which a state was last returned for writing.
    written: Option<Instant>,
}

impl RolloutControl {
    /// Creates the state for an order that this node learns of at `now`.
    pub fn new(settings: RolloutSettings, order: RolloutOrder, now: Instant) -> Self {
        Self {
            settings,
            order,
            ordered: now,
            is_braked: false,
            counts: IndexMap::new(),
            written: None,
        }
    }

    /// The order, as last read from the store.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Whether `order` concerns the same service and version.
    pub fn is_same_rollout(&self, order: &RolloutOrder) -> bool {
        self.order.service == order.service && self.order.version == order.version
    }

    /// Updates the order to what the store now holds; a final state is never replaced.
    pub fn update_order(&mut self, order: RolloutOrder) {
        let is_final = matches!(
            self.order.recorded,
            Some(RolloutState::Completed | RolloutState::RolledBack)
        );
        let recorded = if is_final {
            self.order.recorded
        } else {
            order.recorded
        };
        self.order = RolloutOrder { recorded, ..order };
    }

    /// Applies the evidence of a node, which may be this one. The counts of earlier starts of the
    /// node are kept as well, because a restarted node counts from 0.
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
        if let Some(ordered) = now.checked_sub(Duration::from_millis(evidence.age_ms)) {
            self.ordered = self.ordered.min(ordered);
        }
        self.is_braked |= evidence.is_braked;
        self.counts
            .insert((node.clone(), started_ms), evidence.routes);
    }

    /// Returns the evidence that this node sends to its peers, with its own counts in `routes`.
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
            routes,
        }
    }

    /// Judges the new version by the counts of all nodes and marks it as bad if the evidence is
    /// strong enough. Returns whether it was marked by this call.
    pub fn judge(&mut self, now: Instant) -> bool {
        if self.is_braked || self.order.recorded == Some(RolloutState::Completed) {
            return false;
        }
        let strength = self.strength();
        let is_move_due = now >= self.move_time();
        self.is_braked = strength >= self.settings.bad_strength
            || (is_move_due && (strength >= self.settings.doubt_strength || self.is_unreachable()));
        self.is_braked
    }

    /// Returns how to distribute the service's traffic at `now`.
    pub fn stage(&self, now: Instant) -> RolloutStage {
        match self.order.recorded {
            Some(RolloutState::Completed) => RolloutStage::Completed,
            Some(RolloutState::RolledBack) => RolloutStage::RolledBack,
            _ if self.is_braked => RolloutStage::RolledBack,
            _ if now >= self.move_time() => RolloutStage::Moving,
            _ => RolloutStage::Trying,
        }
    }

    /// Returns the state to write into the store, if one is due. The caller must write it: no
    /// further state is returned before `write_pause` is over.
    pub fn next_write(&mut self, now: Instant) -> Option<RolloutState> {
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

    /// Returns the counts of both versions over all nodes and routes, and the strength of the
    /// evidence against the new version.
    pub fn summary(&self) -> (VersionCounts, f64) {
        let mut total = VersionCounts::default();
        for counts in self.routes().values() {
            total.old.add(&counts.old);
            total.new.add(&counts.new);
        }
        (total, self.strength())
    }

    /// Returns the state that the store should hold at `now`, if it does not hold it yet.
    fn due_state(&self, now: Instant) -> Option<RolloutState> {
        match self.order.recorded {
            Some(RolloutState::Completed | RolloutState::RolledBack) => None,
            _ if self.is_braked => Some(RolloutState::RolledBack),
            _ if now >= self.limit() - self.lead(self.settings.state_lead) => {
                Some(RolloutState::Completed)
            }
            Some(RolloutState::Running) => None,
            None => Some(RolloutState::Running),
        }
    }

    /// Time by which the rollout must be completed or rolled back.
    fn limit(&self) -> Instant {
        self.ordered + self.order.finish_within
    }

    /// Time at which all traffic moves to the new version.
    fn move_time(&self) -> Instant {
        self.limit() - self.lead(self.settings.move_lead)
    }

    /// Returns a lead time before the limit, shortened in proportion if the rollout's whole time is
    /// short.
    fn lead(&self, lead: Duration) -> Duration {
        let longest = self.order.finish_within.mul_f64(self.settings.move_share);
        let scale = longest.as_secs_f64() / self.settings.move_lead.as_secs_f64();
        lead.mul_f64(scale.min(1.0))
    }

    /// Returns the counts of all nodes, summed by route.
    fn routes(&self) -> IndexMap<&RouteName, VersionCounts> {
        let mut routes: IndexMap<&RouteName, VersionCounts> = IndexMap::new();
        for (route, counts) in self.counts.values().flatten() {
            let total = routes.entry(route).or_default();
            total.old.add(&counts.old);
            total.new.add(&counts.new);
        }
        routes
    }

    /// Returns the strongest evidence against the new version, over all routes and over failed and
    /// slow attempts.
    fn strength(&self) -> f64 {
        let routes = self.routes();
        let strengths = routes.values().map(|counts| {
            let compare = |share: fn(&AnswerCounts) -> SampleCounts, margin| {
                excess_strength(share(&counts.new), share(&counts.old), margin)
            };
            compare(AnswerCounts::failed_counts, self.settings.failed_margin).max(compare(
                AnswerCounts::slow_counts,
                self.settings.slow_margin,
            ))
        });
        strengths.fold(0.0, f64::max)
    }

    /// Whether the service has traffic, but no attempt on the new version has ended on any node.
    fn is_unreachable(&self) -> bool {
        let (total, _) = self.summary();
        total.new.sends == 0 && total.old.sends >= self.settings.reach_floor
    }
}
