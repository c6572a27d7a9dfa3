//! Generated histories of one owned target, and books of what it may do.

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
/// Least time without a reply after which a request may be sent anew.
const LEAST_SILENCE: Duration = Duration::from_millis(50);

/// What the outside knows of one target and of the node's share.
pub struct TargetBooks {
    pub seed: u64,
    limits: TargetLimits,
    share: TargetShare,
    now: MonotonicTime,
    waiting: IndexMap<TicketId, (bool, MonotonicTime)>,
    running: IndexMap<TicketId, ConnectionId>,
    opening: Option<ConnectionId>,
    last_open_at: Option<MonotonicTime>,
    idle: BTreeSet<ConnectionId>,
    /// Connections whose request was cut; they may only be closed.
    must_close: BTreeSet<ConnectionId>,
    ended: BTreeSet<TicketId>,
    /// When each ticket was handed to a connection, and whether it may be handed to another.
    handed: IndexMap<TicketId, (bool, MonotonicTime, bool)>,
    incarnation: Incarnation,
    return_count: u64,
    /// Whole replies since the target was last seen to be cold.
    replies_since_cold: u32,
    heard_warm: bool,
    /// Whether the target said in its last reply that it is cold.
    says_cold: bool,
    sent_at: IndexMap<TicketId, MonotonicTime>,
    pub taken_back: u32,
    pub cold_sends: u32,
    pub warm_sends: u32,
}

