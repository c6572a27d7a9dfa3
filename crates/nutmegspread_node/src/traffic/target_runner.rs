//! Turns the decisions about one owned target into connections and requests.

use super::pending_work::{
    OrderOutcome, PendingWork, TargetCall, TargetReply, WorkWaiter, ticket_result,
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

/// Longest time between two steps of a target on which nothing happens.
const LONGEST_SLEEP: Duration = Duration::from_secs(60);

/// How warm an owned target is, for its other owners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmthReport {
    /// The target.
    pub target: TargetId,
    /// How warm it is.
    pub mark: WarmthMark,
}

/// State of one owned target for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct TargetSnapshot {
    /// Connections that carry nothing now.
    pub idle_connections: usize,
    /// Connections that carry a request now.
    pub busy_connections: usize,
    /// Work that waits for a slot or connection.
    pub waiting: usize,
    /// State of the decisions.
    pub policy: String,
}

/// Connections and work of one owned target.
pub struct TargetRunner {
    target: TargetId,
    address: String,
    clock: ProcessClock,
    bounds: ConnectionBounds,
    handle: Handle,
    warmth_reports: mpsc::UnboundedSender<WarmthReport>,
    shares_valid_until: Arc<AtomicU64>,
    state: Mutex<RunnerState>,
    wake: Arc<Notify>,
}

struct RunnerState {
    policy: OwnedTarget,
    idle: IndexMap<ConnectionId, TargetConnection>,
    busy: IndexMap<ConnectionId, AbortHandle>,
    opening: IndexMap<ConnectionId, AbortHandle>,
    works: IndexMap<TicketId, PendingWork>,
    next_ticket: TicketId,
    wake_at: Option<MonotonicTime>,
    return_count: u64,
    fenced: bool,
}

/// What a runner needs besides its policy.
#[derive(Clone)]
pub struct RunnerContext {
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Bounds of each connection.
    pub bounds: ConnectionBounds,
    /// Runtime for traffic.
    pub handle: Handle,
    /// Where to report how warm targets are.
    pub warmth_reports: mpsc::UnboundedSender<WarmthReport>,
    /// Time up to which shares may be used, in nanoseconds since the process start.
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
            works: IndexMap::new(),
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

    /// Address to which connections go.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sets what this node may use of the target, and when its right to do so was renewed.
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

    /// Notes how warm another owner found the target.
    pub fn note_warmth(self: &Arc<Self>, mark: WarmthMark) {
        let mut state = self.lock();
        self.step(&mut state, TargetInput::Reported(mark));
    }

    /// Searches through a slot of the target; dropping the future cancels the work.
    pub async fn search(
        self: &Arc<Self>,
        request: SearchRequest,
        extra: bool,
        deadline: MonotonicTime,
    ) -> SubOutcome {
        let (sender, receiver) = oneshot::channel();
        let work = PendingWork {
            deadline,
            handed: false,
            call: TargetCall::Search(request),
            waiter: WorkWaiter::Search(sender),
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

    /// Runs an order through a slot of the target; it is never sent twice.
    pub async fn order(self: &Arc<Self>, call: OrderCall, deadline: MonotonicTime) -> OrderOutcome {
        let (sender, receiver) = oneshot::channel();
        let work = PendingWork {
            deadline,
            handed: false,
            call: TargetCall::Order(call),
            waiter: WorkWaiter::Order(sender),
        };
        let mut guard = self.submit(work, |ticket| TargetInput::SubmitOnce { ticket, deadline });
        let outcome = receiver.await;
        guard.finished = true;
        outcome.unwrap_or(Err((SubFailure::Cancelled, RunState::Unknown)))
    }

    /// State for the dump.
    pub fn snapshot(&self) -> TargetSnapshot {
        let state = self.lock();
        TargetSnapshot {
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
        state.works.insert(ticket, work);
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

    /// Gives the share up when its time is over, even if control has not noticed yet.
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
            self.act(state, action);
        }
        if state.wake_at != output.wake_at {
            state.wake_at = output.wake_at;
            self.wake.notify_one();
        }
    }

    fn act(self: &Arc<Self>, state: &mut RunnerState, action: TargetAction) {
        match action {
            TargetAction::Open { connection } => {
                let task = self.handle.spawn(Arc::clone(self).open(connection));
                state.opening.insert(connection, task.abort_handle());
            }
            TargetAction::Send { ticket, connection } => self.send(state, ticket, connection),
            TargetAction::Refuse { ticket, failure } => {
                if let Some(work) = state.works.swap_remove(&ticket) {
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
                // The receiver is gone only while the process stops.
                let _ = self.warmth_reports.send(report);
            }
        }
    }

    fn send(self: &Arc<Self>, state: &mut RunnerState, ticket: TicketId, id: ConnectionId) {
        let Some(work) = state.works.get_mut(&ticket) else {
            return;
        };
        work.handed = true;
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
                log::debug!(target = &*self.target; "connection failed: {error}");
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
        let handed_at = self.clock.now();
        let usable = connection.filter(|connection| !connection.is_closed());
        let (connection, ending) = match usable {
            Some(mut connection) => {
                let ending = call.run(&mut connection, deadline).await;
                (Some(connection), ending)
            }
            None => (None, Err(TargetError::NotSent)),
        };
        let latency = self.clock.now().saturating_sub(handed_at);
        self.finish(ticket, id, connection, ending, latency);
    }

    fn finish(
        self: &Arc<Self>,
        ticket: TicketId,
        id: ConnectionId,
        connection: Option<TargetConnection>,
        ending: Result<TargetReply, TargetError>,
        latency: Duration,
    ) {
        let result = ticket_result(&ending, latency);
        let mut state = self.lock();
        if state.busy.swap_remove(&id).is_none() {
            // The connection was closed while its reply came in; its work goes on elsewhere.
            return;
        }
        if let Some(connection) = connection.filter(|_| keeps_connection(result)) {
            state.idle.insert(id, connection);
        }
        let work = state.works.swap_remove(&ticket);
        self.step(&mut state, TargetInput::Finished { ticket, result });
        drop(state);
        if let Some(work) = work {
            work.finish(ending);
        }
    }
}

/// Whether a connection can carry another request after a result.
fn keeps_connection(result: TicketResult) -> bool {
    matches!(
        result,
        TicketResult::Replied { .. }
            | TicketResult::Failed(SubFailure::Shed | SubFailure::SnapshotGone)
    )
}

/// Cancels work whose caller went away.
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
        state.works.swap_remove(&self.ticket);
        self.runner.step(
            &mut state,
            TargetInput::Cancel {
                ticket: self.ticket,
            },
        );
    }
}

/// Steps the policy at the times that it asks for, until the runner is gone.
async fn run_timer(runner: Weak<TargetRunner>, wake: Arc<Notify>) {
    loop {
        let Some(strong) = runner.upgrade() else {
            return;
        };
        let clock = strong.clock;
        let wake_at = strong.lock().wake_at;
        // Not held while asleep, so that a removed target's runner can go.
        drop(strong);
        let wake_at = wake_at.unwrap_or_else(|| clock.now() + LONGEST_SLEEP);
        let slept = tokio::select! {
            () = wake.notified() => false,
            () = tokio::time::sleep_until(clock.instant_at(wake_at)) => true,
        };
        if let Some(strong) = runner.upgrade().filter(|_| slept) {
            let mut state = strong.lock();
            state.wake_at = None;
            strong.step(&mut state, TargetInput::Tick);
        }
    }
}
