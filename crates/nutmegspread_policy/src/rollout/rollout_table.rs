//! The policies of all rollouts on one node.

use super::{
    BrakeSet, RolloutAction, RolloutGossip, RolloutInput, RolloutLimits, RolloutPolicy,
    RolloutStatement, VersionSplit,
};
use indexmap::IndexMap;
use nutmegspread_model::{
    Incarnation, MonotonicTime, NodeId, RolloutId, RolloutSettings, ServiceName, ServiceSettings,
};
use std::time::SystemTime;

/// The rollouts of the current configuration, each with its own policy.
///
/// A brake, which stops the traffic of a rollout's new version, is kept when the rollout is removed
/// from the configuration. A rollout that is added again under the same id then has the brake set
/// from the start.
#[derive(Clone, Debug)]
pub struct RolloutTable {
    node: NodeId,
    incarnation: Incarnation,
    limits: RolloutLimits,
    /// The nodes that are alive, including this one.
    members: Vec<NodeId>,
    brakes: BrakeSet,
    policies: IndexMap<RolloutId, RolloutPolicy>,
    /// Time of the next tick of each rollout that needs one.
    wake_at: IndexMap<RolloutId, MonotonicTime>,
}

impl RolloutTable {
    /// Creates a table without rollouts.
    pub fn new(node: NodeId, incarnation: Incarnation, limits: RolloutLimits) -> Self {
        Self {
            members: vec![node.clone()],
            node,
            incarnation,
            limits,
            brakes: BrakeSet::default(),
            policies: IndexMap::new(),
            wake_at: IndexMap::new(),
        }
    }

    /// Applies the rollouts of a configuration.
    ///
    /// Once a record of a rollout is known, changes of the rollout's settings have no effect. If
    /// the settings change earlier, the rollout starts again with the new ones.
    pub fn configure(&mut self, now: MonotonicTime, wall: SystemTime, rollouts: &RolloutMap) {
        self.policies.retain(|id, policy| {
            let settings = rollouts.get(id);
            let is_recorded = policy.known_record().is_some();
            settings.is_some_and(|settings| is_recorded || settings == policy.settings())
        });
        self.wake_at.retain(|id, _| self.policies.contains_key(id));
        for (id, settings) in rollouts {
            if !self.policies.contains_key(id) {
                self.add(now, wall, id, settings);
            }
        }
    }