impl TargetBooks {
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
            handed: IndexMap::new(),
            incarnation: 1,
            return_count: 0,
            replies_since_cold: 0,
            heard_warm: false,
            says_cold: false,
            sent_at: IndexMap::new(),
            taken_back: 0,
            cold_sends: 0,
            warm_sends: 0,
        }
    }

    /// Draws an event and notes it in the books.
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
        let cut = matches!(result, TicketResult::Failed(failure) if failure != SubFailure::Shed);
        self.end_running(ticket, !cut);
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
            self.turned_cold();
        }
        self.says_cold = state == TargetState::Cold;
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
            self.turned_cold();
        }
        TargetInput::Share {
            share: self.share,
            return_count: self.return_count,
        }
    }

    /// A mark of another owner, later than anything known here.
    fn report(&mut self, rng: &mut Pcg64) -> TargetInput {
        self.incarnation += 1;
        let warm = rng.random_bool(0.5);
        self.turned_cold();
        self.heard_warm = warm;
        TargetInput::Reported(WarmthMark {
            return_count: self.return_count,
            incarnation: self.incarnation,
            cold_count: 0,
            warm,
        })
    }

    fn is_surely_cold(&self) -> bool {
        let little_work = self.replies_since_cold < self.limits.warm_after;
        self.says_cold || (!self.heard_warm && little_work)
    }

    fn turned_cold(&mut self) {
        self.replies_since_cold = 0;
        self.heard_warm = false;
        self.says_cold = false;
    }

    fn check(&mut self, action: TargetAction, now: MonotonicTime) {
        let seed = self.seed;
        match action {
            TargetAction::Open { connection } => {
                assert!(
                    self.opening.is_none(),
                    "seed {seed}: two openings at a time"
                );
                let due = self
                    .last_open_at
                    .is_none_or(|at| now >= at + self.limits.connection_cost);
                assert!(due, "seed {seed}: opened too fast");
                (self.opening, self.last_open_at) = (Some(connection), Some(now));
                let count = self.running.len() + self.idle.len() + 1;
                let most = self.share.connections as usize;
                assert!(count <= most, "seed {seed}: {count} of {most} connections");
            }
            TargetAction::Send { ticket, connection } => self.check_send(ticket, connection, now),
            TargetAction::Refuse { ticket, .. } => {
                assert!(
                    self.waiting.swap_remove(&ticket).is_some(),
                    "seed {seed}: {ticket}"
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
                let resent = !idle && !opening && self.take_back(connection, now);
                assert!(
                    opening || idle || resent,
                    "seed {seed}: {connection} is not there to close"
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
        let again = self.handed.contains_key(&ticket);
        self.handed.insert(ticket, (extra, deadline, !again));
        self.sent_at.insert(ticket, now);
        let running = self.running.len();
        assert!(
            running <= self.share.slots as usize,
            "seed {seed}: {running} at a time"
        );
        if self.is_surely_cold() {
            self.cold_sends += 1;
            assert!(!extra, "seed {seed}: extra work at a cold target");
            assert!(
                self.share.leads,
                "seed {seed}: a cold target is not led from here"
            );
            assert!(
                running <= self.limits.cold_slots as usize,
                "seed {seed}: {running} when cold"
            );
        } else {
            self.warm_sends += 1;
        }
    }

    /// Takes a ticket back from a silent connection: once, not before it is overdue, and only when
    /// the target may get it again.
    fn take_back(&mut self, connection: ConnectionId, now: MonotonicTime) -> bool {
        let Some((&ticket, _)) = self.running.iter().find(|(_, on)| **on == connection) else {
            return false;
        };
        let seed = self.seed;
        self.running.swap_remove(&ticket);
        let (extra, deadline, may) = self.handed[&ticket];
        assert!(may, "seed {seed}: {ticket} is sent a third time");
        let waited = now - self.sent_at[&ticket];
        assert!(
            waited >= LEAST_SILENCE,
            "seed {seed}: {ticket} is not overdue"
        );
        assert!(
            !self.share.is_empty(),
            "seed {seed}: {ticket} is cut without a share"
        );
        self.waiting.insert(ticket, (extra, deadline));
        self.taken_back += 1;
        true
    }

    /// Ends a running ticket as the process would, and keeps the books of its connection.
    fn end_running(&mut self, ticket: TicketId, reusable: bool) {
        let connection = self.running.swap_remove(&ticket).expect("a running ticket");
        assert!(
            self.ended.insert(ticket),
            "seed {}: {ticket} ended twice",
            self.seed
        );
        // A connection that must not be used again is given back to be closed at once.
        self.idle.insert(connection);
        if !reusable {
            self.must_close.insert(connection);
        }
    }
}

/// Runs random events against one owned target and checks each action.
pub fn check_target_history(seed: u64) -> TargetBooks {
    let mut rng = Pcg64::seed_from_u64(seed);
    let limits = TargetLimits {
        slots: rng.random_range(1..8),
        connections: rng.random_range(1..12),
        connection_cost: Duration::from_millis(rng.random_range(0..7)),
        cold_slots: rng.random_range(1..3),
        warm_after: rng.random_range(1..20),
    };
    let mut target = OwnedTarget::new(limits.clone(), QUEUE_LIMIT, Duration::ZERO);
    let mut books = TargetBooks::new(seed, limits);
    let mut wake_at: Option<MonotonicTime> = None;
    for number in 0..STEPS {
        // Now and then nothing happens for a while, so that requests become overdue.
        let longest = if rng.random_bool(0.02) { 200_000 } else { 4000 };
        let until = books.now + Duration::from_micros(rng.random_range(0..longest));
        while let Some(at) = wake_at.filter(|at| *at <= until) {
            books.now = books.now.max(at);
            wake_at = step(&mut target, &mut books, TargetInput::Tick);
        }
        books.now = until;
        if let Some(input) = books.draw_input(u64::from(number), target.is_cold(), &mut rng) {
            wake_at = step(&mut target, &mut books, input);
        }
    }
    finish(&mut target, &mut books);
    books
}

fn step(
    target: &mut OwnedTarget,
    books: &mut TargetBooks,
    input: TargetInput,
) -> Option<MonotonicTime> {
    let output = target.step(books.now, input);
    for action in output.actions {
        books.check(action, books.now);
    }
    let seed = books.seed;
    let left: Vec<_> = books.must_close.intersection(&books.idle).collect();
    assert!(
        left.is_empty(),
        "seed {seed}: cut connections {left:?} were kept"
    );
    assert!(
        books.waiting.len() <= QUEUE_LIMIT as usize,
        "seed {seed}: queue too long"
    );
    assert_eq!(target.running_count(), books.running.len(), "seed {seed}");
    assert_eq!(target.queued_count(), books.waiting.len(), "seed {seed}");
    assert!(
        output.wake_at.is_none_or(|at| at > books.now),
        "seed {seed}: wake-up is now"
    );
    output.wake_at
}

/// Every ticket ends: those that run by replies, those that wait by their deadlines.
fn finish(target: &mut OwnedTarget, books: &mut TargetBooks) {
    while let Some(ticket) = books.running.keys().next().copied() {
        books.end_running(ticket, false);
        let result = TicketResult::Failed(SubFailure::TimedOut);
        step(target, books, TargetInput::Finished { ticket, result });
        books.now += Duration::from_millis(1);
    }
    books.now += Duration::from_secs(10);
    step(target, books, TargetInput::Tick);
    assert!(
        books.waiting.is_empty(),
        "seed {}: {:?} still wait",
        books.seed,
        books.waiting
    );
}
