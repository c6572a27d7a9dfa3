//! Admission of a node: by its own room, and by the room of the targets of each group of routes.

use crate::admission::admission_decision::{AdmissionDecision, AdmissionRefusal, MissingRoom};
use crate::admission::admission_request::{AdmissionOffer, AdmissionRequest};
use crate::admission::admission_rule::AdmissionRule;
use crate::admission::admission_settings::AdmissionSettings;
use crate::admission::route_admission::RouteAdmission;
use crate::admission::route_groups::RouteGroups;
use crate::return_time::ReturnSchedule;
use crate::room::{NodeRoom, PRIORITY_RANKS, TargetRoom, priority_rank};
use crate::{HealthOutcome, RouteName, RouteTable};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Weight of the latest latency in the moving average of a group.
const LATENCY_WEIGHT: f64 = 0.2;

/// Admission to the targets of one group of routes.
#[derive(Clone, Debug)]
struct GroupAdmission {
    room: TargetRoom,
    rule: AdmissionRule,
    returns: ReturnSchedule,
    /// Moving average of the time until the answers, in seconds.
    latency: f64,
}

/// Admission of a node: by its own room, and by the room of the targets of each group of routes.
///
/// A request is admitted or refused as a whole, before any attempt. Both rooms have to admit it; one
/// random number decides for both, so that their floors do not multiply.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    room: NodeRoom,
    /// Rule for the node's own work, counted in attempts.
    rule: AdmissionRule,
    routes: IndexMap<RouteName, RouteAdmission>,
    groups: Vec<GroupAdmission>,
}

