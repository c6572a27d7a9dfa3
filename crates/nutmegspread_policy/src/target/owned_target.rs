//! Admission, slots and connections of one target on one owner node.

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

/// Connections kept open beyond those that the slots need.
const SPARE_CONNECTIONS: u32 = 1;
/// Time for which a slot stays taken after its request was cut, until the target has noticed.
const CUT_LINGER: Duration = Duration::from_millis(3);
/// Part of a new sample in the smoothed latency, as a divisor.
const SMOOTHING: u32 = 8;
/// Times that idempotent work is sent anew after silence.
const RESENDS: u32 = 1;
/// Pause between two requests to a target that says it is finishing.
const DRAINING_PAUSE: Duration = Duration::from_secs(5);

/// One target on a node that owns a share of it.
///
/// Every submitted ticket ends once: by [`TargetAction::Refuse`] when it was never handed to a
/// connection, else by the [`TargetInput::Finished`] or [`TargetInput::Cancel`] that the process
/// gives.
#[derive(Clone, Debug)]
pub struct OwnedTarget {
    limits: TargetLimits,
    queue_limit: u32,
    share: TargetShare,
    queue: TicketQueue,
    running: IndexMap<TicketId, RunningWork>,
    silence: SilenceWatch,
    cut_until: Vec<MonotonicTime>,
    latency: Duration,
    pool: ConnectionPool,
    ramp: WarmthRamp,
    suspect: bool,
    /// Until when a target that says it is finishing gets nothing; `None` when it does not.
    draining_until: Option<MonotonicTime>,
}

impl OwnedTarget {
    /// A target of which the node holds no share yet; it counts as cold.
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

    /// Whether the target is in cold start.
    pub fn is_cold(&self) -> bool {
        self.ramp.is_cold()
    }

    /// Whether a connection to it went silent or broke and no reply has come since; a restarted
    /// target shows in this way before its first reply.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Requests handed to connections and not ended.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait for a slot.
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// Connections open or opening.
    pub fn connection_count(&self) -> usize {
        self.pool.len()
    }

    /// Takes in one event.
    pub fn step(&mut self, now: MonotonicTime, input: TargetInput) -> TargetOutput {
        let mut actions = Vec::new();
        self.take_in(now, input, &mut actions);
        self.cut_until.retain(|until| now < *until);
        self.resend_silent(now, &mut actions);
        self.refuse_hopeless(now, &mut actions);
        self.pool.shrink_to(self.connection_limit(), &mut actions);
        self.send_queued(now, &mut actions);
        self.refuse_excess(now, &mut actions);
        self.renew_connections(now, &mut actions);
        TargetOutput {
            actions,
            wake_at: self.wake_at(now),
        }
    }

