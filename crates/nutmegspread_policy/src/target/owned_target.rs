//! The queue, slots (concurrent requests) and connections of one target, on a node that owns a
//! share of the target's limits.

use super::connection_pool::ConnectionPool;
use super::running_work::RunningWork;
use super::silence_watch::SilenceWatch;
use super::ticket_queue::{QueuedTicket, TicketQueue};
use super::warmth_ramp::WarmthRamp;
use super::{ConnectionId, TargetAction, TargetInput, TargetOutput, TicketId, TicketResult};
use crate::routing::TargetShare;
use indexmap::IndexMap;
use nutmegspread_model::{MonotonicTime, SubFailure, TargetLimits, TargetState};
use std::time::Duration;

/// Number of connections kept open in addition to one for each slot.
const SPARE_CONNECTIONS: u32 = 1;
/// Time for which a slot still counts as used after the connection of its request was closed. The
/// target should by then have noticed that and stopped the request.
const SLOT_RELEASE_DELAY: Duration = Duration::from_millis(3);
/// A new sample has a weight of one divided by this number in the smoothed latency.
const SMOOTHING_DIVISOR: u32 = 8;
/// How often an idempotent request may be resent after its connection stalled.
const MAX_RESENDS: u32 = 1;
/// Time for which no request is sent after a reply in which the target reports that it is draining.
const DRAINING_BACKOFF: Duration = Duration::from_secs(5);

/// State machine of one target, on a node that owns a share of the target's limits.
///
/// Each submitted request has a ticket and ends exactly once. A queued request can end by
/// [`TargetAction::Refuse`]; one that was sent on a connection ends when the process passes in
/// [`TargetInput::Finished`] or [`TargetInput::Cancel`].
#[derive(Clone, Debug)]
pub struct OwnedTarget {
    /// Limits on the requests and connections of all nodes together.
    limits: TargetLimits,
    /// Maximum number of queued requests.
    queue_limit: u32,
    /// The part of the limits that this node may use.
    share: TargetShare,
    queue: TicketQueue,
    running: IndexMap<TicketId, RunningWork>,
    silence: SilenceWatch,
    /// For each connection that was closed while its request had no answer, the time until which
    /// the slot of the request still counts as used.
    cut_until: Vec<MonotonicTime>,
    /// Smoothed latency of the target's replies; zero before the first reply.
    latency: Duration,
    pool: ConnectionPool,
    ramp: WarmthRamp,
    /// Whether a connection has stalled or broken, and no reply was received since then.
    suspect: bool,
    /// Time until which no request is sent, because the target's last reply reported that it is
    /// draining; `None` if that reply didn't.
    draining_until: Option<MonotonicTime>,
}

impl OwnedTarget {
    /// Creates the state of a target of whose limits this node has no share yet. The target counts
    /// as cold.
    pub fn new(limits: TargetLimits, queue_limit: u32, now: MonotonicTime) -> Self {
        Self {
            limits,
            queue_limit,
            share: TargetShare::default(),
            queue: TicketQueue::default(),
            running: IndexMap::new(),
            silence: SilenceWatch::default(),
            cut_until: Vec::new(),
            latency: Duration::ZERO,
            pool: ConnectionPool::new(now),
            ramp: WarmthRamp::default(),
            suspect: false,
            draining_until: None,
        }
    }

    /// Whether the target is cold.
    pub fn is_cold(&self) -> bool {
        self.ramp.is_cold()
    }

    /// Whether a connection to the target has stalled or broken, and no reply was received since
    /// then. This can be the first sign that the target has restarted, before it replies again.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Number of requests that were sent on a connection and have not ended.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Number of requests that wait for a slot.
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// Number of connections that are open or opening.
    pub fn connection_count(&self) -> usize {
        self.pool.len()
    }

