//! Applies the results of attempts to their requests, to the health of targets, and to the metrics.

use crate::SharedState;
use crate::traffic::attempt_result::{AttemptResult, log_attempt_end};
use crate::traffic::request_admission::RequestAdmission;
use crate::traffic::target_attempt::{AttemptStage, TargetAttempt};
use crate::traffic::target_table::TargetTable;
use nutmegspread_tier::{AttemptOutcome, HealthOutcome, HealthSettings};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// Latency above which an answer counts as slow in the judgement of a rollout, as a multiple of the
/// median.
const SLOW_FACTOR: f64 = 2.0;

/// Applies the results of attempts to their requests, to the health of targets, and to the metrics.
#[derive(Debug)]
pub struct ResultRecorder {
    shared: Arc<SharedState>,
    health: HealthSettings,
    table: Rc<RefCell<TargetTable>>,
    admission: Rc<RequestAdmission>,
}

impl ResultRecorder {
    /// Creates a recorder for the targets in `table`.
    pub fn new(
        shared: Arc<SharedState>,
        health: HealthSettings,
        table: Rc<RefCell<TargetTable>>,
        admission: Rc<RequestAdmission>,
    ) -> Self {
        Self {
            shared,
            health,
            table,
            admission,
        }
    }

    /// Applies the result of an attempt to its request, its target's health, and the metrics.
    pub fn apply_result(&self, attempt: &Rc<TargetAttempt>, result: AttemptResult) {
        if attempt.stage.get() == AttemptStage::Done {
            return;
        }
        let now = Instant::now();
        let (outcome, health, label) = result.outcomes(attempt.request.repeat);
        if outcome == AttemptOutcome::Answered {
            self.record_cost(attempt, now);
        }
        self.end_attempt(attempt, health, now);
        let request = &attempt.request;
        let elapsed = now.saturating_duration_since(request.arrived);
        if let AttemptResult::Reply(reply) = &result
            && outcome != AttemptOutcome::Answered
        {
            log_attempt_end(label, attempt, &format!("status {}", reply.status));
        }
        if let AttemptResult::Reply(reply) = &result
            && reply.status == 421
            && let Some(target) = self.table.borrow_mut().targets.get_mut(&attempt.target)
        {
            target.is_replaced = true;
            log::info!(event = "target_replaced", request = request.id.as_str(),
                target:% = target.record.id;
                "a different target answered at this address; sending no more attempts to it");
        }
        self.count_version_outcome(attempt, outcome, health, now);
        let latency = now.saturating_duration_since(attempt.started);
        if outcome == AttemptOutcome::Answered {
            let mut table = self.table.borrow_mut();
            table.route(&request.route.name).latencies.add(latency);
        }
        self.admission.record_attempt(request, health, latency, now);
        self.shared.metrics.count("sends_ended", label);
        if outcome.is_not_run() {
            request.was_turned_away.set(true);
            request.usage.record_not_run(attempt.counted.get());
        }
        if request.is_over.get() {
            return;
        }
        let is_part = request
            .run
            .borrow_mut()
            .finish(elapsed, attempt.service, outcome);
        if is_part && request.run.borrow().is_enough() {
            self.admission.record_answer(request, elapsed, now);
        }
        match result {
            AttemptResult::Reply(reply) if is_part => {
                request.parts.borrow_mut()[attempt.service] = Some(reply);
            }
            AttemptResult::Reply(reply) if outcome == AttemptOutcome::Failed => {
                *request.failure.borrow_mut() = Some(reply);
            }
            _ => {}
        }
        let run = request.run.borrow();
        let may_end = elapsed >= run.timing().answer
            || run.answered() == request.services.len()
            || outcome != AttemptOutcome::Answered;
        if may_end {
            request.changed.notify_one();
        }
    }

    /// Adds the time that a target took for an attempt to the estimate of the cost, if the attempt
    /// met no queue of this node, and records how the estimate compares to it.
    fn record_cost(&self, attempt: &TargetAttempt, now: Instant) {
        let mut table = self.table.borrow_mut();
        let target = table.targets.get_mut(&attempt.target);
        let (Some(target), Some(sent)) = (target, attempt.sent.get()) else {
            return;
        };
        let taken = now.saturating_duration_since(sent);
        let speed = target.health.speed();
        if let Some(work) = attempt.cost.work {
            target.pool.flight.record_answer(work.mul_f64(speed), taken);
        }
        let slots = target.record.slots;
        if !target.health.met_no_queue(attempt.observation, slots) {
            return;
        }
        let route = &attempt.request.route.name;
        table.route(route).cost.add(now, taken.div_f64(speed));
        drop(table);
        if let Some(work) = attempt.cost.work {
            let ratio = work.as_secs_f64() * speed / taken.as_secs_f64().max(1e-6);
            self.shared.metrics.record_ratio("cost_ratio", route, ratio);
        }
    }

    /// Counts the outcome of an attempt for the judgement of a rollout of its service.
    fn count_version_outcome(
        &self,
        attempt: &TargetAttempt,
        outcome: AttemptOutcome,
        health: HealthOutcome,
        now: Instant,
    ) {
        // An attempt that waited too long at this node says nothing about the target's version.
        if health == HealthOutcome::Late {
            return;
        }
        let table = self.table.borrow();
        let name = &attempt.request.services[attempt.service];
        let (Some(rollout), Some(target)) = (
            table.view.rollouts.get(name),
            table.targets.get(&attempt.target),
        ) else {
            return;
        };
        let (median, _) = table.latency_quantiles(&attempt.request);
        let latency = now.saturating_duration_since(attempt.started);
        let is_new = target.record.version == rollout.version;
        let route = &attempt.request.route.name;
        self.shared.evidence.update(name, rollout, route, |counts| {
            let side = if is_new {
                &mut counts.new
            } else {
                &mut counts.old
            };
            let is_slow = latency > median.mul_f64(SLOW_FACTOR);
            match outcome {
                AttemptOutcome::NotRun | AttemptOutcome::NotSent => side.count_refused(),
                AttemptOutcome::Answered => side.count(false, is_slow),
                AttemptOutcome::Failed => side.count(true, is_slow),
            }
        });
    }

    /// Ends an attempt with an outcome for the health of its target.
    pub fn end_attempt(&self, attempt: &Rc<TargetAttempt>, outcome: HealthOutcome, now: Instant) {
        attempt.stage.set(AttemptStage::Done);
        attempt
            .request
            .attempts
            .borrow_mut()
            .retain(|open| !Rc::ptr_eq(open, attempt));
        if let Some(target) = self.table.borrow_mut().targets.get_mut(&attempt.target) {
            target.pool.remove_waiting(attempt.observation);
            target
                .health
                .finish(&self.health, now, attempt.observation, outcome);
        }
    }
}
