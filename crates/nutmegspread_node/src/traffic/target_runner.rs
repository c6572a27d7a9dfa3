//! Runs one target: performs the actions of its [`OwnedTarget`] on connections.

use super::pending_work::{
    OrderOutcome, PendingWork, ResultSender, TargetCall, TargetReply, ticket_result,
};
use crate::ProcessClock;
use indexmap::IndexMap;
use nutmegspread_model::{
    MonotonicTime, RunState, SearchRequest, SubFailure, SubOutcome, TargetId,
};
use nutmegspread_policy::routing::TargetShare;
use nutmegspread_policy::target::{
    ConnectionId, OwnedTarget, TargetAction, TargetInput, TicketId, TicketResult, WarmthMark,
};
use nutmegspread_wire::target::{ConnectionBounds, OrderCall, TargetConnection, TargetError};
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Longest time that the timer of a target sleeps if no step is due.
const LONGEST_SLEEP: Duration = Duration::from_secs(60);

/// Cold-start state of a target, to be sent to its other owners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmthReport {
    /// Id of the target.
    pub target: TargetId,
    /// Cold-start state that this node measured.
    pub mark: WarmthMark,
}

/// State of one target, for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct TargetDump {
    /// Number of connections without a request.
    pub idle_connections: usize,
    /// Number of connections with a request in flight.
    pub busy_connections: usize,
    /// Number of requests that wait for a slot or connection.
    pub waiting: usize,
    /// Debug output of the [`OwnedTarget`].
    pub policy: String,
}

/// Connections and submitted requests of one target.
pub struct TargetRunner {
    target: TargetId,
    address: String,
    clock: ProcessClock,
    bounds: ConnectionBounds,
    handle: Handle,
    warmth_reports: mpsc::UnboundedSender<WarmthReport>,
    /// Time until which the share may be used, in nanoseconds since the process start.
    shares_valid_until: Arc<AtomicU64>,
    state: Mutex<RunnerState>,
    /// Wakes the timer after a change of [`RunnerState::wake_at`].
    wake: Arc<Notify>,
}

struct RunnerState {
    policy: OwnedTarget,
    /// Open connections without a request.
    idle: IndexMap<ConnectionId, TargetConnection>,
    /// Tasks that send a request on a connection and wait for the reply.
    busy: IndexMap<ConnectionId, AbortHandle>,
    /// Tasks that open a connection.
    opening: IndexMap<ConnectionId, AbortHandle>,
    /// Submitted requests that have not ended.
    pending: IndexMap<TicketId, PendingWork>,
    next_ticket: TicketId,
    /// Time of the next tick; `None` if the policy waits for no time.
    wake_at: Option<MonotonicTime>,
    return_count: u64,
    /// Whether the share was given up because it was no longer valid; reset when the share is set.
    fenced: bool,
}

/// Values that all runners share.
#[derive(Clone)]
pub struct RunnerContext {
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Time and size limits of each connection.
    pub bounds: ConnectionBounds,
    /// Handle of the traffic runtime.
    pub handle: Handle,
    /// Channel for reports on the cold-start state of targets.
    pub warmth_reports: mpsc::UnboundedSender<WarmthReport>,
    /// Time until which shares may be used, in nanoseconds since the process start.
    pub shares_valid_until: Arc<AtomicU64>,
}

impl TargetRunner {
    /// Creates a runner and starts its timer.
    pub fn start(
        target: TargetId,
        address: String,
        policy: OwnedTarget,
        context: RunnerContext,
    ) -> Arc<Self> {
        let state = RunnerState {
            policy,
            idle: IndexMap::new(),
            busy: IndexMap::new(),
            opening: IndexMap::new(),
            pending: IndexMap::new(),
            next_ticket: 0,
            wake_at: None,
            return_count: 0,
            fenced: false,
        };
        let runner = Arc::new(Self {
            target,
            address,
            clock: context.clock,
            bounds: context.bounds,
            handle: context.handle,
            warmth_reports: context.warmth_reports,
            shares_valid_until: context.shares_valid_until,
            state: Mutex::new(state),
            wake: Arc::default(),
        });
        runner
            .handle
            .spawn(run_timer(Arc::downgrade(&runner), Arc::clone(&runner.wake)));
        runner
    }

