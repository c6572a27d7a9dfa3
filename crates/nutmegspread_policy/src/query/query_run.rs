//! One query from its start to its answer.

use super::attempt_ledger::{AttemptLedger, AttemptRecord};
use super::due_queue::DueQueue;
use super::hit_merge::HitMerge;
use super::replica_choice::{ReplicaChoice, ReplicaPick};
use super::reply_check::is_whole_reply;
use super::shard_progress::{ReplicaUse, ShardProgress};
use super::{QueryAction, QueryInput, QueryOutput, QueryPlan, ServiceTable};
use crate::routing::ServiceView;
use nutmegspread_model::{
    AttemptId, CoverageReport, MonotonicTime, QueryAnswer, RefusalReason, RunState, SearchReply,
    SearchRequest, ShardId, SnapshotMap, SubFailure, SubOutcome,
};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Pause before a shard is looked at again when nothing could be sent for it.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
/// Longest such pause.
const LAST_PAUSE: Duration = Duration::from_millis(16);
/// Restarts at a newer snapshot that one query may make.
const RESTART_LIMIT: u32 = 2;

/// State of one query.
#[derive(Clone, Debug)]
pub struct QueryRun {
    plan: QueryPlan,
    started_at: MonotonicTime,
    ends_at: MonotonicTime,
    shards: Vec<ShardProgress>,
    ledger: AttemptLedger,
    due: DueQueue,
    merge: HitMerge,
    answered: u32,
    restarts: u32,
    over: bool,
}

/// What one step works with.
struct StepContext<'a, R> {
    now: MonotonicTime,
    view: &'a ServiceView,
    table: &'a mut ServiceTable,
    rng: &'a mut R,
    actions: Vec<QueryAction>,
}

impl QueryRun {
    /// A query that has arrived now; the first step is [`QueryInput::Start`].
    pub fn new(plan: QueryPlan, now: MonotonicTime) -> Self {
        let merge = HitMerge::new(plan.k);
        let ends_at = now.saturating_add(plan.deadline);
        let shards = fresh_shards(&plan.map);
        Self {
            plan,
            started_at: now,
            ends_at,
            shards,
            ledger: AttemptLedger::default(),
            due: DueQueue::default(),
            merge,
            answered: 0,
            restarts: 0,
            over: false,
        }
    }

