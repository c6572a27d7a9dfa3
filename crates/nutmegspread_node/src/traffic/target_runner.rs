//! Turns the decisions about one owned target into connections and requests.

use crate::ProcessClock;
use indexmap::IndexMap;
use nutmegspread_model::{
    MonotonicTime, OrderReply, RunState, SearchReply, SearchRequest, SubFailure, SubOutcome,
    TargetId,
};
use nutmegspread_policy::routing::TargetShare;
use nutmegspread_policy::target::{
    ConnectionId, OwnedTarget, TargetAction, TargetInput, TicketId, TicketResult, WarmthMark,
};
use nutmegspread_wire::target::{ConnectionBounds, OrderCall, TargetConnection, TargetError};
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;

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

/// How an order at a target ended.
pub type OrderOutcome = Result<OrderReply, (SubFailure, RunState)>;

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
    wake: Notify,
}

struct RunnerState {
    policy: OwnedTarget,
    idle: IndexMap<ConnectionId, TargetConnection>,
    busy: IndexMap<ConnectionId, AbortHandle>,
    opening: IndexMap<ConnectionId, AbortHandle>,
    waiting: IndexMap<TicketId, PendingWork>,
    next_ticket: TicketId,
    wake_at: Option<MonotonicTime>,
    return_count: u64,
    fenced: bool,
}

struct PendingWork {
    deadline: MonotonicTime,
    call: PendingCall,
}

enum PendingCall {
    Search(SearchRequest, oneshot::Sender<SubOutcome>),
    Order(OrderCall, oneshot::Sender<OrderOutcome>),
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
            waiting: IndexMap::new(),
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
            wake: Notify::new(),
        });
        runner.handle.spawn(run_timer(Arc::downgrade(&runner)));
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
        let mut guard = self.submit(PendingCall::Search(request, sender), extra, deadline);
        let outcome = receiver.await;
        guard.finished = true;
        outcome.unwrap_or(SubOutcome::Failure {
            failure: SubFailure::Cancelled,
            run: RunState::Unknown,
        })
    }

    /// Runs an order through a slot of the target.
    pub async fn order(self: &Arc<Self>, call: OrderCall, deadline: MonotonicTime) -> OrderOutcome {
        let (sender, receiver) = oneshot::channel();
        let mut guard = self.submit(PendingCall::Order(call, sender), false, deadline);
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
            waiting: state.waiting.len(),
            policy: format!("{:?}", state.policy),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RunnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn submit(
        self: &Arc<Self>,
        call: PendingCall,
        extra: bool,
        deadline: MonotonicTime,
    ) -> TicketGuard {
        let mut state = self.lock();
        state.next_ticket += 1;
        let ticket = state.next_ticket;
        state.waiting.insert(ticket, PendingWork { deadline, call });
        self.step(
            &mut state,
            TargetInput::Submit {
                ticket,
                extra,
                deadline,
            },
        );
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
                if let Some(work) = state.waiting.shift_remove(&ticket) {
                    work.call.refuse(failure, RunState::NotRun);
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
        let Some(work) = state.waiting.shift_remove(&ticket) else {
            return;
        };
        let connection = state.idle.swap_remove(&id);
        let task = self
            .handle
            .spawn(Arc::clone(self).run(ticket, id, connection, work));
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
        work: PendingWork,
    ) {
        let handed_at = self.clock.now();
        let deadline = self.clock.instant_at(work.deadline);
        let (connection, ending) = match connection.filter(|connection| !connection.is_closed()) {
            Some(mut connection) => {
                let ending = work.call.run(&mut connection, deadline).await;
                (Some(connection), ending)
            }
            None => (None, work.call.not_sent()),
        };
        let latency = self.clock.now().saturating_sub(handed_at);
        let result = ending.result(latency);
        let mut state = self.lock();
        state.busy.swap_remove(&id);
        if let (TicketResult::Replied { .. }, Some(connection)) = (&result, connection) {
            state.idle.insert(id, connection);
        }
        self.step(&mut state, TargetInput::Finished { ticket, result });
        drop(state);
        ending.deliver();
    }
}

/// How work ended, with the channel that waits for it.
enum WorkEnding {
    Search(
        Result<SearchReply, TargetError>,
        oneshot::Sender<SubOutcome>,
    ),
    Order(
        Result<OrderReply, TargetError>,
        oneshot::Sender<OrderOutcome>,
    ),
}

impl WorkEnding {
    fn result(&self, latency: Duration) -> TicketResult {
        match self {
            Self::Search(Ok(reply), _) => TicketResult::Replied {
                state: reply.state,
                incarnation: reply.incarnation,
                latency,
            },
            Self::Order(Ok(reply), _) => TicketResult::Replied {
                state: reply.state,
                incarnation: 0,
                latency,
            },
            Self::Search(Err(error), _) | Self::Order(Err(error), _) => {
                TicketResult::Failed(error.failure())
            }
        }
    }

    /// Hands the end to whoever waits; nobody does after a cancellation.
    fn deliver(self) {
        match self {
            Self::Search(ending, sender) => {
                let outcome = ending.map_or_else(
                    |error| SubOutcome::Failure {
                        failure: error.failure(),
                        run: error.run(),
                    },
                    SubOutcome::Reply,
                );
                let _ = sender.send(outcome);
            }
            Self::Order(ending, sender) => {
                let _ = sender.send(ending.map_err(|error| (error.failure(), error.run())));
            }
        }
    }
}

impl PendingCall {
    async fn run(
        self,
        connection: &mut TargetConnection,
        deadline: tokio::time::Instant,
    ) -> WorkEnding {
        match self {
            Self::Search(mut request, sender) => {
                let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
                request.remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
                WorkEnding::Search(connection.search(&request, deadline).await, sender)
            }
            Self::Order(call, sender) => {
                WorkEnding::Order(connection.order(&call, deadline).await, sender)
            }
        }
    }

    fn not_sent(self) -> WorkEnding {
        match self {
            Self::Search(_, sender) => WorkEnding::Search(Err(TargetError::NotSent), sender),
            Self::Order(_, sender) => WorkEnding::Order(Err(TargetError::NotSent), sender),
        }
    }

    fn refuse(self, failure: SubFailure, run: RunState) {
        match self {
            Self::Search(_, sender) => {
                let _ = sender.send(SubOutcome::Failure { failure, run });
            }
            Self::Order(_, sender) => {
                let _ = sender.send(Err((failure, run)));
            }
        }
    }
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
        state.waiting.shift_remove(&self.ticket);
        self.runner.step(
            &mut state,
            TargetInput::Cancel {
                ticket: self.ticket,
            },
        );
    }
}

/// Steps the policy at the times that it asks for, until the runner is gone.
async fn run_timer(runner: std::sync::Weak<TargetRunner>) {
    loop {
        let Some(strong) = runner.upgrade() else {
            return;
        };
        let wake_at = strong.lock().wake_at;
        let clock = strong.clock;
        let sleep = async move {
            match wake_at {
                Some(time) => tokio::time::sleep_until(clock.instant_at(time)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = strong.wake.notified() => {}
            () = sleep => {
                let mut state = strong.lock();
                state.wake_at = None;
                strong.step(&mut state, TargetInput::Tick);
            }
        }
    }
}