impl AdmissionControl {
    /// Creates the state of a node that has just started and knows no routes.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            room: NodeRoom::new(settings.room),
            rule: AdmissionRule::new(settings),
            routes: IndexMap::new(),
            groups: Vec::new(),
        }
    }

    /// Applies a new configuration. A route keeps what is known of it, a group what is known of the
    /// group of its first route.
    pub fn set_routes(&mut self, table: &RouteTable) {
        let groups = RouteGroups::new(table);
        let mut known = std::mem::take(&mut self.routes);
        let known_groups = std::mem::take(&mut self.groups);
        let mut kept: Vec<Option<GroupAdmission>> = vec![None; groups.count()];
        for (name, group) in groups.routes() {
            let state = known.swap_remove(name);
            if let Some(state) = &state
                && kept[group].is_none()
            {
                kept[group] = known_groups.get(state.group).cloned();
            }
            let state = state.map_or_else(
                || RouteAdmission::new(&self.settings, group),
                |state| RouteAdmission::in_group(state, group),
            );
            self.routes.insert(RouteName::clone(name), state);
        }
        let groups = kept.into_iter();
        self.groups = groups
            .map(|group| group.unwrap_or_else(|| GroupAdmission::new(self.settings)))
            .collect();
    }

    /// Records by how much the periodic timer of the traffic thread was late, and raises the shares that
    /// are due, so that they do not stay low until the next request.
    pub fn record_lateness(&mut self, now: Instant, lateness: Duration) {
        self.room.record_lateness(now, lateness);
        self.adjust_own(now);
        let groups = self.groups.iter_mut();
        for group in groups.filter(|group| group.rule.is_limited()) {
            group.adjust(now);
        }
    }

    /// Records after what time a request had enough parts for its answer.
    pub fn record_answer(&mut self, now: Instant, request: &AdmissionRequest, latency: Duration) {
        let is_calm = self.level(now, request.route) == 0.0;
        let Some(route) = self.routes.get_mut(request.route) else {
            return;
        };
        route.calm.record(now, latency, request.objective, is_calm);
        self.record_delay(now, request, latency);
    }

    /// Records that a request ended after `elapsed` without enough parts. What ended within its
    /// objective, for example as its caller left or all targets were full, tells nothing of delays.
    pub fn record_unanswered(
        &mut self,
        now: Instant,
        request: &AdmissionRequest,
        elapsed: Duration,
    ) {
        if elapsed >= request.objective {
            self.record_delay(now, request, elapsed);
        }
    }

    /// Records the end of an attempt on a target of a route after `latency`, also when its request is
    /// over.
    pub fn record_attempt(
        &mut self,
        now: Instant,
        request: &AdmissionRequest,
        outcome: HealthOutcome,
        latency: Duration,
    ) {
        let is_calm = self.level(now, request.route) == 0.0;
        let Some(route) = self.routes.get_mut(request.route) else {
            return;
        };
        let group = &mut self.groups[route.group];
        if outcome == HealthOutcome::Late {
            group.room.record_late(now);
        } else {
            group
                .room
                .record_attempt(now, outcome == HealthOutcome::Shed);
        }
        if outcome == HealthOutcome::Answered {
            let calm = &mut route.calm_attempt;
            calm.record(now, latency, request.objective, is_calm);
            let calm_latency = calm.estimate().unwrap_or(latency);
            group.room.record_latency(now, latency, calm_latency);
            self.rule.record_done(now, 1.0);
            let work = route.work(1, request.objective);
            group.rule.record_done(now, work);
        }
    }

    /// Decides whether to admit a request that arrives at `now`; `random` is from 0 to 1.
    pub fn decide(
        &mut self,
        now: Instant,
        request: &AdmissionRequest,
        random: f64,
    ) -> AdmissionDecision {
        self.room.record_request(now, request.objective);
        self.adjust_own(now);
        let Some(route) = self.routes.get(request.route) else {
            return AdmissionDecision::Admit;
        };
        let group = &mut self.groups[route.group];
        group.adjust(now);
        let (rank, source) = (priority_rank(request.priority), request.source);
        let own_offer = AdmissionOffer {
            rank,
            source,
            work: request.parts as f64,
        };
        let offer = AdmissionOffer {
            work: route.work(request.parts, request.objective),
            ..own_offer
        };
        let expected = route.expected(now);
        let is_limited = self.rule.is_limited() || group.rule.is_limited();
        let is_late = expected.is_some_and(|expected| expected > request.time_limit);
        // A caller that was told to return has spent at least the time until then.
        let may_return = request.time_limit + ReturnSchedule::SOONEST <= request.timeout;
        if is_limited && !is_late && may_return && group.returns.take_return(now, request.priority)
        {
            self.rule.admit_returned(now, &own_offer);
            group.rule.admit_returned(now, &offer);
            return AdmissionDecision::Admit;
        }
        let own_share = self.rule.offer(now, &own_offer);
        let share = group.rule.offer(now, &offer);
        if !is_late && random < own_share.min(share) {
            self.rule.admit(now, &own_offer);
            group.rule.admit(now, &offer);
            return AdmissionDecision::Admit;
        }
        let (missing, level) = if is_late {
            (MissingRoom::Time, group.room.level(now))
        } else if own_share < share {
            (MissingRoom::Node, self.room.level(now))
        } else {
            (MissingRoom::Targets, group.room.level(now))
        };
        let per_second = group
            .rule
            .requests_per_second(now, rank)
            .min(self.rule.requests_per_second(now, rank));
        let retry_after = group
            .returns
            .plan(now, request.priority, request.time_limit, per_second);
        AdmissionDecision::Refuse(AdmissionRefusal {
            missing,
            level,
            share: own_share.min(share),
            expected,
            retry_after,
        })
    }

    /// Smallest lateness of the timer over the last interval.
    pub fn lateness(&self, now: Instant) -> Duration {
        self.room.lateness(now)
    }

    /// Level of the node's own room, from 0 (calm) to 1 (overloaded).
    pub fn own_level(&self, now: Instant) -> f64 {
        self.room.level(now)
    }

    /// The larger one of the levels of the node and of the targets of a route.
    pub fn level(&self, now: Instant, route: &RouteName) -> f64 {
        let route = self.routes.get(route);
        let targets = route.map_or(0.0, |route| self.groups[route.group].room.level(now));
        targets.max(self.room.level(now))
    }

    /// Largest level of the targets of any group of routes.
    pub fn target_level(&self, now: Instant) -> f64 {
        let levels = self.groups.iter().map(|group| group.room.level(now));
        levels.fold(0.0, f64::max)
    }

    /// Smallest share of recent requests that was admitted to any group of routes.
    pub fn share_admitted(&self, now: Instant) -> f64 {
        let shares = self
            .groups
            .iter()
            .map(|group| group.rule.share_admitted(now));
        shares.fold(1.0, f64::min)
    }

    /// Whether some requests are not admitted.
    pub fn is_limited(&self) -> bool {
        self.rule.is_limited() || self.groups.iter().any(|group| group.rule.is_limited())
    }

    fn adjust_own(&mut self, now: Instant) {
        let levels = [self.room.rank_level(now); PRIORITY_RANKS];
        self.rule.adjust(now, &levels, Duration::ZERO);
    }

    fn record_delay(&mut self, now: Instant, request: &AdmissionRequest, latency: Duration) {
        let Some(route) = self.routes.get_mut(request.route) else {
            return;
        };
        route.record(now, latency);
        let delay = route.calm.excess(latency);
        let group = &mut self.groups[route.group];
        group.latency += LATENCY_WEIGHT * (latency.as_secs_f64() - group.latency);
        let calm = route.calm.estimate().unwrap_or_default();
        let slack = request
            .objective
            .saturating_sub(calm)
            .max(request.objective.mul_f64(0.2));
        group.room.record_delay(now, request.priority, delay, slack);
    }
}

impl GroupAdmission {
    fn new(settings: AdmissionSettings) -> Self {
        Self {
            room: TargetRoom::new(settings.room),
            rule: AdmissionRule::new(settings),
            returns: ReturnSchedule::default(),
            latency: 0.0,
        }
    }

    /// Adjusts the budget of the group to its levels.
    fn adjust(&mut self, now: Instant) {
        let delay = Duration::from_secs_f64(self.latency);
        self.rule.adjust(now, &self.room.levels(now), delay);
    }
}
