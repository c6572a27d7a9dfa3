//! The state machine of one query, from the caller's request to the answer.

use super::hit_merge::HitMerge;
use super::shard_scatter::ShardScatter;
use super::step_context::StepContext;
use super::{QueryAction, QueryInput, QueryOutput, QueryPlan, ServiceTable};
use crate::routing::ServiceView;
use nutmegspread_model::{
    AttemptId, CoverageReport, MonotonicTime, QueryAnswer, RefusalReason, SnapshotMap, SubFailure,
    SubOutcome,
};
use rand::Rng;
use std::sync::Arc;

/// Maximum number of times that one query restarts with a newer snapshot.
const RESTART_LIMIT: u32 = 2;

/// State machine of one query.
///
/// The query is answered as soon as every shard has a whole reply, which covers the entire shard.
/// From the soft deadline on, it is answered as soon as the fraction of shards with such a reply
/// reaches the service's minimum coverage. At the hard or the caller's deadline, or when no attempt
/// can be made for any shard without a reply, it is answered with the replies received so far. It
/// is refused only if there are none.
#[derive(Clone, Debug)]
pub struct QueryRun {
    started_at: MonotonicTime,
    scatter: ShardScatter,
    merge: HitMerge,
    /// Number of restarts with a newer snapshot so far.
    restarts: u32,
    finished: bool,
}

impl QueryRun {
    /// Creates the run of a query that arrived at `now`; its first input is [`QueryInput::Start`].
    pub fn new(plan: QueryPlan, now: MonotonicTime) -> Self {
        let merge = HitMerge::new(plan.k);
        let ends_at = now.saturating_add(plan.deadline);
        Self {
            started_at: now,
            scatter: ShardScatter::new(plan, ends_at),
            merge,
            restarts: 0,
            finished: false,
        }
    }

