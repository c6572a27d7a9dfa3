//! Sends the attempts of one query to the replicas of each shard.

use super::attempt_ledger::{AttemptLedger, AttemptRecord};
use super::due_queue::DueQueue;
use super::failure_effect::{makes_next_extra, reached_target};
use super::replica_choice::{ReplicaChoice, ReplicaPick};
use super::reply_check::is_whole_reply;
use super::shard_progress::{ReplicaState, ShardProgress};
use super::step_context::StepContext;
use super::{QueryAction, QueryPlan, ServiceTable};
use crate::routing::ServiceView;
use nutmegspread_model::{
    AttemptId, MonotonicTime, RunState, SearchReply, ShardId, SnapshotMap, SubFailure,
};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// First backoff of a shard, after an attempt has failed or could not be sent.
const FIRST_BACKOFF: Duration = Duration::from_millis(2);
/// Longest backoff of a shard.
const LONGEST_BACKOFF: Duration = Duration::from_millis(64);

/// Sends, hedges, retries and cancels attempts until each shard has one whole reply.
#[derive(Clone, Debug)]
pub(super) struct ShardScatter {
    pub(super) plan: QueryPlan,
    /// Deadline of the query: the caller's or the hard deadline, whichever is earlier.
    pub(super) ends_at: MonotonicTime,
    pub(super) ledger: AttemptLedger,
    shards: Vec<ShardProgress>,
    due: DueQueue,
    /// Number of shards that have a whole reply.
    answered: u32,
    /// Whether a shard was found to have no usable replica that holds the snapshot.
    restart_wanted: bool,
}

impl ShardScatter {
    pub(super) fn new(plan: QueryPlan, ends_at: MonotonicTime) -> Self {
        Self {
            shards: untried_shards(&plan.map),
            plan,
            ends_at,
            ledger: AttemptLedger::default(),
            due: DueQueue::default(),
            answered: 0,
            restart_wanted: false,
        }
    }

    pub(super) fn shard_count(&self) -> u32 {
        self.shards.len() as u32
    }

    /// Number of shards that have a whole reply.
    pub(super) fn answered(&self) -> u32 {
        self.answered
    }

    /// Shards that have no whole reply.
    pub(super) fn missing(&self) -> Vec<ShardId> {
        let shards = self.shards.iter().enumerate();
        let missing = shards.filter(|(_, progress)| !progress.answered);
        missing.map(|(shard, _)| shard as ShardId).collect()
    }

    /// Whether, since the previous call, a shard was found to have no usable replica that holds the
    /// snapshot. The query should then restart with a newer snapshot.
    pub(super) fn take_restart_wanted(&mut self) -> bool {
        std::mem::take(&mut self.restart_wanted)
    }

    /// Sends the first attempt of each shard; each adds to the budget of extra attempts.
    pub(super) fn start(&mut self, context: &mut StepContext<'_, impl Rng>) {
        for shard in 0..self.shard_count() {
            context.table.budget.earn(&context.view.settings.budget);
            self.send_next(shard, context);
        }
    }

    /// Cancels the unanswered attempts and starts again with another snapshot, with no shard
    /// answered. The caller has to drop the hits received so far. The new first attempts don't add
    /// to the budget of extra attempts.
    pub(super) fn restart(
        &mut self,
        map: Arc<SnapshotMap>,
        context: &mut StepContext<'_, impl Rng>,
    ) {
        self.cancel_all(context);
        self.shards = untried_shards(&map);
        self.plan.map = map;
        self.due.clear();
        self.answered = 0;
        for shard in 0..self.shard_count() {
            self.send_next(shard, context);
        }
    }

