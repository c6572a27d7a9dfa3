//! The shards of one snapshot and the attempts for them.

use super::attempt_ledger::{AttemptLedger, AttemptRecord};
use super::due_queue::DueQueue;
use super::failure_effect::{reached_target, spends_first};
use super::replica_choice::{ReplicaChoice, ReplicaPick};
use super::reply_check::is_whole_reply;
use super::shard_progress::{ReplicaUse, ShardProgress};
use super::step_context::StepContext;
use super::{QueryAction, QueryPlan, ServiceTable};
use crate::routing::ServiceView;
use nutmegspread_model::{
    AttemptId, MonotonicTime, RunState, SearchReply, ShardId, SnapshotMap, SubFailure,
};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// First pause before a shard is looked at again when nothing could be sent for it.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
/// Longest such pause.
const LAST_PAUSE: Duration = Duration::from_millis(64);

/// Sends, hedges, retries and cancels attempts until each shard has one whole reply.
#[derive(Clone, Debug)]
pub(super) struct ShardScatter {
    pub(super) plan: QueryPlan,
    pub(super) ends_at: MonotonicTime,
    pub(super) ledger: AttemptLedger,
    shards: Vec<ShardProgress>,
    due: DueQueue,
    answered: u32,
    lost: bool,
}

impl ShardScatter {
    pub(super) fn new(plan: QueryPlan, ends_at: MonotonicTime) -> Self {
        Self {
            shards: fresh_shards(&plan.map),
            plan,
            ends_at,
            ledger: AttemptLedger::default(),
            due: DueQueue::default(),
            answered: 0,
            lost: false,
        }
    }

    pub(super) fn shard_count(&self) -> u32 {
        self.shards.len() as u32
    }

    /// Shards with one whole reply.
    pub(super) fn answered(&self) -> u32 {
        self.answered
    }

    pub(super) fn missing(&self) -> Vec<ShardId> {
        let numbered = self.shards.iter().enumerate();
        let missing = numbered.filter(|(_, progress)| !progress.answered);
        missing.map(|(shard, _)| shard as ShardId).collect()
    }

    /// Whether a shard was found without any replica that could answer, since the last call.
    pub(super) fn take_lost(&mut self) -> bool {
        std::mem::take(&mut self.lost)
    }

    /// Sends the first attempt of each shard; each earns a part of the budget.
    pub(super) fn start(&mut self, context: &mut StepContext<'_, impl Rng>) {
        for shard in 0..self.shard_count() {
            context.table.budget.earn(&context.view.settings.budget);
            self.send_again(shard, context);
        }
    }

    /// Forgets all replies and starts at another snapshot. Its attempts earn nothing.
    pub(super) fn restart(
        &mut self,
        map: Arc<SnapshotMap>,
        context: &mut StepContext<'_, impl Rng>,
    ) {
        self.cancel_all(context);
        self.shards = fresh_shards(&map);
        self.plan.map = map;
        self.due.clear();
        self.answered = 0;
        for shard in 0..self.shard_count() {
            self.send_again(shard, context);
        }
    }

    /// Takes in a reply; returns it if it is whole and the first of its shard.
    pub(super) fn take_reply(
        &mut self,
        attempt: AttemptId,
        reply: SearchReply,
        context: &mut StepContext<'_, impl Rng>,
    ) -> Option<SearchReply> {
        let record = self.ledger.get(attempt)?;
        if !is_whole_reply(&self.plan, attempt, record, &reply) {
            self.take_failure(attempt, SubFailure::BadReply, RunState::Unknown, context);
            return None;
        }
        let record = self.ledger.ended(attempt)?;
        let targets = &context.view.targets;
        let return_count = targets
            .get(&record.target)
            .map_or(0, |seen| seen.return_count);
        let latency = context.now.saturating_sub(record.sent_at);
        context.table.record_latency(&record.target, latency);
        let observation = context.table.observation_mut(&record.target);
        observation.ended();
        observation.replied(reply.state, reply.incarnation, return_count);
        let progress = &mut self.shards[record.shard as usize];
        progress.answered = true;
        progress.due = None;
        self.answered += 1;
        if progress.outstanding > 1 {
            for loser in self.ledger.of_shard(record.shard) {
                self.cancel(loser, context);
            }
        }
        Some(reply)
    }

