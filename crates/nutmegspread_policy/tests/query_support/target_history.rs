//! Random histories of one owned target, and a model of what it may do.

use indexmap::IndexMap;
use nutmegspread_model::*;
use nutmegspread_policy::routing::TargetShare;
use nutmegspread_policy::target::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeSet;
use std::time::Duration;

const STEPS: u32 = 500;
const QUEUE_LIMIT: u32 = 4;
/// Shortest time without a reply after which a request may be resent.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(50);

/// Model of one owned target: its limits, share, tickets and connections, against which each action
/// is checked.
pub struct TargetModel {
    pub seed: u64,
    limits: TargetLimits,
    share: TargetShare,
    now: MonotonicTime,
    /// For each queued ticket: whether it is extra, and its deadline.
    waiting: IndexMap<TicketId, (bool, MonotonicTime)>,
    /// Connection of each ticket that was sent and has not ended.
    running: IndexMap<TicketId, ConnectionId>,
    opening: Option<ConnectionId>,
    last_open_at: Option<MonotonicTime>,
    idle: BTreeSet<ConnectionId>,
    /// Connections whose request failed or was cancelled. They must be closed and not be reused.
    must_close: BTreeSet<ConnectionId>,
    ended: BTreeSet<TicketId>,
    /// For each ticket that was sent: whether it is extra, its deadline, and whether it may be
    /// resent.
    sent: IndexMap<TicketId, (bool, MonotonicTime, bool)>,
    incarnation: Incarnation,
    return_count: u64,
    /// Number of whole replies since the target last became cold.
    replies_since_cold: u32,
    /// Whether the last mark from another owner says that the target is warm, and the target has
    /// not become cold since.
    reported_warm: bool,
    /// Whether the state in the target's last reply is cold.
    replied_cold: bool,
    sent_at: IndexMap<TicketId, MonotonicTime>,
    /// Number of requests that were queued again to be resent.
    pub resends: u32,
    /// Number of requests sent while the target must be cold.
    pub cold_sends: u32,
    /// Number of all other requests sent.
    pub warm_sends: u32,
}

impl TargetModel {
    fn new(seed: u64, limits: TargetLimits) -> Self {
        Self {
            seed,
            limits,
            share: TargetShare::default(),
            now: Duration::ZERO,
            waiting: IndexMap::new(),
            running: IndexMap::new(),
            opening: None,
            last_open_at: None,
            idle: BTreeSet::new(),
            must_close: BTreeSet::new(),
            ended: BTreeSet::new(),
            sent: IndexMap::new(),
            incarnation: 1,
            return_count: 0,
            replies_since_cold: 0,
            reported_warm: false,
            replied_cold: false,
            sent_at: IndexMap::new(),
            resends: 0,
            cold_sends: 0,
            warm_sends: 0,
        }
    }

    /// Draws an input and updates the model with it.
    fn draw_input(&mut self, number: u64, was_cold: bool, rng: &mut Pcg64) -> Option<TargetInput> {
        match rng.random_range(0..20) {
            0..8 => Some(self.submit(number, rng)),
            8..11 => self.open_result(rng),
            11..16 => self.finish_one(was_cold, rng),
            16 => self.cancel_one(rng),
            17 => self.close_one(),
            18 => Some(self.change_share(rng)),
            _ => Some(self.report(rng)),
        }
    }

    fn submit(&mut self, ticket: TicketId, rng: &mut Pcg64) -> TargetInput {
        let extra = rng.random_bool(0.2);
        let longest = if rng.random_bool(0.2) { 600 } else { 60 };
        let deadline = self.now + Duration::from_millis(rng.random_range(0..longest));
        self.waiting.insert(ticket, (extra, deadline));
        TargetInput::Submit {
            ticket,
            extra,
            deadline,
        }
    }

    fn open_result(&mut self, rng: &mut Pcg64) -> Option<TargetInput> {
        let connection = self.opening.take()?;
        if rng.random_bool(0.1) {
            return Some(TargetInput::OpenFailed { connection });
        }
        self.idle.insert(connection);
        Some(TargetInput::Opened { connection })
    }

    fn finish_one(&mut self, was_cold: bool, rng: &mut Pcg64) -> Option<TargetInput> {
        let index = rng.random_range(0..self.running.len().max(1));
        let ticket = *self.running.get_index(index)?.0;
        let failures = [
            SubFailure::Silent,
            SubFailure::BadReply,
            SubFailure::ConnectionLost,
        ];
        let result = match rng.random_range(0..12) {
            0 => TicketResult::Failed(failures[rng.random_range(0..3)]),
            1 => TicketResult::Failed(SubFailure::Shed),
            _ => self.draw_reply(was_cold, rng),
        };
        let failed = matches!(result, TicketResult::Failed(failure) if failure != SubFailure::Shed);
        self.end_running(ticket, !failed);
        Some(TargetInput::Finished { ticket, result })
    }