    /// Passes an input to the policy of one rollout; inputs for unknown rollouts are ignored.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        rollout: &RolloutId,
        input: RolloutInput,
    ) -> Vec<(RolloutId, RolloutAction)> {
        let Some(policy) = self.policies.get_mut(rollout) else {
            return Vec::new();
        };
        let output = policy.step(now, wall, input);
        if let Some(reason) = policy.brake() {
            self.brakes.insert(rollout, reason);
        }
        match output.wake_at {
            Some(wake_at) => self.wake_at.insert(rollout.clone(), wake_at),
            None => self.wake_at.shift_remove(rollout),
        };
        let actions = output.actions.into_iter();
        actions.map(|action| (rollout.clone(), action)).collect()
    }

    /// Passes a tick to every rollout whose time in `wake_at` has been reached.
    pub fn tick(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
    ) -> Vec<(RolloutId, RolloutAction)> {
        let is_due = |at: &MonotonicTime| *at <= now;
        let due = self.wake_at.iter().filter(|(_, at)| is_due(at));
        let due: Vec<RolloutId> = due.map(|(id, _)| id.clone()).collect();
        let mut actions = Vec::new();
        for id in due {
            actions.extend(self.step(now, wall, &id, RolloutInput::Tick));
        }
        actions
    }

    /// Latest time for the next call of [`Self::tick`]; `None` if no rollout needs one.
    pub fn wake_at(&self) -> Option<MonotonicTime> {
        self.wake_at.values().min().copied()
    }

    /// Sets the nodes that are alive, including this one.
    pub fn set_members(&mut self, now: MonotonicTime, wall: SystemTime, members: &[NodeId]) {
        if self.members == members {
            return;
        }
        self.members = members.to_vec();
        for policy in self.policies.values_mut() {
            policy.step(now, wall, RolloutInput::Members(members.to_vec()));
        }
    }

    /// Passes the start or end of a query to all rollouts of its service.
    pub fn step_service(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        service: &str,
        input: &RolloutInput,
    ) {
        let policies = self.policies.iter();
        let affected = policies.filter(|(_, policy)| &*policy.settings().service == service);
        let affected: Vec<RolloutId> = affected.map(|(id, _)| id.clone()).collect();
        for id in affected {
            self.step(now, wall, &id, input.clone());
        }
    }

    /// A message with the brakes alone, which is sent to peers more often than [`Self::gossip`].
    pub fn brake_gossip(&self) -> RolloutGossip {
        RolloutGossip {
            brakes: self.brakes.clone(),
            ..RolloutGossip::default()
        }
    }

    /// The message about all rollouts that is sent to peers.
    pub fn gossip(&self) -> RolloutGossip {
        let unsettled = self.policies.values().filter(|policy| !policy.is_settled());
        let records = self
            .policies
            .values()
            .filter_map(RolloutPolicy::known_record);
        RolloutGossip {
            evidence: unsettled.map(RolloutPolicy::recent_evidence).collect(),
            brakes: self.brakes.clone(),
            records: records.cloned().collect(),
        }
    }

    /// Applies a message received from a peer.
    pub fn receive(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        gossip: RolloutGossip,
    ) -> Vec<(RolloutId, RolloutAction)> {
        let mut actions = Vec::new();
        self.brakes.merge(&gossip.brakes);
        for (id, reason) in gossip.brakes.reasons {
            actions.extend(self.step(now, wall, &id, RolloutInput::Brake(reason)));
        }
        for evidence in gossip.evidence {
            let id = evidence.rollout.clone();
            actions.extend(self.step(now, wall, &id, RolloutInput::Evidence(evidence)));
        }
        for known in gossip.records {
            let id = known.record.rollout.clone();
            actions.extend(self.step(now, wall, &id, RolloutInput::PeerRecord(known)));
        }
        actions
    }

    /// How the rollouts divide a service's traffic; `None` if the service's configured version
    /// serves all queries.
    ///
    /// Among the rollouts whose new version gets queries, the one with the latest start time
    /// decides. A rollout that was rolled back is thus skipped. The new version of a rollout that
    /// is done gets all queries, until a later rollout moves queries away from it.
    pub fn version_split(
        &self,
        service: &ServiceName,
        settings: &ServiceSettings,
        wall: SystemTime,
    ) -> Option<VersionSplit> {
        let policies = self.policies.values();
        let mut ordered: Vec<&RolloutPolicy> = policies
            .filter(|policy| policy.settings().service == *service)
            .collect();
        ordered.sort_by_key(|policy| policy.settings().start);
        let active = ordered
            .iter()
            .rev()
            .find(|policy| policy.share(wall) > 0.0)?;
        let rollout = active.settings();
        let route_shares = settings.routes.iter();
        Some(VersionSplit {
            from: rollout.from.clone(),
            to: rollout.to.clone(),
            share: active.share(wall),
            route_shares: route_shares
                .map(|route| (route.clone(), active.route_share(route, wall)))
                .collect(),
        })
    }

    /// Status of every rollout, in the order in which the rollouts were added.
    pub fn statements(&self, wall: SystemTime) -> Vec<RolloutStatement> {
        let policies = self.policies.values();
        policies.map(|policy| policy.statement(wall)).collect()
    }

    fn add(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        id: &RolloutId,
        settings: &RolloutSettings,
    ) {
        let mut policy = RolloutPolicy::new(
            id.clone(),
            settings.clone(),
            self.limits.clone(),
            self.node.clone(),
            self.incarnation,
        );
        policy.step(now, wall, RolloutInput::Members(self.members.clone()));
        if let Some(reason) = self.brakes.reasons.get(id) {
            policy.step(now, wall, RolloutInput::Brake(reason.clone()));
        }
        self.policies.insert(id.clone(), policy);
        self.wake_at.insert(id.clone(), now);
    }
}

/// Rollouts of a configuration by id.
type RolloutMap = IndexMap<RolloutId, RolloutSettings>;