    /// Applies one input.
    pub fn step(&mut self, now: MonotonicTime, input: TargetInput) -> TargetOutput {
        let mut actions = Vec::new();
        self.apply(now, input, &mut actions);
        self.cut_until.retain(|until| now < *until);
        self.resend_overdue(now, &mut actions);
        self.refuse_unservable(now, &mut actions);
        self.pool.shrink_to(self.connection_limit(), &mut actions);
        self.send_queued(now, &mut actions);
        self.refuse_excess(now, &mut actions);
        self.maintain_connections(now, &mut actions);
        TargetOutput {
            actions,
            wake_at: self.wake_at(now),
        }
    }

    fn apply(&mut self, now: MonotonicTime, input: TargetInput, actions: &mut Vec<TargetAction>) {
        match input {
            TargetInput::Submit {
                ticket,
                extra,
                deadline,
            } => self.queue.push(QueuedTicket {
                ticket,
                extra,
                deadline,
                resends_left: MAX_RESENDS,
            }),
            TargetInput::SubmitOnce { ticket, deadline } => self.queue.push(QueuedTicket {
                ticket,
                extra: false,
                deadline,
                resends_left: 0,
            }),
            TargetInput::Opened { connection } => self.pool.mark_opened(now, connection, actions),
            TargetInput::OpenFailed { connection } => {
                self.pool.record_open_failure(now, connection);
                self.refuse_without_connection(actions);
            }
            TargetInput::Finished { ticket, result } => self.finish(now, ticket, result, actions),
            TargetInput::Cancel { ticket } => self.cancel(now, ticket, actions),
            TargetInput::Closed { connection } => {
                self.pool.remove_closed(connection);
                self.suspect = true;
            }
            TargetInput::Share {
                share,
                return_count,
            } => {
                self.ramp.apply_return_count(return_count);
                self.share = share;
            }
            TargetInput::Reported(mark) => self.ramp.merge_mark(&self.limits, mark),
            TargetInput::Tick => {
                if self.pool.expire_opening(now, actions) {
                    self.refuse_without_connection(actions);
                }
            }
        }
    }

    fn finish(
        &mut self,
        now: MonotonicTime,
        ticket: TicketId,
        result: TicketResult,
        actions: &mut Vec<TargetAction>,
    ) {
        let Some(work) = self.running.swap_remove(&ticket) else {
            return;
        };
        let connection = work.connection;
        let mark = match result {
            TicketResult::Replied {
                state,
                incarnation,
                latency,
            } => {
                self.pool.release(now, connection);
                self.silence.record_reply(connection, latency);
                self.apply_reply(now, state, latency);
                self.ramp.record_reply(&self.limits, state, incarnation)
            }
            TicketResult::Failed(SubFailure::Shed) => {
                self.release_rejected(now, &work, actions);
                self.ramp.record_shed()
            }
            TicketResult::Failed(SubFailure::SnapshotGone) => {
                self.release_rejected(now, &work, actions);
                None
            }
            TicketResult::Failed(failure) => {
                self.silence.record_failure(connection);
                self.abort(now, connection, actions);
                self.suspect |= matches!(failure, SubFailure::Silent | SubFailure::ConnectionLost);
                if failure == SubFailure::Silent {
                    self.pool.close_idle(actions);
                }
                None
            }
        };
        actions.extend(mark.map(TargetAction::Report));
    }

    /// Ends the use of a connection by a request that the target rejected. A second copy of the
    /// rejection of an order could answer the next attempt of the same order, so its connection is
    /// closed.
    fn release_rejected(
        &mut self,
        now: MonotonicTime,
        work: &RunningWork,
        actions: &mut Vec<TargetAction>,
    ) {
        if work.may_resend() {
            self.pool.release(now, work.connection);
        } else {
            self.pool.close(work.connection, actions);
        }
    }

    fn apply_reply(&mut self, now: MonotonicTime, state: TargetState, latency: Duration) {
        self.suspect = false;
        self.draining_until =
            (state == TargetState::Draining).then(|| now.saturating_add(DRAINING_BACKOFF));
        if state != TargetState::Shed {
            self.latency = match self.latency {
                Duration::ZERO => latency,
                smoothed => (smoothed * (SMOOTHING_DIVISOR - 1) + latency) / SMOOTHING_DIVISOR,
            };
        }
    }

