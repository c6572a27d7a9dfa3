//! One rollout as one node decides on it.

use crate::excess_test::{BadShare, excess_strength};
use crate::{
    AnswerCounts, NodeName, RolloutEvidence, RolloutOrder, RolloutState, RouteName, VersionCounts,
};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// When a version counts as bad and when traffic moves.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSettings {
    /// Strength of evidence from which the version is bad: a chance of 1 in 3,000 a look.
    pub bad_strength: f64,
    /// Strength from which traffic does not move: a chance of 1 in 20.
    pub doubt_strength: f64,
    /// Smallest excess of the share of failed sends that counts.
    pub failed_margin: f64,
    /// Smallest excess of the share of slow sends that counts.
    pub slow_margin: f64,
    /// Sends of the old version past which a new one without any answer cannot be reached.
    pub reach_floor: u64,
    /// Time before the limit at which traffic moves.
    pub move_lead: Duration,
    /// Time before the limit at which the rollout is stated as completed. Between the two, what
    /// the old version still works on comes to its end.
    pub state_lead: Duration,
    /// Largest part of the whole time that `move_lead` takes.
    pub move_share: f64,
    /// Pause before a state that was not taken is written again.
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

/// What a node does with the traffic of a service that moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStage {
    /// The new version gets a small share.
    Trying,
    /// The new version gets whatever it can take.
    Moving,
    /// The old version gets nothing.
    Completed,
    /// The new version gets nothing.
    RolledBack,
}

/// One rollout as one node decides on it.
///
/// Every node decides alike from the counts of all nodes. A version may turn bad late, and until
/// it is completed it may get only a small part of all traffic; so it is tried for almost the whole
/// time, and traffic moves in one step shortly before the limit.
#[derive(Clone, Debug)]
pub struct RolloutControl {
    settings: RolloutSettings,
    order: RolloutOrder,
    /// Earliest time at which any node knew of the order.
    ordered: Instant,
    is_braked: bool,
    /// Newest counts by node and start of the node.
    counts: IndexMap<(NodeName, u64), Vec<(RouteName, VersionCounts)>>,
    written: Option<Instant>,
}

impl RolloutControl {
    /// Starts when the order becomes known.
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

    /// The order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Whether `order` is about the same move.
    pub fn is_same_rollout(&self, order: &RolloutOrder) -> bool {
        self.order.service == order.service && self.order.version == order.version
    }

    /// Takes the order over as the store holds it now; a state that is final stays so.
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

    /// Takes the counts of a node, this one included; counts of an earlier start are kept beside.
    pub fn apply_evidence(
        &mut self,
        now: Instant,
        node: &NodeName,
        started_ms: u64,
        seen: RolloutEvidence,
    ) {
        if seen.version != self.order.version || seen.service != self.order.service {
            return;
        }
        if let Some(ordered) = now.checked_sub(Duration::from_millis(seen.age_ms)) {
            self.ordered = self.ordered.min(ordered);
        }
        self.is_braked |= seen.is_braked;
        self.counts.insert((node.clone(), started_ms), seen.routes);
    }

    /// What this node tells the others, with its own counts.
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

    /// Judges the version by the counts of all nodes; returns whether it was found bad just now.
    pub fn judge(&mut self, now: Instant) -> bool {
        if self.is_braked || self.order.recorded == Some(RolloutState::Completed) {
            return false;
        }
        let strength = self.strength();
        let is_decided = now >= self.moves_at();
        self.is_braked = strength >= self.settings.bad_strength
            || (is_decided && (strength >= self.settings.doubt_strength || self.is_out_of_reach()));
        self.is_braked
    }

    /// What to do with the service's traffic.
    pub fn stage(&self, now: Instant) -> RolloutStage {
        match self.order.recorded {
            Some(RolloutState::Completed) => RolloutStage::Completed,
            Some(RolloutState::RolledBack) => RolloutStage::RolledBack,
            _ if self.is_braked => RolloutStage::RolledBack,
            _ if now >= self.moves_at() => RolloutStage::Moving,
            _ => RolloutStage::Trying,
        }
    }

    /// The state to write into the store, if one is due; call it only when it will be written.
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

    /// Sends of the new version over all nodes, and the strength of what speaks against it.
    pub fn summary(&self) -> (VersionCounts, f64) {
        let mut total = VersionCounts::default();
        for counts in self.routes().values() {
            total.old.add(&counts.old);
            total.new.add(&counts.new);
        }
        (total, self.strength())
    }

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

    fn limit(&self) -> Instant {
        self.ordered + self.order.finish_within
    }

    fn moves_at(&self) -> Instant {
        self.limit() - self.lead(self.settings.move_lead)
    }

    /// A time before the limit, shortened alike where the whole time is short.
    fn lead(&self, lead: Duration) -> Duration {
        let longest = self.order.finish_within.mul_f64(self.settings.move_share);
        let scale = longest.as_secs_f64() / self.settings.move_lead.as_secs_f64();
        lead.mul_f64(scale.min(1.0))
    }

    fn routes(&self) -> IndexMap<&RouteName, VersionCounts> {
        let mut routes: IndexMap<&RouteName, VersionCounts> = IndexMap::new();
        for (route, counts) in self.counts.values().flatten() {
            let total = routes.entry(route).or_default();
            total.old.add(&counts.old);
            total.new.add(&counts.new);
        }
        routes
    }

    fn strength(&self) -> f64 {
        let routes = self.routes();
        let strengths = routes.values().map(|counts| {
            let compare = |share: fn(&AnswerCounts) -> BadShare, margin| {
                excess_strength(share(&counts.new), share(&counts.old), margin)
            };
            compare(AnswerCounts::failed_share, self.settings.failed_margin)
                .max(compare(AnswerCounts::slow_share, self.settings.slow_margin))
        });
        strengths.fold(0.0, f64::max)
    }

    /// Whether the service has traffic, of which nothing came to the new version.
    fn is_out_of_reach(&self) -> bool {
        let (total, _) = self.summary();
        total.new.sends == 0 && total.old.sends >= self.settings.reach_floor
    }
}