    /// Address of the target.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sets this node's share of the target, and the target's return count.
    pub fn set_share(self: &Arc<Self>, share: TargetShare, return_count: u64) {
        let mut state = self.lock();
        state.return_count = return_count;
        state.fenced = false;
        self.step(
            &mut state,
            TargetInput::Share {
                share,
                return_count,
            },
        );
    }

    /// Applies the cold-start state that another owner reported.
    pub fn record_warmth(self: &Arc<Self>, mark: WarmthMark) {
        let mut state = self.lock();
        self.step(&mut state, TargetInput::Reported(mark));
    }

    /// Submits a search and waits for its outcome; dropping the future cancels the search.
    pub async fn search(
        self: &Arc<Self>,
        request: SearchRequest,
        extra: bool,
        deadline: MonotonicTime,
    ) -> SubOutcome {
        let (sender, receiver) = oneshot::channel();
        let work = PendingWork {
            deadline,
            sent: false,
            call: TargetCall::Search(request),
            sender: ResultSender::Search(sender),
        };
        let mut guard = self.submit(work, |ticket| TargetInput::Submit {
            ticket,
            extra,
            deadline,
        });
        let outcome = receiver.await;
        guard.finished = true;
        outcome.unwrap_or(SubOutcome::Failure {
            failure: SubFailure::Cancelled,
            run: RunState::Unknown,
        })
    }

    /// Submits an order and waits for its outcome; the order is sent at most once.
    pub async fn order(self: &Arc<Self>, call: OrderCall, deadline: MonotonicTime) -> OrderOutcome {
        let (sender, receiver) = oneshot::channel();
        let work = PendingWork {
            deadline,
            sent: false,
            call: TargetCall::Order(call),
            sender: ResultSender::Order(sender),
        };
        let mut guard = self.submit(work, |ticket| TargetInput::SubmitOnce { ticket, deadline });
        let outcome = receiver.await;
        guard.finished = true;
        outcome.unwrap_or(Err((SubFailure::Cancelled, RunState::Unknown)))
    }