    /// Closes the connection of a request that failed, was cancelled or is resent. The slot of the
    /// request counts as used for `SLOT_RELEASE_DELAY`.
    fn abort(
        &mut self,
        now: MonotonicTime,
        connection: ConnectionId,
        actions: &mut Vec<TargetAction>,
    ) {
        self.pool.close(connection, actions);
        self.cut_until.push(now + SLOT_RELEASE_DELAY);
    }

    fn cancel(&mut self, now: MonotonicTime, ticket: TicketId, actions: &mut Vec<TargetAction>) {
        if let Some(work) = self.running.swap_remove(&ticket) {
            self.silence.record_failure(work.connection);
            self.abort(now, work.connection, actions);
        }
        let removed = self.queue.extract(|entry| entry.ticket == ticket);
        refuse(removed, SubFailure::Cancelled, actions);
    }

    /// Closes the connections of overdue requests that may be resent, and queues these requests
    /// again, so that they are sent on another connection.
    fn resend_overdue(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        while let Some(ticket) = self.overdue_ticket(now) {
            let Some(work) = self.running.swap_remove(&ticket) else {
                return;
            };
            self.abort(now, work.connection, actions);
            if !self.silence.is_dead(work.connection) {
                self.silence.doubt(self.pool.next_id());
                self.suspect = true;
                self.pool.close_idle(actions);
            }
            self.queue.push_first(QueuedTicket {
                resends_left: work.entry.resends_left - 1,
                ..work.entry
            });
        }
    }

    /// An overdue request that may be resent now.
    fn overdue_ticket(&self, now: MonotonicTime) -> Option<TicketId> {
        let is_overdue = |work: &RunningWork| {
            self.may_resend(now, work) && now >= self.silence.overdue_at(work.sent_at)
        };
        let found = self.running.iter().find(|(_, work)| is_overdue(work));
        found.map(|(ticket, _)| *ticket)
    }

    /// Whether a request may be resent now. A request isn't resent if this node would refuse it
    /// when it is queued again.
    fn may_resend(&self, now: MonotonicTime, work: &RunningWork) -> bool {
        let accepted = !self.ramp.is_cold() || (self.share.leads && !work.entry.extra);
        let accepted = accepted && !self.accepts_no_work(now) && now < work.entry.deadline;
        accepted && work.may_resend() && self.silence.allows_resend(work.connection)
    }