    fn take_in(&mut self, now: MonotonicTime, input: TargetInput, actions: &mut Vec<TargetAction>) {
        match input {
            TargetInput::Submit {
                ticket,
                extra,
                deadline,
            } => self.queue.push(QueuedTicket {
                ticket,
                extra,
                deadline,
                resends_left: RESENDS,
            }),
            TargetInput::SubmitOnce { ticket, deadline } => self.queue.push(QueuedTicket {
                ticket,
                extra: false,
                deadline,
                resends_left: 0,
            }),
            TargetInput::Opened { connection } => self.pool.opened(now, connection, actions),
            TargetInput::OpenFailed { connection } => {
                self.pool.open_failed(now, connection);
                self.refuse_without_connection(actions);
            }
            TargetInput::Finished { ticket, result } => self.finish(now, ticket, result, actions),
            TargetInput::Cancel { ticket } => self.cancel(now, ticket, actions),
            TargetInput::Closed { connection } => {
                self.pool.closed(connection);
                self.suspect = true;
            }
            TargetInput::Share {
                share,
                return_count,
            } => {
                self.ramp.returned(return_count);
                self.share = share;
            }
            TargetInput::Reported(mark) => self.ramp.reported(&self.limits, mark),
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
                self.silence.replied(connection, latency);
                self.take_reply(now, state, latency);
                self.ramp.replied(&self.limits, state, incarnation)
            }
            TicketResult::Failed(SubFailure::Shed) => {
                self.pool.release(now, connection);
                self.ramp.shed()
            }
            TicketResult::Failed(SubFailure::SnapshotGone) => {
                self.pool.release(now, connection);
                None
            }
            TicketResult::Failed(failure) => {
                self.silence.failed(connection);
                self.cut(now, connection, actions);
                self.suspect |= matches!(failure, SubFailure::Silent | SubFailure::ConnectionLost);
                if failure == SubFailure::Silent {
                    self.pool.close_idle(actions);
                }
                None
            }
        };
        actions.extend(mark.map(TargetAction::Report));
    }

    fn take_reply(&mut self, now: MonotonicTime, state: TargetState, latency: Duration) {
        self.suspect = false;
        self.draining_until =
            (state == TargetState::Draining).then(|| now.saturating_add(DRAINING_PAUSE));
        if state != TargetState::Shed {
            self.latency = match self.latency {
                Duration::ZERO => latency,
                known => (known * (SMOOTHING - 1) + latency) / SMOOTHING,
            };
        }
    }

    /// Closes a connection whose request did not end with a whole reply.
    fn cut(
        &mut self,
        now: MonotonicTime,
        connection: ConnectionId,
        actions: &mut Vec<TargetAction>,
    ) {
        self.pool.close(connection, actions);
        self.cut_until.push(now + CUT_LINGER);
    }

    fn cancel(&mut self, now: MonotonicTime, ticket: TicketId, actions: &mut Vec<TargetAction>) {
        if let Some(work) = self.running.swap_remove(&ticket) {
            self.silence.failed(work.connection);
            self.cut(now, work.connection, actions);
        }
        let removed = self.queue.extract(|entry| entry.ticket == ticket);
        refuse(removed, SubFailure::Cancelled, actions);
    }

    /// Sends anew, on a fresh connection, what is overdue on a connection in doubt.
    fn resend_silent(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        while let Some(ticket) = self.silent_ticket(now) {
            let Some(work) = self.running.swap_remove(&ticket) else {
                return;
            };
            self.cut(now, work.connection, actions);
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

    fn silent_ticket(&self, now: MonotonicTime) -> Option<TicketId> {
        let is_silent = |work: &RunningWork| {
            self.may_resend(now, work) && now >= self.silence.overdue_at(work.sent_at)
        };
        let found = self.running.iter().find(|(_, work)| is_silent(work));
        found.map(|(ticket, _)| *ticket)
    }

    /// Whether a request could be sent anew now; work that could only be refused stays out.
    fn may_resend(&self, now: MonotonicTime, work: &RunningWork) -> bool {
        let takes = !self.ramp.is_cold() || (self.share.leads && !work.entry.extra);
        let takes = takes && !self.is_closed(now) && now < work.entry.deadline;
        takes && work.may_resend() && self.silence.is_due(work.connection)
    }

    /// When the next request becomes overdue and could be sent anew.
    fn overdue_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let works = self.running.values();
        let works = works.filter(|work| self.may_resend(now, work));
        works
            .map(|work| self.silence.overdue_at(work.sent_at))
            .min()
    }

    /// Requests at a time that this node may have at the target now.
    fn allowed_slots(&self, now: MonotonicTime) -> u32 {
        if self.is_closed(now) {
            return 0;
        }
        let slots = self.share.slots.min(self.ramp.allowance(&self.limits));
        let doubtful = self.suspect || self.draining_until.is_some();
        if doubtful {
            slots.min(self.doubted_count() + 1)
        } else {
            slots
        }
    }

    /// Requests that are out on connections in doubt; a fresh one may run beside them.
    fn doubted_count(&self) -> u32 {
        let works = self.running.values();
        let doubted = works.filter(|work| self.silence.is_doubted(work.connection));
        u32::try_from(doubted.count()).unwrap_or(u32::MAX)
    }

    /// Whether no work may be sent: the node holds no share, or the target is finishing.
    fn is_closed(&self, now: MonotonicTime) -> bool {
        self.share.is_empty() || self.draining_until.is_some_and(|until| now < until)
    }

    fn refuse_hopeless(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        let expired = self.queue.extract(|entry| entry.deadline <= now);
        refuse(expired, SubFailure::TimedOut, actions);
        if self.is_closed(now) {
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
        while self.taken_slots() < allowed && self.queue.len() > 0 {
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

    /// Refuses the newest work beyond the queue's bound, and that which could not end in time.
    fn refuse_excess(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        let queue_limit = self.queue_limit as usize;
        while self.queue.len() > queue_limit || self.is_last_too_late(now) {
            let last = self.queue.pop_last().map(|entry| entry.ticket);
            refuse(last, SubFailure::QueueFull, actions);
        }
    }

    /// Whether the newest work waits behind so much that its deadline would pass.
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

    /// Slots in use, those of requests that were cut a moment ago included.
    fn taken_slots(&self) -> usize {
        self.running.len() + self.cut_until.len()
    }

    /// Refuses what waits when there is no connection and none can be opened now.
    fn refuse_without_connection(&mut self, actions: &mut Vec<TargetAction>) {
        if self.pool.len() == 0 {
            let queued = self.queue.extract(|_| true);
            refuse(queued, SubFailure::ConnectFailed, actions);
        }
    }

    fn renew_connections(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        self.pool.close_stale(now, actions);
        if self.wants_connection() {
            self.pool.open(now, self.limits.connection_cost, actions);
        }
    }

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
        let opening = self.pool.opening_wake_at(self.wants_connection());
        let slot_free = self.cut_until.iter().min().copied();
        let moments = [
            opening,
            self.pool.stale_at(),
            self.queue.first_deadline(),
            slot_free,
            self.overdue_at(now),
        ];
        moments.into_iter().flatten().min()
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
