//! Sends attempts on connections to their targets, and holds those that wait for a connection.

use crate::SharedState;
use crate::traffic::attempt_result::{AttemptResult, log_attempt_end};
use crate::traffic::connection_end::ConnectionEnd;
use crate::traffic::connection_task::run_connection;
use crate::traffic::reply_wishes::ReplyWishes;
use crate::traffic::result_recorder::ResultRecorder;
use crate::traffic::target_attempt::{AttemptStage, TargetAttempt};
use crate::traffic::target_connection::TargetConnection;
use crate::traffic::target_state::TargetState;
use crate::traffic::target_table::{TargetTable, WithdrawnWork};
use nutmegspread_tier::{AnswerMemory, ConnectionKey, TargetKey, WaitingTerms};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Instant;

/// Why an attempt is withdrawn from a target that was removed, drains, or wants no requests.
const UNUSABLE: &str = "the target is no longer usable";

/// Why an attempt ends that has waited for its target.
const TOO_LATE: &str = "the target is busy, and an answer would be too late";

/// Sends attempts on connections to their targets, and holds those that wait for a connection.
#[derive(Debug)]
pub struct AttemptSender {
    /// State shared with the control thread.
    pub shared: Arc<SharedState>,
    /// Bytes of answers of all targets.
    pub held_bytes: Arc<AtomicUsize>,
    /// Limit on these bytes.
    pub memory: AnswerMemory,
    table: Rc<RefCell<TargetTable>>,
    results: Rc<ResultRecorder>,
    /// Number of connections opened so far.
    opened: Cell<ConnectionKey>,
}

impl AttemptSender {
    /// Creates a sender for the targets in `table`, which passes the results to `results`.
    pub fn new(
        shared: Arc<SharedState>,
        table: Rc<RefCell<TargetTable>>,
        results: Rc<ResultRecorder>,
    ) -> Self {
        Self {
            shared,
            held_bytes: Arc::default(),
            memory: AnswerMemory::default(),
            table,
            results,
            opened: Cell::new(0),
        }
    }

    /// Key of a connection that was just opened.
    pub fn next_connection(&self) -> ConnectionKey {
        self.opened.set(self.opened.get() + 1);
        self.opened.get()
    }

    /// Whether this node is advertised to callers.
    pub fn is_advertised(&self) -> bool {
        self.table.borrow().view.is_named
    }

    /// Sends an attempt on an idle connection or on a new one, or lets it wait: for a connection, or
    /// until fewer attempts are in flight at the target.
    pub fn send(self: &Rc<Self>, attempt: Rc<TargetAttempt>, now: Instant) {
        let key = attempt.target;
        let mut table = self.table.borrow_mut();
        let Some(target) = table.targets.get_mut(&key) else {
            return;
        };
        if self.send_or_open(target, &attempt, now) {
            return;
        }
        let terms = waiting_terms(&table, &attempt, now);
        let Some(target) = table.targets.get_mut(&key) else {
            return;
        };
        self.schedule_late(key, terms.late_from());
        let evicted = target.pool.push_waiting(now, attempt, terms);
        self.schedule_open(key, target, now);
        drop(table);
        if let Some(evicted) = evicted {
            self.give_way(&evicted);
        }
    }

    /// Sends an attempt on an idle connection or on a new one; returns whether that was possible.
    fn send_or_open(
        self: &Rc<Self>,
        target: &mut TargetState,
        attempt: &Rc<TargetAttempt>,
        now: Instant,
    ) -> bool {
        if !target.pool.may_send(target.record.slots) {
            return false;
        }
        if let Some(connection) = target.pool.take_idle(&attempt.request, now) {
            TargetConnection::send(&connection, Rc::clone(attempt), &target.record, now);
            return true;
        }
        if target.pool.may_open(now) {
            self.open(target, Rc::clone(attempt));
            return true;
        }
        target.pool.make_room(now);
        false
    }

    /// Applies the result of an attempt that a connection carried.
    pub fn apply_result(&self, attempt: &Rc<TargetAttempt>, result: AttemptResult) {
        self.results.apply_result(attempt, result);
    }

    /// Sends `attempt` on a connection that was just opened. If the attempt has ended in the
    /// meantime, the next waiting one is sent instead.
    pub fn connection_opened(
        self: &Rc<Self>,
        key: TargetKey,
        connection: &Rc<TargetConnection>,
        attempt: Rc<TargetAttempt>,
        now: Instant,
    ) {
        self.shared.metrics.count("target_connections", "opened");
        let mut table = self.table.borrow_mut();
        let target = table.targets.get_mut(&key);
        if let Some(target) = target.filter(|target| target.may_send(now))
            && attempt.stage.get() == AttemptStage::Waiting
        {
            TargetConnection::send(connection, attempt, &target.record, now);
            return;
        }
        drop(table);
        self.withdraw(&attempt, UNUSABLE);
        self.connection_idle(key, connection);
    }