    fn draw_reply(&mut self, was_cold: bool, rng: &mut Pcg64) -> TicketResult {
        let state = match rng.random_range(0..30) {
            0 => TargetState::Cold,
            1 => TargetState::Shed,
            2 => TargetState::Draining,
            _ => TargetState::Warm,
        };
        let restarted = rng.random_bool(0.01);
        self.incarnation += u64::from(restarted);
        if restarted || (state == TargetState::Cold && !was_cold) {
            self.become_cold();
        }
        self.replied_cold = state == TargetState::Cold;
        self.replies_since_cold += 1;
        let latency = Duration::from_micros(rng.random_range(100..9000));
        TicketResult::Replied {
            state,
            incarnation: self.incarnation,
            latency,
        }
    }

    fn cancel_one(&mut self, rng: &mut Pcg64) -> Option<TargetInput> {
        let index = rng.random_range(0..self.running.len().max(1));
        let waiting = self.waiting.keys().next().copied();
        match waiting.filter(|_| rng.random_bool(0.5)) {
            Some(ticket) => Some(TargetInput::Cancel { ticket }),
            None => {
                let ticket = *self.running.get_index(index)?.0;
                self.end_running(ticket, false);
                Some(TargetInput::Cancel { ticket })
            }
        }
    }

    fn close_one(&mut self) -> Option<TargetInput> {
        let connection = self.idle.pop_first()?;
        Some(TargetInput::Closed { connection })
    }

    fn change_share(&mut self, rng: &mut Pcg64) -> TargetInput {
        self.share = TargetShare {
            slots: rng.random_range(0..=self.limits.slots),
            connections: rng.random_range(0..=self.limits.connections),
            leads: rng.random_bool(0.7),
        };
        if rng.random_bool(0.2) {
            self.return_count += 1;
            self.become_cold();
        }
        TargetInput::Share {
            share: self.share,
            return_count: self.return_count,
        }
    }

    /// Draws a mark from another owner that is later than all earlier marks.
    fn report(&mut self, rng: &mut Pcg64) -> TargetInput {
        self.incarnation += 1;
        let warm = rng.random_bool(0.5);
        self.become_cold();
        self.reported_warm = warm;
        TargetInput::Reported(WarmthMark {
            return_count: self.return_count,
            incarnation: self.incarnation,
            cold_count: 0,
            warm,
        })
    }

    /// Whether the target must count as cold, given its replies and the marks from other owners.
    fn must_be_cold(&self) -> bool {
        let few_replies = self.replies_since_cold < self.limits.warm_after;
        self.replied_cold || (!self.reported_warm && few_replies)
    }

    fn become_cold(&mut self) {
        self.replies_since_cold = 0;
        self.reported_warm = false;
        self.replied_cold = false;
    }

    fn check(&mut self, action: TargetAction, now: MonotonicTime) {
        let seed = self.seed;
        match action {
            TargetAction::Open { connection } => {
                assert!(
                    self.opening.is_none(),
                    "seed {seed}: two connections are opening at once"
                );
                let may_open = self
                    .last_open_at
                    .is_none_or(|at| now >= at + self.limits.connection_cost);
                assert!(
                    may_open,
                    "seed {seed}: connection opened before connection_cost has passed"
                );
                (self.opening, self.last_open_at) = (Some(connection), Some(now));
                let count = self.running.len() + self.idle.len() + 1;
                let limit = self.share.connections as usize;
                assert!(
                    count <= limit,
                    "seed {seed}: {count} of {limit} connections"
                );
            }
            TargetAction::Send { ticket, connection } => self.check_send(ticket, connection, now),
            TargetAction::Refuse { ticket, .. } => {
                assert!(
                    self.waiting.swap_remove(&ticket).is_some(),
                    "seed {seed}: {ticket} was refused but is not queued"
                );
                assert!(
                    self.ended.insert(ticket),
                    "seed {seed}: {ticket} ended twice"
                );
            }
            TargetAction::Close { connection } => {
                let opening = self
                    .opening
                    .take_if(|opening| *opening == connection)
                    .is_some();
                let idle = self.idle.remove(&connection);
                let resent = !idle && !opening && self.requeue_stalled(connection, now);
                assert!(
                    opening || idle || resent,
                    "seed {seed}: closed connection {connection} does not exist"
                );
            }
            TargetAction::Report(_) => {}
        }
    }

    fn check_send(&mut self, ticket: TicketId, connection: ConnectionId, now: MonotonicTime) {
        let seed = self.seed;
        let (extra, deadline) = self.waiting.swap_remove(&ticket).expect("a waiting ticket");
        assert!(now < deadline, "seed {seed}: sent after its deadline");
        assert!(
            self.idle.remove(&connection),
            "seed {seed}: {connection} is not idle"
        );
        self.running.insert(ticket, connection);
        let resent = self.sent.contains_key(&ticket);
        self.sent.insert(ticket, (extra, deadline, !resent));
        self.sent_at.insert(ticket, now);
        let running = self.running.len();
        assert!(
            running <= self.share.slots as usize,
            "seed {seed}: {running} concurrent requests"
        );
        if self.must_be_cold() {
            self.cold_sends += 1;
            assert!(!extra, "seed {seed}: extra request to a cold target");
            assert!(
                self.share.leads,
                "seed {seed}: request to a cold target without the lead"
            );
            assert!(
                running <= self.limits.cold_slots as usize,
                "seed {seed}: {running} concurrent requests to a cold target"
            );
        } else {
            self.warm_sends += 1;
        }
    }

