//! Runs one query: performs the actions of its [`QueryRun`].

use super::TrafficState;
use super::sub_router::run_sub_search;
use indexmap::IndexMap;
use nutmegspread_model::{
    AttemptId, NodeId, QueryAnswer, RefusalBody, RefusalReason, RunState, SubOutcome, SubSearch,
};
use nutmegspread_policy::query::{QueryAction, QueryInput, QueryPlan, QueryRun, ServiceTable};
use nutmegspread_policy::routing::ServiceView;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// One query in flight.
pub struct QueryRunner {
    run: Option<QueryRun>,
    state: Arc<TrafficState>,
    plan: QueryPlan,
    service: Arc<ServiceView>,
    table: Arc<Mutex<ServiceTable>>,
    /// Task of each attempt that has not ended.
    attempts: IndexMap<AttemptId, AbortHandle>,
    outcomes: mpsc::UnboundedSender<(AttemptId, SubOutcome)>,
    /// Result of the query, once the run has finished.
    result: Option<Result<QueryAnswer, RefusalBody>>,
}

impl Drop for QueryRunner {
    /// Cancels the attempts that have not ended. This also happens if the caller disconnects, which drops
    /// the runner early.
    fn drop(&mut self) {
        for attempt in self.attempts.values() {
            attempt.abort();
        }
        if let Some(run) = self.run.take() {
            run.close(&mut self.table.lock().unwrap_or_else(PoisonError::into_inner));
        }
    }
}

/// Runs a query until it is answered or refused.
///
/// # Errors
/// A refusal, with its reason and whether a target may have run the query.
pub async fn run_query(
    state: Arc<TrafficState>,
    service: Arc<ServiceView>,
    plan: QueryPlan,
) -> Result<QueryAnswer, RefusalBody> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let clock = state.clock();
    let table = state.table(&plan.service);
    let run = QueryRun::new(plan.clone(), clock.now());
    let mut runner = QueryRunner {
        run: Some(run),
        state,
        plan,
        service,
        table,
        attempts: IndexMap::new(),
        outcomes: sender,
        result: None,
    };
    let mut rng = SmallRng::from_rng(&mut rand::rng());
    let mut input = QueryInput::Start;
    loop {
        let wake_at = runner.step(input, &mut rng);
        if let Some(result) = runner.result.take() {
            return result;
        }
        let wake_at = wake_at.unwrap_or_else(|| clock.now());
        input = tokio::select! {
            Some((attempt, outcome)) = receiver.recv() => {
                runner.attempts.swap_remove(&attempt);
                QueryInput::Outcome { attempt, outcome }
            }
            () = tokio::time::sleep_until(clock.instant_at(wake_at)) => QueryInput::Tick,
        };
    }
}

impl QueryRunner {
    fn step(&mut self, input: QueryInput, rng: &mut SmallRng) -> Option<std::time::Duration> {
        self.refresh_view();
        let run = self.run.as_mut()?;
        let output = {
            let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
            run.step(
                self.state.clock().now(),
                input,
                &self.service,
                &mut table,
                rng,
            )
        };
        for action in output.actions {
            self.run_action(action);
        }
        output.wake_at
    }

    /// Uses the newest view, so that this query sends no more attempts to a target that is being drained.
    fn refresh_view(&mut self) {
        if let Some(service) = self.state.view().services.get(&self.plan.service) {
            self.service = Arc::clone(service);
        }
    }

    fn run_action(&mut self, action: QueryAction) {
        match action {
            QueryAction::Send {
                target,
                owner,
                extra,
                request,
            } => {
                let attempt = request.attempt;
                let sub = SubSearch {
                    service: self.plan.service.clone(),
                    target,
                    extra,
                    request,
                };
                self.send(attempt, owner, sub);
            }
            QueryAction::Cancel { attempt } => {
                if let Some(task) = self.attempts.swap_remove(&attempt) {
                    task.abort();
                }
            }
            QueryAction::Answer(answer) => self.result = Some(Ok(answer)),
            QueryAction::Refuse {
                reason,
                run,
                message,
            } => {
                self.result = Some(Err(self.refusal(reason, run, message)));
            }
        }
    }

    fn send(&mut self, attempt: AttemptId, owner: Option<NodeId>, sub: SubSearch) {
        let state = Arc::clone(&self.state);
        let outcomes = self.outcomes.clone();
        let task = tokio::spawn(async move {
            let outcome = run_sub_search(state, owner, sub).await;
            // The receiver is gone once the query has ended.
            let _ = outcomes.send((attempt, outcome));
        });
        self.attempts.insert(attempt, task.abort_handle());
    }

    fn refusal(&self, reason: RefusalReason, run: RunState, message: String) -> RefusalBody {
        RefusalBody {
            request_id: self.plan.request_id.clone(),
            reason,
            run,
            message,
        }
    }
}