    /// Applies one input. After [`QueryAction::Answer`] or [`QueryAction::Refuse`] further inputs
    /// have no effect.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        input: QueryInput,
        view: &ServiceView,
        table: &mut ServiceTable,
        rng: &mut impl Rng,
    ) -> QueryOutput {
        if self.finished {
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
                self.apply_outcome(attempt, outcome, &mut context);
            }
            QueryInput::Tick => {}
        }
        self.scatter.process_due_shards(&mut context);
        if self.scatter.take_restart_wanted() {
            self.restart(&mut context);
        }
        self.finish_if_due(&mut context);
        QueryOutput {
            actions: context.actions,
            wake_at: self.wake_at(now, view),
        }
    }

    /// Ends a query whose caller disconnected. The process has to cancel the unanswered attempts.
    pub fn close(self, table: &mut ServiceTable) {
        self.scatter.close(table);
    }

    fn start(&mut self, context: &mut StepContext<'_, impl Rng>) {
        let hard_deadline = context.view.settings.coverage.hard_deadline;
        let hard_deadline = self.started_at.saturating_add(hard_deadline);
        self.scatter.ends_at = self.scatter.ends_at.min(hard_deadline);
        if context.now < self.scatter.ends_at {
            self.scatter.start(context);
        }
    }

    fn apply_outcome(
        &mut self,
        attempt: AttemptId,
        outcome: SubOutcome,
        context: &mut StepContext<'_, impl Rng>,
    ) {
        match outcome {
            SubOutcome::Reply(reply) => {
                if let Some(reply) = self.scatter.apply_reply(attempt, reply, context) {
                    self.merge.add(reply.hits);
                }
            }
            SubOutcome::Failure { failure, run } => {
                self.scatter.apply_failure(attempt, failure, run, context);
            }
        }
    }

    /// Restarts the query with a newer snapshot, if there is one and enough time is left for it.
    fn restart(&mut self, context: &mut StepContext<'_, impl Rng>) {
        let Some(map) = self.newer_map(context.view) else {
            return;
        };
        let expected_duration = context
            .table
            .hedge_delay(context.now, &context.view.settings);
        let ready_at = context.now.saturating_add(expected_duration);
        if self.restarts < RESTART_LIMIT && ready_at < self.restart_deadline(context.view) {
            self.restarts += 1;
            self.merge.clear();
            self.scatter.restart(map, context);
        }
    }

    /// Map of the current snapshot, if that is newer than the query's snapshot.
    fn newer_map(&self, view: &ServiceView) -> Option<Arc<SnapshotMap>> {
        let plan = &self.scatter.plan;
        let map = view.versions.get(&plan.version)?.map.as_ref()?;
        (map.snapshot > plan.map.snapshot).then(|| map.clone())
    }

    /// Latest time by which a restarted query must be answered. A query that could give a partial
    /// answer at the soft deadline must not be answered later because of the restart.
    fn restart_deadline(&self, view: &ServiceView) -> MonotonicTime {
        let ends_at = self.scatter.ends_at;
        if self.has_minimum_coverage(view) {
            ends_at.min(self.soft_deadline(view))
        } else {
            ends_at
        }
    }

    /// Answers or refuses the query and cancels its unanswered attempts, if it is complete or
    /// has to end.
    fn finish_if_due(&mut self, context: &mut StepContext<'_, impl Rng>) {
        let complete = self.scatter.answered() == self.scatter.shard_count();
        let ended = context.now >= self.scatter.ends_at || self.scatter.is_stuck(context.view);
        let after_soft = context.now >= self.soft_deadline(context.view);
        let partial_allowed = after_soft && self.has_minimum_coverage(context.view);
        if !(complete || ended || partial_allowed) {
            return;
        }
        self.finished = true;
        let action = if self.scatter.answered() == 0 && !complete {
            self.refusal(context.now)
        } else {
            QueryAction::Answer(self.answer())
        };
        self.scatter.cancel_all(context);
        context.actions.push(action);
    }

    fn soft_deadline(&self, view: &ServiceView) -> MonotonicTime {
        self.started_at
            .saturating_add(view.settings.coverage.soft_deadline)
    }

    /// Whether the replies received so far reach the service's minimum coverage.
    fn has_minimum_coverage(&self, view: &ServiceView) -> bool {
        let minimum = view.settings.coverage.minimum_coverage;
        let answered = self.scatter.answered();
        answered > 0 && f64::from(answered) >= minimum * f64::from(self.scatter.shard_count())
    }

    fn refusal(&self, now: MonotonicTime) -> QueryAction {
        let (reason, message) = match self.scatter.ledger.last_failure() {
            Some(SubFailure::QueueFull | SubFailure::Shed | SubFailure::Cold) => (
                RefusalReason::Overloaded,
                "every target that was tried is overloaded",
            ),
            _ if now >= self.scatter.ends_at => (
                RefusalReason::DeadlineExceeded,
                "no shard answered before the deadline",
            ),
            _ => (
                RefusalReason::NoTarget,
                "no target of any shard accepts work",
            ),
        };
        QueryAction::Refuse {
            reason,
            run: self.scatter.ledger.run_state(),
            message: message.into(),
        }
    }

    fn answer(&mut self) -> QueryAnswer {
        let plan = &self.scatter.plan;
        QueryAnswer {
            request_id: plan.request_id.clone(),
            snapshot: plan.map.snapshot,
            version: plan.version.clone(),
            coverage: CoverageReport {
                answered: self.scatter.answered(),
                total: self.scatter.shard_count(),
                missing: self.scatter.missing(),
            },
            hits: self.merge.finish(),
        }
    }

    fn wake_at(&mut self, now: MonotonicTime, view: &ServiceView) -> Option<MonotonicTime> {
        if self.finished {
            return None;
        }
        let soft = self.soft_deadline(view);
        let soft = (soft > now).then_some(soft);
        let next = self.scatter.next_due();
        next.into_iter()
            .chain(soft)
            .chain([self.scatter.ends_at])
            .min()
    }
}
