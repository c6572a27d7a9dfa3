//! One query from its start to its answer.

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

/// Restarts at a newer snapshot that one query may make.
const RESTART_LIMIT: u32 = 2;

/// State of one query.
///
/// The query is answered once every shard has a whole reply; from the soft deadline on, once the
/// service's least coverage is reached; at the hard deadline, or when nothing is left to ask, with
/// whatever there is. It is refused only when no shard answered at all.
#[derive(Clone, Debug)]
pub struct QueryRun {
    started_at: MonotonicTime,
    scatter: ShardScatter,
    merge: HitMerge,
    restarts: u32,
    over: bool,
}

impl QueryRun {
    /// A query that has arrived now; the first step is [`QueryInput::Start`].
    pub fn new(plan: QueryPlan, now: MonotonicTime) -> Self {
        let merge = HitMerge::new(plan.k);
        let ends_at = now.saturating_add(plan.deadline);
        Self {
            started_at: now,
            scatter: ShardScatter::new(plan, ends_at),
            merge,
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
        self.scatter.visit_due(&mut context);
        if self.scatter.take_lost() {
            self.restart(&mut context);
        }
        self.finish_if_due(&mut context);
        QueryOutput {
            actions: context.actions,
            wake_at: self.wake_at(now, view),
        }
    }

    /// Ends a query whose caller went away; the process cancels what is out.
    pub fn close(self, table: &mut ServiceTable) {
        self.scatter.close(table);
    }

    fn start(&mut self, context: &mut StepContext<'_, impl Rng>) {
        let hard = context.view.settings.coverage.hard_deadline;
        let hard = self.started_at.saturating_add(hard);
        self.scatter.ends_at = self.scatter.ends_at.min(hard);
        if context.now < self.scatter.ends_at {
            self.scatter.start(context);
        }
    }

    fn take_outcome(
        &mut self,
        attempt: AttemptId,
        outcome: SubOutcome,
        context: &mut StepContext<'_, impl Rng>,
    ) {
        match outcome {
            SubOutcome::Reply(reply) => {
                if let Some(reply) = self.scatter.take_reply(attempt, reply, context) {
                    self.merge.add(reply.hits);
                }
            }
            SubOutcome::Failure { failure, run } => {
                self.scatter.take_failure(attempt, failure, run, context);
            }
        }
    }

    /// Starts over at a newer snapshot if there is one and the time allows.
    fn restart(&mut self, context: &mut StepContext<'_, impl Rng>) {
        let Some(map) = self.newer_map(context.view) else {
            return;
        };
        let needed = context
            .table
            .hedge_delay(context.now, &context.view.settings);
        let ready_at = context.now.saturating_add(needed);
        if self.restarts < RESTART_LIMIT && ready_at < self.restart_end(context.view) {
            self.restarts += 1;
            self.merge.clear();
            self.scatter.restart(map, context);
        }
    }

    fn newer_map(&self, view: &ServiceView) -> Option<Arc<SnapshotMap>> {
        let plan = &self.scatter.plan;
        let map = view.versions.get(&plan.version)?.map.as_ref()?;
        (map.snapshot > plan.map.snapshot).then(|| map.clone())
    }

    /// When a restarted query must be ready: no later than the partial answer that it gives up.
    fn restart_end(&self, view: &ServiceView) -> MonotonicTime {
        let ends_at = self.scatter.ends_at;
        if self.covers_enough(view) {
            ends_at.min(self.soft_deadline(view))
        } else {
            ends_at
        }
    }

    fn finish_if_due(&mut self, context: &mut StepContext<'_, impl Rng>) {
        let complete = self.scatter.answered() == self.scatter.shard_count();
        let ended = context.now >= self.scatter.ends_at || self.scatter.is_hopeless(context.view);
        let after_soft = context.now >= self.soft_deadline(context.view);
        let cut = after_soft && self.covers_enough(context.view);
        if !(complete || ended || cut) {
            return;
        }
        self.over = true;
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

    /// Whether an answer at the soft deadline has what the service asks for.
    fn covers_enough(&self, view: &ServiceView) -> bool {
        let least = view.settings.coverage.minimum_coverage;
        let answered = self.scatter.answered();
        answered > 0 && f64::from(answered) >= least * f64::from(self.scatter.shard_count())
    }

    fn refusal(&self, now: MonotonicTime) -> QueryAction {
        let (reason, message) = match self.scatter.ledger.last_failure() {
            Some(SubFailure::QueueFull | SubFailure::Shed | SubFailure::Cold) => (
                RefusalReason::Overloaded,
                "every queue that was tried is full",
            ),
            _ if now >= self.scatter.ends_at => {
                (RefusalReason::DeadlineExceeded, "no shard answered in time")
            }
            _ => (
                RefusalReason::NoTarget,
                "no target takes work for any shard",
            ),
        };
        QueryAction::Refuse {
            reason,
            run: self.scatter.ledger.run(),
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
        if self.over {
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