    /// Applies a reply. Returns the reply if it is whole and the first one for its shard.
    pub(super) fn apply_reply(
        &mut self,
        attempt: AttemptId,
        reply: SearchReply,
        context: &mut StepContext<'_, impl Rng>,
    ) -> Option<SearchReply> {
        let record = self.ledger.get(attempt)?;
        if !is_whole_reply(&self.plan, attempt, record, &reply) {
            self.apply_failure(attempt, SubFailure::BadReply, RunState::Unknown, context);
            return None;
        }
        let record = self.ledger.end(attempt)?;
        let targets = &context.view.targets;
        let return_count = targets
            .get(&record.target)
            .map_or(0, |target| target.return_count);
        let latency = context.now.saturating_sub(record.sent_at);
        context.table.record_latency(&record.target, latency);
        let observation = context.table.observation_mut(&record.target);
        observation.record_ended();
        observation.record_reply(reply.state, reply.incarnation, return_count);
        let progress = &mut self.shards[record.shard as usize];
        progress.answered = true;
        progress.due = None;
        self.answered += 1;
        if progress.outstanding > 1 {
            for redundant in self.ledger.attempts_of_shard(record.shard) {
                self.cancel(redundant, context);
            }
        }
        Some(reply)
    }

    /// Applies the failure of an attempt, then sends the next attempt of its shard or backs off.
    pub(super) fn apply_failure(
        &mut self,
        attempt: AttemptId,
        failure: SubFailure,
        run: RunState,
        context: &mut StepContext<'_, impl Rng>,
    ) {
        let Some(record) = self.ledger.end_failed(attempt, failure, run) else {
            return;
        };
        self.record_failure(&record, failure, run, context);
        let progress = &mut self.shards[record.shard as usize];
        progress.outstanding -= 1;
        progress.replicas[record.replica] = match failure {
            SubFailure::SnapshotGone => ReplicaState::WithoutSnapshot,
            _ => ReplicaState::Failed,
        };
        progress.next_is_extra |= makes_next_extra(failure, run);
        let untried_left = progress.replicas.contains(&ReplicaState::Untried);
        if progress.outstanding == 0 && (untried_left || failure == SubFailure::SnapshotGone) {
            self.send_next(record.shard, context);
        } else {
            self.back_off(record.shard, context);
        }
    }

    /// For every shard that is due, sends its next attempt or hedges its only unanswered one.
    pub(super) fn process_due_shards(&mut self, context: &mut StepContext<'_, impl Rng>) {
        while let Some((due, shard)) = self.due.pop_due(context.now) {
            let Some(progress) = self.shards.get_mut(shard as usize) else {
                continue;
            };
            if progress.due != Some(due) {
                continue;
            }
            progress.due = None;
            match progress.outstanding {
                0 => self.send_next(shard, context),
                1 => self.hedge(shard, context),
                _ => {}
            }
        }
    }

    /// Time at which the next shard is due; `None` if no shard is.
    pub(super) fn next_due(&mut self) -> Option<MonotonicTime> {
        let shards = &self.shards;
        self.due.next_due(|due, shard| {
            let progress = shards.get(shard as usize);
            progress.is_some_and(|progress| progress.due == Some(due))
        })
    }

    pub(super) fn cancel_all(&mut self, context: &mut StepContext<'_, impl Rng>) {
        for attempt in self.ledger.open_attempts() {
            self.cancel(attempt, context);
        }
    }

    /// Removes the unanswered attempts from the observations of their targets.
    pub(super) fn close(self, table: &mut ServiceTable) {
        for target in self.ledger.open_targets() {
            table.observation_mut(target).record_ended();
        }
    }

    /// Whether the query can get no further reply: no attempt is unanswered, and no shard without a
    /// reply has a usable replica.
    ///
    /// If a replica of such a shard no longer holds the snapshot, the query isn't stuck: the map of
    /// a newer snapshot should arrive soon, and the query can then restart.
    pub(super) fn is_stuck(&self, view: &ServiceView) -> bool {
        let is_shard_stuck = |shard: ShardId| {
            let progress = &self.shards[shard as usize];
            let without_snapshot = progress.replicas.contains(&ReplicaState::WithoutSnapshot);
            progress.answered || (!without_snapshot && self.has_no_usable_replica(shard, view))
        };
        self.ledger.is_idle() && (0..self.shard_count()).all(is_shard_stuck)
    }

    /// Whether the shard has no usable replica that may still hold the snapshot.
    fn has_no_usable_replica(&self, shard: ShardId, view: &ServiceView) -> bool {
        let replicas = &self.plan.map.shards[shard as usize].replicas;
        let states = &self.shards[shard as usize].replicas;
        !replicas.iter().zip(states).any(|(target, state)| {
            *state != ReplicaState::WithoutSnapshot
                && view.usable_target(target, &self.plan.version).is_some()
        })
    }