    /// Takes in the failure of an attempt and goes on with its shard.
    pub(super) fn take_failure(
        &mut self,
        attempt: AttemptId,
        failure: SubFailure,
        run: RunState,
        context: &mut StepContext<'_, impl Rng>,
    ) {
        let Some(record) = self.ledger.failed(attempt, failure, run) else {
            return;
        };
        self.note_failure(&record, failure, run, context);
        let progress = &mut self.shards[record.shard as usize];
        progress.outstanding -= 1;
        progress.replicas[record.replica] = match failure {
            SubFailure::SnapshotGone => ReplicaUse::Gone,
            _ => ReplicaUse::Failed,
        };
        progress.first_spent |= spends_first(failure, run);
        let fresh_left = progress.replicas.contains(&ReplicaUse::Fresh);
        if progress.outstanding == 0 && (fresh_left || failure == SubFailure::SnapshotGone) {
            self.send_again(record.shard, context);
        } else {
            self.pause(record.shard, context);
        }
    }

    /// Visits every shard whose time has come.
    pub(super) fn visit_due(&mut self, context: &mut StepContext<'_, impl Rng>) {
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

    pub(super) fn next_due(&mut self) -> Option<MonotonicTime> {
        let shards = &self.shards;
        self.due.next_due(|due, shard| {
            let progress = shards.get(shard as usize);
            progress.is_some_and(|progress| progress.due == Some(due))
        })
    }

    pub(super) fn cancel_all(&mut self, context: &mut StepContext<'_, impl Rng>) {
        for attempt in self.ledger.all() {
            self.cancel(attempt, context);
        }
    }

    /// Takes the attempts that are out off the books of their targets.
    pub(super) fn close(self, table: &mut ServiceTable) {
        for target in self.ledger.open_targets() {
            table.observation_mut(target).ended();
        }
    }

    /// Whether nothing is out and no missing shard has a replica that could be asked. A replica
    /// without the snapshot gives hope: a newer map must be under way.
    pub(super) fn is_hopeless(&self, view: &ServiceView) -> bool {
        let hopeless = |shard: ShardId| {
            let progress = &self.shards[shard as usize];
            let gone = progress.replicas.contains(&ReplicaUse::Gone);
            progress.answered || (!gone && self.is_lost(shard, view))
        };
        self.ledger.is_idle() && (0..self.shard_count()).all(hopeless)
    }

    /// Whether no replica of the shard holds the snapshot and may be asked.
    fn is_lost(&self, shard: ShardId, view: &ServiceView) -> bool {
        let replicas = &self.plan.map.shards[shard as usize].replicas;
        let uses = &self.shards[shard as usize].replicas;
        !replicas.iter().zip(uses).any(|(target, known)| {
            *known != ReplicaUse::Gone && view.usable_target(target, &self.plan.version).is_some()
        })
    }

    /// Sends the next attempt of a shard that has none out, or pauses.
    fn send_again(&mut self, shard: ShardId, context: &mut StepContext<'_, impl Rng>) {
        let extra = self.shards[shard as usize].first_spent;
        let Some(pick) = self.pick(shard, extra, context) else {
            self.lost |= self.is_lost(shard, context.view);
            return self.pause(shard, context);
        };
        if extra && !context.table.budget.spend_on_retry() {
            return self.pause(shard, context);
        }
        self.send(shard, pick, extra, context);
    }

    /// Sends a second attempt of a shard whose only one is late, or looks again later.
    fn hedge(&mut self, shard: ShardId, context: &mut StepContext<'_, impl Rng>) {
        let Some(pick) = self.pick(shard, true, context) else {
            return self.pause(shard, context);
        };
        let policy = &context.view.settings.budget;
        if !context.table.budget.spend_on_hedge(policy) {
            return self.pause(shard, context);
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

    fn note_failure(
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
        observation.ended();
        observation.failed(context.now, failure);
        if record.extra && !reached_target(failure, run) {
            context.table.budget.refund();
        }
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

    /// Looks at the shard again later; pauses grow and are spread.
    fn pause(&mut self, shard: ShardId, context: &mut StepContext<'_, impl Rng>) {
        let progress = &mut self.shards[shard as usize];
        let factor = 1_u32 << progress.pauses.min(8);
        progress.pauses += 1;
        let longest = (FIRST_PAUSE * factor).min(LAST_PAUSE);
        let pause = longest.mul_f64(context.rng.random_range(0.5..=1.0));
        self.set_due(shard, context.now.saturating_add(pause));
    }

    fn set_due(&mut self, shard: ShardId, due: MonotonicTime) {
        self.shards[shard as usize].due = Some(due);
        self.due.push(due, shard);
    }
}

fn fresh_shards(map: &SnapshotMap) -> Vec<ShardProgress> {
    let sizes = map.shards.iter().map(|placement| placement.replicas.len());
    sizes.map(ShardProgress::new).collect()
}
