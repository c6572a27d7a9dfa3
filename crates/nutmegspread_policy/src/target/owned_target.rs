//! Admission, slots and connections of one target on one owner node.

use super::connection_pool::ConnectionPool;
use super::ticket_queue::{QueuedTicket, TicketQueue};
use super::warmth_ramp::{WarmthChange, WarmthRamp};
use super::{ConnectionId, TargetAction, TargetInput, TargetOutput, TicketId, TicketResult};
use crate::routing::TargetShare;
use indexmap::IndexMap;
use nutmegspread_model::{MonotonicTime, SubFailure, TargetLimits, TargetState};
use std::time::Duration;

/// Connections kept open beyond those that the slots need.
const SPARE_CONNECTIONS: u32 = 1;
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
    return_count: Option<u64>,
    queue: TicketQueue,
    running: IndexMap<TicketId, ConnectionId>,
    pool: ConnectionPool,
    ramp: WarmthRamp,
    suspect: bool,
    draining_until: MonotonicTime,
}

impl OwnedTarget {
    /// A target of which the node holds no share yet; it counts as cold.
    pub fn new(limits: TargetLimits, queue_limit: u32, now: MonotonicTime) -> Self {
        Self {
            limits,
            queue_limit,
            share: TargetShare::default(),
            return_count: None,
            queue: TicketQueue::default(),
            running: IndexMap::new(),
            pool: ConnectionPool::default(),
            ramp: WarmthRamp::new(),
            suspect: false,
            draining_until: now,
        }
    }

    /// Whether the target is in cold start.
    pub fn is_cold(&self) -> bool {
        self.ramp.is_cold()
    }

    /// Whether a connection to it went silent and no reply has come since.
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
        self.refuse_hopeless(now, &mut actions);
        self.send_queued(now, &mut actions);
        self.refuse_excess(&mut actions);
        self.adjust_connections(now, &mut actions);
        TargetOutput {
            actions,
            wake_at: self.wake_at(),
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
            }),
            TargetInput::Opened { connection } => self.pool.opened(now, connection, actions),
            TargetInput::OpenFailed { connection } => {
                self.pool.open_failed(now, connection);
                self.refuse_without_connection(actions);
            }
            TargetInput::Finished { ticket, result } => self.finish(now, ticket, result, actions),
            TargetInput::Cancel { ticket } => self.cancel(ticket, actions),
            TargetInput::Closed { connection } => self.pool.closed(connection),
            TargetInput::Share {
                share,
                return_count,
            } => self.change_share(share, return_count),
            TargetInput::ReportedCold { incarnation } => self.ramp.reported_cold(incarnation),
            TargetInput::ReportedWarm { incarnation } => {
                self.ramp.reported_warm(&self.limits, incarnation);
            }
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
        let Some(connection) = self.running.shift_remove(&ticket) else {
            return;
        };
        let change = match result {
            TicketResult::Replied {
                state, incarnation, ..
            } => {
                self.pool.release(now, connection);
                self.suspect = false;
                self.note_draining(now, state);
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
                self.pool.close(connection, actions);
                self.suspect |= failure == SubFailure::Silent;
                None
            }
        };
        actions.extend(change.map(|change| match change {
            WarmthChange::Cold(incarnation) => TargetAction::ReportCold { incarnation },
            WarmthChange::Warm(incarnation) => TargetAction::ReportWarm { incarnation },
        }));
    }

    fn note_draining(&mut self, now: MonotonicTime, state: TargetState) {
        self.draining_until = match state {
            TargetState::Draining => now + DRAINING_PAUSE,
            _ => now,
        };
    }

    fn cancel(&mut self, ticket: TicketId, actions: &mut Vec<TargetAction>) {
        if let Some(connection) = self.running.shift_remove(&ticket) {
            self.pool.close(connection, actions);
        }
        let removed = self.queue.extract(|entry| entry.ticket == ticket);
        refuse(removed, SubFailure::Cancelled, actions);
    }

    fn change_share(&mut self, share: TargetShare, return_count: u64) {
        if self.return_count.is_some_and(|known| known != return_count) {
            self.ramp.collapse();
        }
        self.return_count = Some(return_count);
        self.share = share;
    }

    /// Requests at a time that this node may have at the target now.
    fn allowed_slots(&self, now: MonotonicTime) -> u32 {
        if self.share.is_empty() || now < self.draining_until {
            return 0;
        }
        if self.ramp.is_cold() && !self.share.leads {
            return 0;
        }
        let slots = self.share.slots.min(self.ramp.allowance(&self.limits));
        if self.suspect { slots.min(1) } else { slots }
    }

    fn refuse_hopeless(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        let expired = self.queue.extract(|entry| entry.deadline <= now);
        refuse(expired, SubFailure::TimedOut, actions);
        if self.share.is_empty() || now < self.draining_until {
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
        while self.running.len() < allowed && self.queue.len() > 0 {
            let Some(connection) = self.pool.take_idle(now, actions) else {
                return;
            };
            let Some(entry) = self.queue.pop_first() else {
                return;
            };
            let ticket = entry.ticket;
            self.running.insert(ticket, connection);
            actions.push(TargetAction::Send { ticket, connection });
        }
    }

    fn refuse_excess(&mut self, actions: &mut Vec<TargetAction>) {
        while self.queue.len() > self.queue_limit as usize {
            let last = self.queue.pop_last().map(|entry| entry.ticket);
            refuse(last, SubFailure::QueueFull, actions);
        }
    }

    /// Refuses what waits when there is no connection and none can be opened now.
    fn refuse_without_connection(&mut self, actions: &mut Vec<TargetAction>) {
        if self.pool.len() == 0 {
            let queued = self.queue.extract(|_| true);
            refuse(queued, SubFailure::ConnectFailed, actions);
        }
    }

    fn adjust_connections(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        let limit = self.connection_limit();
        self.pool.shrink_to(limit, actions);
        if self.wants_connection(limit) {
            self.pool.open(now, self.limits.connection_cost, actions);
        }
    }

    fn connection_limit(&self) -> usize {
        if self.share.is_empty() {
            return 0;
        }
        self.share.connections as usize
    }

    fn wants_connection(&self, limit: usize) -> bool {
        let wanted = (self.share.slots + SPARE_CONNECTIONS) as usize;
        self.pool.len() < limit.min(wanted)
    }

    fn wake_at(&self) -> Option<MonotonicTime> {
        let limit = self.connection_limit();
        let opening = self.pool.has_opening() || self.wants_connection(limit);
        let open_at = opening.then(|| self.pool.wake_at());
        open_at.into_iter().chain(self.queue.first_deadline()).min()
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