    /// Time at which the next request becomes overdue, among those that may be resent.
    fn overdue_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let requests = self.running.values();
        let requests = requests.filter(|work| self.may_resend(now, work));
        requests
            .map(|work| self.silence.overdue_at(work.sent_at))
            .min()
    }

    /// Maximum number of concurrent requests that this node may send to the target now.
    fn allowed_slots(&self, now: MonotonicTime) -> u32 {
        if self.accepts_no_work(now) {
            return 0;
        }
        let slots = self.share.slots.min(self.ramp.allowance(&self.limits));
        let degraded = self.suspect || self.draining_until.is_some();
        if degraded {
            slots.min(self.doubted_count() + 1)
        } else {
            slots
        }
    }

    /// Number of running requests on connections that may have stalled. While the target is suspect
    /// or draining, only one request may run in addition to them.
    fn doubted_count(&self) -> u32 {
        let requests = self.running.values();
        let doubted = requests.filter(|work| self.silence.is_doubted(work.connection));
        u32::try_from(doubted.count()).unwrap_or(u32::MAX)
    }

    /// Whether no request may be sent now, because this node holds no share or the target reported
    /// a short time ago that it is draining.
    fn accepts_no_work(&self, now: MonotonicTime) -> bool {
        self.share.is_empty() || self.draining_until.is_some_and(|until| now < until)
    }

    /// Refuses queued requests that have passed their deadline or that may not be sent to the
    /// target in its present state.
    fn refuse_unservable(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        let expired = self.queue.extract(|entry| entry.deadline <= now);
        refuse(expired, SubFailure::TimedOut, actions);
        if self.accepts_no_work(now) {
            let queued = self.queue.extract(|_| true);
            refuse(queued, SubFailure::NotOwner, actions);
        }
        if self.ramp.is_cold() {
            let leads = self.share.leads;
            let queued = self.queue.extract(|entry| entry.extra || !leads);
            refuse(queued, SubFailure::Cold, actions);
        }
    }

    fn send_queued(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        let allowed = self.allowed_slots(now) as usize;
        while self.slots_in_use() < allowed && self.queue.len() > 0 {
            let Some(connection) = self.pool.take_idle(now, actions) else {
                return;
            };
            let Some(entry) = self.queue.pop_first() else {
                return;
            };
            let ticket = entry.ticket;
            let work = RunningWork {
                connection,
                sent_at: now,
                entry,
            };
            self.running.insert(ticket, work);
            actions.push(TargetAction::Send { ticket, connection });
        }
    }

    /// Refuses the last queued request while the queue is over its limit or that request would miss
    /// its deadline.
    fn refuse_excess(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        let queue_limit = self.queue_limit as usize;
        while self.queue.len() > queue_limit || self.is_last_too_late(now) {
            let last = self.queue.pop_last().map(|entry| entry.ticket);
            refuse(last, SubFailure::QueueFull, actions);
        }
    }

    /// Whether the last queued request is expected to miss its deadline because of the requests
    /// ahead of it.
    fn is_last_too_late(&self, now: MonotonicTime) -> bool {
        let allowed = self.allowed_slots(now).max(1) as usize;
        let ahead = self.running.len() + self.queue.len().saturating_sub(1);
        if ahead < allowed {
            return false;
        }
        let rounds = u32::try_from(ahead / allowed + 1).unwrap_or(u32::MAX);
        let ends_at = now.saturating_add(self.latency.saturating_mul(rounds));
        self.queue
            .last_deadline()
            .is_some_and(|deadline| deadline < ends_at)
    }

    /// Number of slots that count as used, including those of requests whose connection was closed
    /// less than `SLOT_RELEASE_DELAY` ago.
    fn slots_in_use(&self) -> usize {
        self.running.len() + self.cut_until.len()
    }

    /// Refuses all queued requests if no connection is open or opening.
    fn refuse_without_connection(&mut self, actions: &mut Vec<TargetAction>) {
        if self.pool.len() == 0 {
            let queued = self.queue.extract(|_| true);
            refuse(queued, SubFailure::ConnectFailed, actions);
        }
    }

    fn maintain_connections(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        self.pool.close_stale(now, actions);
        if self.wants_connection() {
            self.pool.open(now, self.limits.connection_cost, actions);
        }
    }

    /// Maximum number of connections that this node may hold to the target.
    fn connection_limit(&self) -> usize {
        if self.share.is_empty() {
            return 0;
        }
        self.share.connections as usize
    }

    fn wants_connection(&self) -> bool {
        let wanted = self.share.slots.saturating_add(SPARE_CONNECTIONS) as usize;
        self.pool.len() < self.connection_limit().min(wanted)
    }

    fn wake_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let opening_at = self.pool.opening_wake_at(self.wants_connection());
        let slot_free_at = self.cut_until.iter().min().copied();
        let wake_times = [
            opening_at,
            self.pool.stale_at(),
            self.queue.first_deadline(),
            slot_free_at,
            self.overdue_at(now),
        ];
        wake_times.into_iter().flatten().min()
    }
}

fn refuse(
    tickets: impl IntoIterator<Item = TicketId>,
    failure: SubFailure,
    actions: &mut Vec<TargetAction>,
) {
    let refusals = tickets
        .into_iter()
        .map(|ticket| TargetAction::Refuse { ticket, failure });
    actions.extend(refusals);
}