    /// Sends the next attempt of a shard that has no unanswered one, or backs off.
    fn send_next(&mut self, shard: ShardId, context: &mut StepContext<'_, impl Rng>) {
        let extra = self.shards[shard as usize].next_is_extra;
        let Some(pick) = self.pick(shard, extra, context) else {
            self.restart_wanted |= self.has_no_usable_replica(shard, context.view);
            return self.back_off(shard, context);
        };
        if extra && !context.table.budget.spend_on_retry() {
            return self.back_off(shard, context);
        }
        self.send(shard, pick, extra, context);
    }

    /// Hedges the only unanswered attempt of a shard, or backs off.
    fn hedge(&mut self, shard: ShardId, context: &mut StepContext<'_, impl Rng>) {
        let Some(pick) = self.pick(shard, true, context) else {
            return self.back_off(shard, context);
        };
        let budget_policy = &context.view.settings.budget;
        if !context.table.budget.spend_on_hedge(budget_policy) {
            return self.back_off(shard, context);
        }
        self.shards[shard as usize].next_is_extra = true;
        self.send(shard, pick, true, context);
    }

    /// Chooses the replica for the next attempt of a shard; `None` if there is no usable one.
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
        let attempt = context.table.allocate_attempt();
        context.table.observation_mut(&pick.target).record_sent();
        let record = AttemptRecord {
            shard,
            replica: pick.replica,
            target: pick.target.clone(),
            extra,
            sent_at: now,
        };
        self.ledger.add(attempt, record);
        let progress = &mut self.shards[shard as usize];
        progress.replicas[pick.replica] = ReplicaState::Pending;
        progress.outstanding += 1;
        let delay = context.table.hedge_delay(now, &context.view.settings);
        self.set_due(shard, now.saturating_add(delay));
        context.actions.push(QueryAction::Send {
            target: pick.target,
            owner: pick.owner,
            extra,
            request: self
                .plan
                .search_request(shard, attempt, self.ends_at.saturating_sub(now)),
        });
    }

    /// Records a failed attempt in the observation of its target. If the target did not answer in
    /// time, the time waited counts as a latency. The budget gets back the token of an extra
    /// attempt that did not reach its target.
    fn record_failure(
        &self,
        record: &AttemptRecord,
        failure: SubFailure,
        run: RunState,
        context: &mut StepContext<'_, impl Rng>,
    ) {
        let waited = context.now.saturating_sub(record.sent_at);
        if matches!(failure, SubFailure::Silent | SubFailure::TimedOut) {
            context.table.record_latency(&record.target, waited);
        }
        let observation = context.table.observation_mut(&record.target);
        observation.record_ended();
        observation.record_failure(context.now, failure);
        if record.extra && !reached_target(failure, run) {
            context.table.budget.refund();
        }
    }

    /// Cancels an unanswered attempt; the time waited for it counts as a latency of its target.
    fn cancel(&mut self, attempt: AttemptId, context: &mut StepContext<'_, impl Rng>) {
        let Some(record) = self.ledger.end(attempt) else {
            return;
        };
        let waited = context.now.saturating_sub(record.sent_at);
        context.table.record_latency(&record.target, waited);
        context.table.observation_mut(&record.target).record_ended();
        context.actions.push(QueryAction::Cancel { attempt });
    }

    /// Schedules the next check of the shard after an exponential backoff with jitter.
    fn back_off(&mut self, shard: ShardId, context: &mut StepContext<'_, impl Rng>) {
        let progress = &mut self.shards[shard as usize];
        let factor = 1_u32 << progress.backoffs.min(8);
        progress.backoffs += 1;
        let backoff = (FIRST_BACKOFF * factor).min(LONGEST_BACKOFF);
        let backoff = backoff.mul_f64(context.rng.random_range(0.5..=1.0));
        self.set_due(shard, context.now.saturating_add(backoff));
    }

    fn set_due(&mut self, shard: ShardId, due: MonotonicTime) {
        self.shards[shard as usize].due = Some(due);
        self.due.push(due, shard);
    }
}

fn untried_shards(map: &SnapshotMap) -> Vec<ShardProgress> {
    let replica_counts = map.shards.iter().map(|placement| placement.replicas.len());
    replica_counts.map(ShardProgress::new).collect()
}