    /// Takes in one event. After [`QueryAction::Answer`] or [`QueryAction::Refuse`] every further
    /// step is without effect.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        input: QueryInput,
        view: &ServiceView,
        table: &mut ServiceTable,
        rng: &mut impl Rng,
    ) -> QueryOutput {
        if self.over {
            return QueryOutput::default();
        }
        let mut context = StepContext {
            now,
            view,
            table,
            rng,
            actions: Vec::new(),
        };
        match input {
            QueryInput::Start => self.start(&mut context),
            QueryInput::Outcome { attempt, outcome } => {
                self.take_outcome(attempt, outcome, &mut context);
            }
            QueryInput::Tick => {}
        }
        self.visit_due(&mut context);
        self.finish_if_due(&mut context);
        QueryOutput {
            wake_at: self.wake_at(now, view),
            actions: context.actions,
        }
    }

    fn start(&mut self, context: &mut StepContext<'_, impl Rng>) {
        let hard = context.view.settings.coverage.hard_deadline;
        self.ends_at = self.ends_at.min(self.started_at.saturating_add(hard));
        if context.now >= self.ends_at {
            return;
        }
        for shard in 0..self.shards.len() {
            self.send_first(shard as ShardId, context);
        }
    }

    fn send_first(&mut self, shard: ShardId, context: &mut StepContext<'_, impl Rng>) {
        if !self.shards[shard as usize].first_spent && self.restarts == 0 {
            context.table.budget.earn(&context.view.settings.budget);
        }
        self.send_again(shard, context);
    }

    /// Sends the next attempt of a shard that has none out, or pauses.
    fn send_again(&mut self, shard: ShardId, context: &mut StepContext<'_, impl Rng>) {
        let extra = self.shards[shard as usize].first_spent;
        let Some(pick) = self.pick(shard, extra, context) else {
            return self.pause(shard, context.now);
        };
        if extra && !context.table.budget.spend_on_retry() {
            return self.pause(shard, context.now);
        }
        self.send(shard, pick, extra, context);
    }

    /// Sends a second attempt of a shard whose only one is late, or looks again later.
    fn hedge(&mut self, shard: ShardId, context: &mut StepContext<'_, impl Rng>) {
        let Some(pick) = self.pick(shard, true, context) else {
            return self.pause(shard, context.now);
        };
        let policy = &context.view.settings.budget;
        if !context.table.budget.spend_on_hedge(policy) {
            return self.pause(shard, context.now);
        }
        self.shards[shard as usize].first_spent = true;
        self.send(shard, pick, true, context);
    }

    fn pick(
        &self,
        shard: ShardId,
        extra: bool,
        context: &mut StepContext<'_, impl Rng>,
    ) -> Option<ReplicaPick> {
        let choice = ReplicaChoice {
            now: context.now,
            version: &self.plan.version,
            view: context.view,
            table: context.table,
            extra,
        };
        let replicas = &self.plan.map.shards[shard as usize].replicas;
        choice.pick(replicas, &self.shards[shard as usize].replicas, context.rng)
    }

    fn send(
        &mut self,
        shard: ShardId,
        pick: ReplicaPick,
        extra: bool,
        context: &mut StepContext<'_, impl Rng>,
    ) {
        let now = context.now;
        let attempt = context.table.take_attempt();
        context.table.observation_mut(&pick.target).started();
        let record = AttemptRecord {
            shard,
            replica: pick.replica,
            target: pick.target.clone(),
            extra,
            sent_at: now,
        };
        self.ledger.sent(attempt, record);
        let progress = &mut self.shards[shard as usize];
        progress.replicas[pick.replica] = ReplicaUse::Asked;
        progress.outstanding += 1;
        let delay = context.table.hedge_delay(now, &context.view.settings);
        self.set_due(shard, now + delay);
        context.actions.push(QueryAction::Send {
            target: pick.target,
            owner: pick.owner,
            extra,
            request: self.request(shard, attempt, now),
        });
    }

    fn request(&self, shard: ShardId, attempt: AttemptId, now: MonotonicTime) -> SearchRequest {
        let remaining = self.ends_at.saturating_sub(now).as_millis();
        SearchRequest {
            request_id: self.plan.request_id.clone(),
            attempt,
            snapshot: self.plan.map.snapshot,
            shard,
            route: self.plan.route.clone(),
            query: self.plan.query.clone(),
            k: self.plan.k,
            remaining_ms: u64::try_from(remaining).unwrap_or(u64::MAX),
        }
    }

    fn take_outcome(
        &mut self,
        attempt: AttemptId,
        outcome: SubOutcome,
        context: &mut StepContext<'_, impl Rng>,
    ) {
        let Some(record) = self.ledger.get(attempt) else {
            return;
        };
        match outcome {
            SubOutcome::Reply(reply) => {
                if is_whole_reply(&self.plan, attempt, record, &reply) {
                    self.take_reply(attempt, reply, context);
                } else {
                    let run = RunState::Unknown;
                    self.take_failure(attempt, SubFailure::BadReply, run, context);
                }
            }
            SubOutcome::Failure { failure, run } => {
                self.take_failure(attempt, failure, run, context);
            }
        }
    }

    fn take_reply(
        &mut self,
        attempt: AttemptId,
        reply: SearchReply,
        context: &mut StepContext<'_, impl Rng>,
    ) {
        let Some(record) = self.ledger.ended(attempt) else {
            return;
        };
        let latency = context.now.saturating_sub(record.sent_at);
        let targets = &context.view.targets;
        let returns = targets
            .get(&record.target)
            .map_or(0, |seen| seen.return_count);
        context.table.record_latency(&record.target, latency);
        let observation = context.table.observation_mut(&record.target);
        observation.ended();
        observation.replied(reply.state, reply.incarnation, returns);
        let progress = &mut self.shards[record.shard as usize];
        progress.answered = true;
        progress.due = None;
        self.answered += 1;
        self.merge.add(reply.hits);
        if progress.outstanding > 1 {
            for loser in self.ledger.of_shard(record.shard) {
                self.cancel(loser, context);
            }
        }
    }

    fn take_failure(
        &mut self,
        attempt: AttemptId,
        failure: SubFailure,
        run: RunState,
        context: &mut StepContext<'_, impl Rng>,
    ) {
        let Some(record) = self.ledger.failed(attempt, failure, run) else {
            return;
        };
        let observation = context.table.observation_mut(&record.target);
        observation.ended();
        observation.failed(context.now, failure);
        let reached = reached_target(failure, run);
        if record.extra && !reached {
            context.table.budget.refund();
        }
        let progress = &mut self.shards[record.shard as usize];
        progress.outstanding -= 1;
        progress.replicas[record.replica] = match failure {
            SubFailure::SnapshotGone => ReplicaUse::Gone,
            _ => ReplicaUse::Failed,
        };
        progress.first_spent |= reached && failure != SubFailure::SnapshotGone;
        if progress.is_gone() && self.restart(context) {
            return;
        }
        match self.shards[record.shard as usize].outstanding {
            0 => self.go_on(record.shard, context),
            _ => self.pause(record.shard, context.now),
        }
    }

    /// Sends a shard elsewhere at once while fresh replicas are left, else after a pause.
    fn go_on(&mut self, shard: ShardId, context: &mut StepContext<'_, impl Rng>) {
        let progress = &self.shards[shard as usize];
        if progress.replicas.contains(&ReplicaUse::Fresh) {
            self.send_again(shard, context);
        } else {
            self.pause(shard, context.now);
        }
    }

    fn pause(&mut self, shard: ShardId, now: MonotonicTime) {
        let progress = &mut self.shards[shard as usize];
        let factor = 1_u32 << progress.moves.min(8);
        progress.moves += 1;
        self.set_due(shard, now + (FIRST_PAUSE * factor).min(LAST_PAUSE));
    }

    fn set_due(&mut self, shard: ShardId, due: MonotonicTime) {
        self.shards[shard as usize].due = Some(due);
        self.due.push(due, shard);
    }

    fn cancel(&mut self, attempt: AttemptId, context: &mut StepContext<'_, impl Rng>) {
        let Some(record) = self.ledger.ended(attempt) else {
            return;
        };
        let waited = context.now.saturating_sub(record.sent_at);
        context.table.record_latency(&record.target, waited);
        context.table.observation_mut(&record.target).ended();
        context.actions.push(QueryAction::Cancel { attempt });
    }

    fn cancel_all(&mut self, context: &mut StepContext<'_, impl Rng>) {
        for attempt in self.ledger.all() {
            self.cancel(attempt, context);
        }
    }

    /// Starts over at a newer snapshot; `false` when there is none or the time is too short.
    fn restart(&mut self, context: &mut StepContext<'_, impl Rng>) -> bool {
        let Some(map) = self.newer_map(context.view) else {
            return false;
        };
        let needed = context
            .table
            .hedge_delay(context.now, &context.view.settings);
        if self.restarts >= RESTART_LIMIT || context.now + needed >= self.ends_at {
            return false;
        }
        self.cancel_all(context);
        self.restarts += 1;
        self.shards = fresh_shards(&map);
        self.plan.map = map;
        self.merge.clear();
        self.due.clear();
        self.answered = 0;
        for shard in 0..self.shards.len() {
            self.send_first(shard as ShardId, context);
        }
        true
    }

    fn newer_map(&self, view: &ServiceView) -> Option<Arc<SnapshotMap>> {
        let map = view.versions.get(&self.plan.version)?.map.as_ref()?;
        (map.snapshot > self.plan.map.snapshot).then(|| map.clone())
    }

    fn visit_due(&mut self, context: &mut StepContext<'_, impl Rng>) {
        while let Some((due, shard)) = self.due.pop_due(context.now) {
            let Some(progress) = self.shards.get_mut(shard as usize) else {
                continue;
            };
            if progress.due != Some(due) {
                continue;
            }
            progress.due = None;
            match progress.outstanding {
                0 => self.send_again(shard, context),
                1 => self.hedge(shard, context),
                _ => {}
            }
        }
    }

    fn finish_if_due(&mut self, context: &mut StepContext<'_, impl Rng>) {
        let complete = self.answered as usize == self.shards.len();
        let at_end = context.now >= self.ends_at || self.is_hopeless(context.view);
        if !complete && !at_end && !self.may_cut(context.now, context.view) {
            return;
        }
        self.over = true;
        let refused = self.answered == 0 && !self.shards.is_empty();
        let action = if refused {
            self.refusal(context.now)
        } else {
            QueryAction::Answer(self.answer())
        };
        self.cancel_all(context);
        context.actions.push(action);
    }

    /// Whether the soft deadline is over and enough is covered.
    fn may_cut(&self, now: MonotonicTime, view: &ServiceView) -> bool {
        let policy = &view.settings.coverage;
        let total = self.shards.len() as f64;
        now >= self.started_at.saturating_add(policy.soft_deadline)
            && self.answered > 0
            && f64::from(self.answered) >= policy.minimum_coverage * total
    }

    /// Whether nothing is out and no missing shard has a replica that could be asked.
    fn is_hopeless(&self, view: &ServiceView) -> bool {
        if !self.ledger.is_idle() {
            return false;
        }
        let missing = |(_, progress): &(_, &ShardProgress)| !progress.answered;
        let placements = self.plan.map.shards.iter();
        let mut missing = placements.zip(&self.shards).filter(missing);
        !missing.any(|(placement, progress)| {
            placement
                .replicas
                .iter()
                .zip(&progress.replicas)
                .any(|(target, known)| {
                    *known != ReplicaUse::Gone
                        && view.usable_target(target, &self.plan.version).is_some()
                })
        })
    }

    fn refusal(&self, now: MonotonicTime) -> QueryAction {
        let (reason, message) = match self.ledger.last_failure() {
            Some(SubFailure::QueueFull | SubFailure::Shed | SubFailure::Cold) => (
                RefusalReason::Overloaded,
                "every queue that was tried is full",
            ),
            _ if now >= self.ends_at => {
                (RefusalReason::DeadlineExceeded, "no shard answered in time")
            }
            _ => (
                RefusalReason::NoTarget,
                "no target takes work for any shard",
            ),
        };
        QueryAction::Refuse {
            reason,
            run: self.ledger.run(),
            message: message.into(),
        }
    }

    fn answer(&mut self) -> QueryAnswer {
        let numbered = self.shards.iter().enumerate();
        let missing = numbered.filter(|(_, progress)| !progress.answered);
        QueryAnswer {
            request_id: self.plan.request_id.clone(),
            snapshot: self.plan.map.snapshot,
            version: self.plan.version.clone(),
            coverage: CoverageReport {
                answered: self.answered,
                total: self.shards.len() as u32,
                missing: missing.map(|(shard, _)| shard as ShardId).collect(),
            },
            hits: self.merge.finish(),
        }
    }

    fn wake_at(&mut self, now: MonotonicTime, view: &ServiceView) -> Option<MonotonicTime> {
        if self.over {
            return None;
        }
        let soft = self
            .started_at
            .saturating_add(view.settings.coverage.soft_deadline);
        let shards = &self.shards;
        let valid = |due, shard: ShardId| {
            let progress = shards.get(shard as usize);
            progress.is_some_and(|progress| progress.due == Some(due))
        };
        let next = self.due.next_due(valid);
        let soft = (soft > now).then_some(soft);
        next.into_iter().chain(soft).chain([self.ends_at]).min()
    }
}

/// Whether a failed attempt put load on its target.
fn reached_target(failure: SubFailure, run: RunState) -> bool {
    run == RunState::Unknown || failure == SubFailure::Shed || failure == SubFailure::SnapshotGone
}

fn fresh_shards(map: &SnapshotMap) -> Vec<ShardProgress> {
    let sizes = map.shards.iter().map(|placement| placement.replicas.len());
    sizes.map(ShardProgress::new).collect()
}