    /// Sends the next waiting attempt on a connection without one, or makes the connection idle.
    pub fn connection_idle(self: &Rc<Self>, key: TargetKey, connection: &Rc<TargetConnection>) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let Some(target) = table.targets.get_mut(&key) else {
            connection.close();
            return;
        };
        if !target.is_usable {
            connection.close();
            return;
        }
        if connection.has_answered() {
            target.pool.allowance.record_answer();
        }
        if target.may_send(now)
            && let Some(attempt) = target.pool.take_waiting(connection, now)
        {
            TargetConnection::send(connection, attempt, &target.record, now);
            return;
        }
        target.pool.idle.push(Rc::clone(connection));
        // What still waits may not be sent on this connection.
        if target.may_send(now) && target.pool.has_waiting() {
            drop(table);
            self.send_waiting(key);
        } else {
            drop(table);
            self.withdraw_unsendable(key, now);
        }
    }

    /// Handles a connection that could not be opened.
    pub fn connection_failed(
        self: &Rc<Self>,
        key: TargetKey,
        attempt: &Rc<TargetAttempt>,
        end: &ConnectionEnd,
    ) {
        self.shared.metrics.count("target_connections", "failed");
        self.release_connection(key, end.is_reset);
        self.withdraw(attempt, &end.reason);
        self.send_waiting(key);
    }

    /// Handles the end of a connection, which may carry an attempt.
    pub fn connection_ended(
        self: &Rc<Self>,
        key: TargetKey,
        connection: &Rc<TargetConnection>,
        attempt: Option<Rc<TargetAttempt>>,
        end: &ConnectionEnd,
    ) {
        if let Some(target) = self.table.borrow_mut().targets.get_mut(&key) {
            target
                .pool
                .idle
                .retain(|idle| !Rc::ptr_eq(idle, connection));
        }
        self.release_connection(key, end.is_reset && !connection.has_answered());
        if let Some(attempt) = attempt {
            log_attempt_end("send_broken", &attempt, &end.reason);
            self.apply_result(&attempt, AttemptResult::ConnectionLost);
        }
        self.send_waiting(key);
    }

    /// Applies what a target asked in the head of an answer to the request with this id.
    pub fn apply_wishes(self: &Rc<Self>, key: TargetKey, wishes: &ReplyWishes, request: &str) {
        let now = Instant::now();
        let drain_time = self.shared.settings.load().drain_time();
        let mut table = self.table.borrow_mut();
        let Some(target) = table.targets.get_mut(&key) else {
            return;
        };
        let id = Arc::clone(&target.record.id);
        for error in &wishes.errors {
            log::warn!(event = "bad_wish", target:% = id, request, reason = error.as_str();
                "ignored a header of a target that cannot be read");
        }
        if wishes.is_leaving && target.wishes.record_leaving(now, drain_time) {
            self.shared.metrics.count("targets", "leaving");
            log::info!(event = "target_leaving", target:% = id, request,
                until_ms = drain_time.as_millis() as u64, source = "answer";
                "a target leaves; it gets no requests after the drain time");
            self.schedule_withdrawal(key, now + drain_time);
        }
        if let Some(pause) = wishes.pause
            && target.wishes.record_pause(now, pause)
        {
            self.shared.metrics.count("targets", "paused");
            log::info!(event = "target_paused", target:% = id, request,
                until_ms = pause.as_millis() as u64, source = "answer";
                "a target wants no requests for a while");
        }
        drop(table);
        self.withdraw_unsendable(key, now);
    }

    /// Closes idle connections and withdraws waiting attempts of targets that are no longer usable.
    pub fn withdraw_work(&self, work: WithdrawnWork) {
        for connection in work.connections {
            connection.close();
        }
        for attempt in work.attempts {
            self.withdraw(&attempt, UNUSABLE);
        }
    }

    /// Withdraws the attempts that wait for a target at `at`, unless it takes them.
    fn schedule_withdrawal(self: &Rc<Self>, key: TargetKey, at: Instant) {
        let sender = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(at.into()).await;
            sender.withdraw_unsendable(key, Instant::now());
        });
    }

    /// Withdraws the attempts that wait for a target which takes none now, so that their requests
    /// can be sent to other targets.
    fn withdraw_unsendable(&self, key: TargetKey, now: Instant) {
        let waiting = match self.table.borrow_mut().targets.get_mut(&key) {
            Some(target) if !target.may_send(now) => target.pool.take_all_waiting(),
            _ => return,
        };
        for attempt in waiting {
            self.withdraw(&attempt, UNUSABLE);
        }
    }

    /// Ends an attempt that still waits for a connection, so that its request can be sent to
    /// another target.
    fn withdraw(&self, attempt: &Rc<TargetAttempt>, reason: &str) {
        if attempt.stage.get() == AttemptStage::Waiting {
            log_attempt_end("send_withdrawn", attempt, reason);
            self.apply_result(attempt, AttemptResult::NotSent);
        }
    }

    /// Updates the count of connections after one has ended; `is_refused` states whether the target
    /// reset it before its first answer.
    fn release_connection(&self, key: TargetKey, is_refused: bool) {
        let mut table = self.table.borrow_mut();
        if let Some(target) = table.targets.get_mut(&key) {
            target.pool.connections = target.pool.connections.saturating_sub(1);
            if is_refused {
                target
                    .pool
                    .allowance
                    .record_reset(Instant::now(), target.pool.connections);
                self.shared.metrics.count("target_connections", "refused");
            }
        }
        table.drop_unused(key);
    }

    /// Sends waiting attempts on idle connections or new ones, as far as the limits allow it.
    fn send_waiting(self: &Rc<Self>, key: TargetKey) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let Some(target) = table.targets.get_mut(&key) else {
            return;
        };
        if !target.may_send(now) {
            return;
        }
        while let Some(attempt) = target.pool.next_waiting(now) {
            if !self.send_or_open(target, &attempt, now) {
                self.schedule_open(key, target, now);
                return;
            }
            target.pool.take(attempt.observation);
        }
    }

    /// Ends the attempts that have waited too long for a target at `at`.
    fn schedule_late(self: &Rc<Self>, key: TargetKey, at: Instant) {
        let sender = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(at.into()).await;
            sender.end_late(key, Instant::now());
        });
    }

    /// Ends the attempts that have waited too long for a target, so that their requests can be sent to
    /// other targets or refused.
    fn end_late(&self, key: TargetKey, now: Instant) {
        let late = match self.table.borrow_mut().targets.get_mut(&key) {
            Some(target) => target.pool.take_late(now),
            None => return,
        };
        for attempt in late {
            self.give_way(&attempt);
        }
    }

    /// Ends an attempt that waited for a busy target.
    fn give_way(&self, attempt: &Rc<TargetAttempt>) {
        log_attempt_end("send_too_late", attempt, TOO_LATE);
        self.apply_result(attempt, AttemptResult::TooLate);
    }

    /// Opens a connection to a target for `attempt`.
    fn open(self: &Rc<Self>, target: &mut TargetState, attempt: Rc<TargetAttempt>) {
        target.pool.connections += 1;
        let record = Arc::clone(&target.record);
        let key = attempt.target;
        tokio::task::spawn_local(run_connection(Rc::clone(self), key, record, attempt));
    }

    /// If there is no connection and the limit imposes a delay, schedules the next connection for
    /// waiting attempts.
    fn schedule_open(self: &Rc<Self>, key: TargetKey, target: &mut TargetState, now: Instant) {
        let Some(at) = target.pool.allowance.not_before().filter(|at| *at > now) else {
            return;
        };
        if target.pool.connections > 0
            || !target.pool.has_waiting()
            || target.pool.is_open_scheduled
        {
            return;
        }
        target.pool.is_open_scheduled = true;
        let sender = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(at.into()).await;
            if let Some(target) = sender.table.borrow_mut().targets.get_mut(&key) {
                target.pool.is_open_scheduled = false;
            }
            sender.send_waiting(key);
        });
    }
}

/// Terms on which an attempt waits for its target from `now` on.
fn waiting_terms(table: &TargetTable, attempt: &TargetAttempt, now: Instant) -> WaitingTerms {
    let request = &attempt.request;
    let target = table.targets.get(&attempt.target);
    let speed = target.map_or(1.0, |target| target.health.speed());
    let terms = WaitingTerms::new(
        now,
        request.priority,
        request.arrived,
        request.route.objective,
        request.time_limit,
        attempt.cost.work.map(|work| work.mul_f64(speed)),
    );
    if table.accepting(&request.services[attempt.service], now) > 1 {
        terms
    } else {
        terms.without_alternative()
    }
}