    /// Queues the ticket of a stalled connection again, and checks that it is overdue, wasn't
    /// resent before and may be sent to the target. Returns whether the connection had a ticket.
    fn requeue_stalled(&mut self, connection: ConnectionId, now: MonotonicTime) -> bool {
        let Some((&ticket, _)) = self.running.iter().find(|(_, on)| **on == connection) else {
            return false;
        };
        let seed = self.seed;
        self.running.swap_remove(&ticket);
        let (extra, deadline, may_resend) = self.sent[&ticket];
        assert!(may_resend, "seed {seed}: {ticket} is sent a third time");
        let waited = now - self.sent_at[&ticket];
        assert!(
            waited >= MIN_OVERDUE_TIME,
            "seed {seed}: {ticket} is not overdue"
        );
        assert!(
            !self.share.is_empty(),
            "seed {seed}: {ticket} is resent without a share"
        );
        self.waiting.insert(ticket, (extra, deadline));
        self.resends += 1;
        true
    }

    /// Ends a running ticket as the process would, and updates the state of its connection.
    fn end_running(&mut self, ticket: TicketId, reusable: bool) {
        let connection = self.running.swap_remove(&ticket).expect("a running ticket");
        assert!(
            self.ended.insert(ticket),
            "seed {}: {ticket} ended twice",
            self.seed
        );
        // A connection that must not be reused counts as idle until the step closes it.
        self.idle.insert(connection);
        if !reusable {
            self.must_close.insert(connection);
        }
    }
}

/// Applies random inputs to one owned target and checks each action against the model.
pub fn check_target_history(seed: u64) -> TargetModel {
    let mut rng = Pcg64::seed_from_u64(seed);
    let limits = TargetLimits {
        slots: rng.random_range(1..8),
        connections: rng.random_range(1..12),
        connection_cost: Duration::from_millis(rng.random_range(0..7)),
        cold_slots: rng.random_range(1..3),
        warm_after: rng.random_range(1..20),
    };
    let mut target = OwnedTarget::new(limits.clone(), QUEUE_LIMIT, Duration::ZERO);
    let mut model = TargetModel::new(seed, limits);
    let mut wake_at: Option<MonotonicTime> = None;
    for number in 0..STEPS {
        // Some waits are long, so that requests become overdue.
        let longest = if rng.random_bool(0.02) { 200_000 } else { 4000 };
        let until = model.now + Duration::from_micros(rng.random_range(0..longest));
        while let Some(at) = wake_at.filter(|at| *at <= until) {
            model.now = model.now.max(at);
            wake_at = step(&mut target, &mut model, TargetInput::Tick);
        }
        model.now = until;
        if let Some(input) = model.draw_input(u64::from(number), target.is_cold(), &mut rng) {
            wake_at = step(&mut target, &mut model, input);
        }
    }
    finish(&mut target, &mut model);
    model
}

fn step(
    target: &mut OwnedTarget,
    model: &mut TargetModel,
    input: TargetInput,
) -> Option<MonotonicTime> {
    let output = target.step(model.now, input);
    for action in output.actions {
        model.check(action, model.now);
    }
    let seed = model.seed;
    let kept: Vec<_> = model.must_close.intersection(&model.idle).collect();
    assert!(
        kept.is_empty(),
        "seed {seed}: connections {kept:?} were not closed after a failure"
    );
    assert!(
        model.waiting.len() <= QUEUE_LIMIT as usize,
        "seed {seed}: queue over its limit"
    );
    assert_eq!(target.running_count(), model.running.len(), "seed {seed}");
    assert_eq!(target.queued_count(), model.waiting.len(), "seed {seed}");
    assert!(
        output.wake_at.is_none_or(|at| at > model.now),
        "seed {seed}: wake_at is not in the future"
    );
    output.wake_at
}

/// Ends the running tickets with failures and lets the waiting ones reach their deadlines, then
/// checks that none is left.
fn finish(target: &mut OwnedTarget, model: &mut TargetModel) {
    while let Some(ticket) = model.running.keys().next().copied() {
        model.end_running(ticket, false);
        let result = TicketResult::Failed(SubFailure::TimedOut);
        step(target, model, TargetInput::Finished { ticket, result });
        model.now += Duration::from_millis(1);
    }
    model.now += Duration::from_secs(10);
    step(target, model, TargetInput::Tick);
    assert!(
        model.waiting.is_empty(),
        "seed {}: {:?} still wait",
        model.seed,
        model.waiting
    );
}
