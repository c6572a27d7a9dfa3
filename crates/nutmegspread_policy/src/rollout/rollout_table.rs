//! All rollouts of one node.

use super::{
    BrakeSet, RolloutAction, RolloutGossip, RolloutInput, RolloutLimits, RolloutPolicy,
    RolloutStatement, VersionSplit,
};
use indexmap::IndexMap;
use nutmegspread_model::{
    Incarnation, MonotonicTime, NodeId, RolloutId, RolloutSettings, ServiceName, ServiceSettings,
};
use std::time::SystemTime;

/// The rollouts of the configuration in force, each with its own policy.
///
/// Brakes outlive a rollout's removal from the configuration: an id that was braked stays so.
#[derive(Clone, Debug)]
pub struct RolloutTable {
    node: NodeId,
    incarnation: Incarnation,
    limits: RolloutLimits,
    members: Vec<NodeId>,
    brakes: BrakeSet,
    policies: IndexMap<RolloutId, RolloutPolicy>,
    wake_at: IndexMap<RolloutId, MonotonicTime>,
}

impl RolloutTable {
    /// Starts without rollouts.
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

    /// Takes over the rollouts of a configuration.
    ///
    /// Settings are fixed once a record exists; before that, changed ones begin anew.
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

    /// Gives an input to one rollout; unknown ones are left out.
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

    /// Steps every rollout whose time has come.
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

    /// When to tick at the latest; `None` while nothing is due.
    pub fn wake_at(&self) -> Option<MonotonicTime> {
        self.wake_at.values().min().copied()
    }

    /// Takes the nodes that are alive.
    pub fn set_members(&mut self, now: MonotonicTime, wall: SystemTime, members: &[NodeId]) {
        if self.members == members {
            return;
        }
        self.members = members.to_vec();
        for policy in self.policies.values_mut() {
            policy.step(now, wall, RolloutInput::Members(members.to_vec()));
        }
    }

    /// Counts a query of a service that began or ended.
    pub fn count(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        service: &str,
        input: &RolloutInput,
    ) {
        let policies = self.policies.iter();
        let concerned = policies.filter(|(_, policy)| &*policy.settings().service == service);
        let concerned: Vec<RolloutId> = concerned.map(|(id, _)| id.clone()).collect();
        for id in concerned {
            self.step(now, wall, &id, input.clone());
        }
    }

    /// The brakes alone, to tell other nodes more often than the rest.
    pub fn brake_gossip(&self) -> RolloutGossip {
        RolloutGossip {
            brakes: self.brakes.clone(),
            ..RolloutGossip::default()
        }
    }

    /// What to tell other nodes.
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

    /// Takes what another node told.
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

    /// How the rollouts divide a service's traffic; `None` when its own version serves alone.
    ///
    /// Rollouts count in the order of their starts: one that is done sets the version from which
    /// later ones begin, one that is taken back changes nothing.
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
        let moving = ordered
            .iter()
            .rev()
            .find(|policy| policy.share(wall) > 0.0)?;
        let rollout = moving.settings();
        let route_shares = settings.routes.iter();
        Some(VersionSplit {
            from: rollout.from.clone(),
            to: rollout.to.clone(),
            share: moving.share(wall),
            route_shares: route_shares
                .map(|route| (route.clone(), moving.route_share(route, wall)))
                .collect(),
        })
    }

    /// Statements on every rollout, in the order of the configuration.
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
