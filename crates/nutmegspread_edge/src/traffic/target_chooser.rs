//! Chooses targets for the attempts of one request.

use crate::SharedState;
use crate::traffic::open_request::OpenRequest;
use crate::traffic::target_table::TargetTable;
use nutmegspread_tier::{
    AttemptChooser, AttemptReason, HealthSettings, RolloutStage, ServiceName, TargetCandidate,
    TargetKey, VersionChoice, VersionChooser, choose_target, extra_fraction,
};
use rand::Rng;
use std::sync::Arc;
use std::time::Instant;

/// Upper bound of the random term in a target's cost, which spreads attempts over equally good
/// targets.
const COST_JITTER: f64 = 0.1;

/// Chooses targets for the attempts of one request.
pub struct TargetChooser<'a> {
    /// Settings of the node, and its metrics.
    pub shared: &'a SharedState,
    /// Settings for judging the health of targets.
    pub health: &'a HealthSettings,
    /// Level of overload of the node and of the targets of the route, from 0 to 1.
    pub level: f64,
    /// Targets and services.
    pub table: &'a mut TargetTable,
    /// Request that the targets are chosen for.
    pub request: &'a OpenRequest,
    /// Current time.
    pub now: Instant,
}

impl AttemptChooser for TargetChooser<'_> {
    fn choose(&mut self, service: usize, tried: &[TargetKey]) -> Option<TargetKey> {
        let name = Arc::clone(&self.request.services[service]);
        let view = Arc::clone(&self.table.view);
        let Some(rollout) = view.rollouts.get(&name) else {
            return self.choose_among(&name, tried, |_| true);
        };
        let is_new = |version: &str| version == rollout.version;
        match self.choose_version(&name, rollout.stage, tried.is_empty()) {
            VersionChoice::Old => self.choose_among(&name, tried, |version| !is_new(version)),
            VersionChoice::New => self.choose_among(&name, tried, is_new),
            VersionChoice::NewFirst => self
                .choose_among(&name, tried, is_new)
                .or_else(|| self.choose_among(&name, tried, |_| true)),
        }
    }

    fn take_extra(&mut self, service: usize, reason: AttemptReason) -> bool {
        let name = &self.request.services[service];
        let share = extra_fraction(reason, self.level);
        let is_allowed = self
            .table
            .services
            .get_mut(name)
            .is_some_and(|state| state.budget.take_extra(self.now, share));
        if !is_allowed {
            let reason = if share > 0.0 { "budget" } else { "overload" };
            self.shared.metrics.count("sends_denied", reason);
        }
        is_allowed
    }
}

impl TargetChooser<'_> {
    /// Chooses the version of a service under rollout that gets the attempt.
    fn choose_version(
        &mut self,
        name: &ServiceName,
        stage: RolloutStage,
        is_first: bool,
    ) -> VersionChoice {
        let share = self.table.view.part;
        let exposure = self.shared.settings.load().exposure();
        match self.table.services.get_mut(name) {
            Some(state) if is_first => state.versions.choose_first(&exposure, stage, share),
            _ => VersionChooser::choose_by_stage(stage),
        }
    }

    /// Returns the best target of a service whose version `allows_version` accepts and that is not
    /// in `tried`.
    fn choose_among(
        &mut self,
        name: &ServiceName,
        tried: &[TargetKey],
        allows_version: impl Fn(&str) -> bool,
    ) -> Option<TargetKey> {
        let request = self.table.request_cost(self.request);
        let state = self.table.services.get(name)?;
        let (targets, now) = (&self.table.targets, self.now);
        let candidates = state.targets.iter().filter_map(|key| {
            let target = targets.get(key)?;
            let is_candidate = !tried.contains(key) && target.accepts(now);
            (is_candidate && allows_version(&target.record.version)).then(|| TargetCandidate {
                key: *key,
                health: &target.health,
                slots: target.record.slots,
                is_near: target.is_near,
                is_cold: target.is_cold(now),
                is_leaving: target.wishes.is_leaving(),
            })
        });
        let random = &mut self.table.random;
        choose_target(self.health, now, &request, candidates, || {
            random.random_range(0.0..COST_JITTER)
        })
    }
}