    /// State of the target, for the dump.
    pub fn dump(&self) -> TargetDump {
        let state = self.lock();
        TargetDump {
            idle_connections: state.idle.len(),
            busy_connections: state.busy.len(),
            waiting: state.policy.queued_count(),
            policy: format!("{:?}", state.policy),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RunnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn submit(
        self: &Arc<Self>,
        work: PendingWork,
        input: impl FnOnce(TicketId) -> TargetInput,
    ) -> TicketGuard {
        let mut state = self.lock();
        state.next_ticket += 1;
        let ticket = state.next_ticket;
        state.pending.insert(ticket, work);
        self.step(&mut state, input(ticket));
        TicketGuard {
            runner: Arc::clone(self),
            ticket,
            finished: false,
        }
    }

    fn step(self: &Arc<Self>, state: &mut RunnerState, input: TargetInput) {
        self.fence(state);
        self.step_policy(state, input);
    }

    /// Gives up the share once it is no longer valid, even if control has not withdrawn it yet.
    fn fence(self: &Arc<Self>, state: &mut RunnerState) {
        let valid_until = Duration::from_nanos(self.shares_valid_until.load(Ordering::Acquire));
        if state.fenced || self.clock.now() < valid_until {
            return;
        }
        state.fenced = true;
        let share = TargetShare::default();
        let return_count = state.return_count;
        self.step_policy(
            state,
            TargetInput::Share {
                share,
                return_count,
            },
        );
    }

    fn step_policy(self: &Arc<Self>, state: &mut RunnerState, input: TargetInput) {
        let output = state.policy.step(self.clock.now(), input);
        for action in output.actions {
            self.run_action(state, action);
        }
        if state.wake_at != output.wake_at {
            state.wake_at = output.wake_at;
            self.wake.notify_one();
        }
    }

    fn run_action(self: &Arc<Self>, state: &mut RunnerState, action: TargetAction) {
        match action {
            TargetAction::Open { connection } => {
                let task = self.handle.spawn(Arc::clone(self).open(connection));
                state.opening.insert(connection, task.abort_handle());
            }
            TargetAction::Send { ticket, connection } => self.send(state, ticket, connection),
            TargetAction::Refuse { ticket, failure } => {
                if let Some(work) = state.pending.swap_remove(&ticket) {
                    work.refuse(failure);
                }
            }
            TargetAction::Close { connection } => {
                state.idle.swap_remove(&connection);
                for task in [
                    state.busy.swap_remove(&connection),
                    state.opening.swap_remove(&connection),
                ] {
                    task.inspect(AbortHandle::abort);
                }
            }
            TargetAction::Report(mark) => {
                let report = WarmthReport {
                    target: self.target.clone(),
                    mark,
                };
                // The receiver is dropped only when the process stops.
                let _ = self.warmth_reports.send(report);
            }
        }
    }

    fn send(self: &Arc<Self>, state: &mut RunnerState, ticket: TicketId, id: ConnectionId) {
        let Some(work) = state.pending.get_mut(&ticket) else {
            return;
        };
        work.sent = true;
        let call = work.call.clone();
        let deadline = self.clock.instant_at(work.deadline);
        let connection = state.idle.swap_remove(&id);
        let run = Arc::clone(self).run(ticket, id, connection, call, deadline);
        let task = self.handle.spawn(run);
        state.busy.insert(id, task.abort_handle());
    }

    async fn open(self: Arc<Self>, id: ConnectionId) {
        let opened = TargetConnection::open(&self.address, self.bounds).await;
        let mut state = self.lock();
        state.opening.swap_remove(&id);
        match opened {
            Ok(connection) => {
                state.idle.insert(id, connection);
                self.step(&mut state, TargetInput::Opened { connection: id });
            }
            Err(error) => {
                log::debug!(target = &*self.target; "cannot open a connection to the target: {error}");
                self.step(&mut state, TargetInput::OpenFailed { connection: id });
            }
        }
    }

    async fn run(
        self: Arc<Self>,
        ticket: TicketId,
        id: ConnectionId,
        connection: Option<TargetConnection>,
        call: TargetCall,
        deadline: Instant,
    ) {
        let sent_at = self.clock.now();
        let usable = connection.filter(|connection| !connection.is_closed());
        let (connection, reply) = match usable {
            Some(mut connection) => {
                let reply = call.run(&mut connection, deadline).await;
                (Some(connection), reply)
            }
            None => (None, Err(TargetError::NotSent)),
        };
        let latency = self.clock.now().saturating_sub(sent_at);
        self.finish(ticket, id, connection, reply, latency);
    }

    fn finish(
        self: &Arc<Self>,
        ticket: TicketId,
        id: ConnectionId,
        connection: Option<TargetConnection>,
        reply: Result<TargetReply, TargetError>,
        latency: Duration,
    ) {
        let result = ticket_result(&reply, latency);
        let mut state = self.lock();
        if state.busy.swap_remove(&id).is_none() {
            // The policy closed the connection while the reply was received. The request has ended, or it
            // is resent on another connection.
            return;
        }
        if let Some(connection) = connection.filter(|_| keeps_connection(result)) {
            state.idle.insert(id, connection);
        }
        let work = state.pending.swap_remove(&ticket);
        self.step(&mut state, TargetInput::Finished { ticket, result });
        drop(state);
        if let Some(work) = work {
            work.finish(reply);
        }
    }
}

/// Whether a connection can be used again after a request with this result.
fn keeps_connection(result: TicketResult) -> bool {
    matches!(
        result,
        TicketResult::Replied { .. }
            | TicketResult::Failed(SubFailure::Shed | SubFailure::SnapshotGone)
    )
}

/// Cancels a submitted request if it is dropped before the request has ended.
struct TicketGuard {
    runner: Arc<TargetRunner>,
    ticket: TicketId,
    finished: bool,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let mut state = self.runner.lock();
        state.pending.swap_remove(&self.ticket);
        self.runner.step(
            &mut state,
            TargetInput::Cancel {
                ticket: self.ticket,
            },
        );
    }
}

/// Steps the policy whenever its `wake_at` is reached, until the runner is dropped.
async fn run_timer(runner: Weak<TargetRunner>, wake: Arc<Notify>) {
    loop {
        let Some(strong) = runner.upgrade() else {
            return;
        };
        let clock = strong.clock;
        let wake_at = strong.lock().wake_at;
        // The reference is not held during the sleep, so that the runner of a removed target can be
        // dropped.
        drop(strong);
        let wake_at = wake_at.unwrap_or_else(|| clock.now() + LONGEST_SLEEP);
        let is_due = tokio::select! {
            () = wake.notified() => false,
            () = tokio::time::sleep_until(clock.instant_at(wake_at)) => true,
        };
        if let Some(strong) = runner.upgrade().filter(|_| is_due) {
            let mut state = strong.lock();
            state.wake_at = None;
            strong.step(&mut state, TargetInput::Tick);
        }
    }
}
