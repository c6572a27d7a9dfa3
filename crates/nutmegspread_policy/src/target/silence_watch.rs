//! Tells a connection that went silent from a target that is slow.

use super::ConnectionId;
use nutmegspread_model::MonotonicTime;
use std::time::Duration;

/// Least time without a reply after which a connection is in doubt.
const LEAST_BOUND: Duration = Duration::from_millis(50);
/// Times the longest recent latency after which a connection is in doubt.
const LATENCY_FACTOR: u32 = 4;
/// Part by which the longest latency shrinks with each reply, as a divisor.
const DECAY_DIVISOR: u32 = 64;

/// What is known of silence at one target.
///
/// One request that is overdue is sent anew on a fresh connection. If that one is answered quickly,
/// the connections opened before it have lost their way and what is out on them is sent anew as
/// well; if not, the target is slow and the bound grows. So a slow target gets one request more,
/// not one for each that is out.
#[derive(Clone, Debug, Default)]
pub(super) struct SilenceWatch {
    longest: Duration,
    doubted: Option<ConnectionId>,
    dead: Option<ConnectionId>,
}

impl SilenceWatch {
    /// Time after which a request without reply is overdue.
    pub(super) fn bound(&self) -> Duration {
        (self.longest * LATENCY_FACTOR).max(LEAST_BOUND)
    }

    /// When a request sent at a time becomes overdue.
    pub(super) fn overdue_at(&self, sent_at: MonotonicTime) -> MonotonicTime {
        sent_at.saturating_add(self.bound())
    }

    /// Whether an overdue request on a connection is to be sent anew.
    pub(super) fn is_due(&self, connection: ConnectionId) -> bool {
        self.doubted.is_none() || self.is_dead(connection)
    }

    /// Whether a connection is known to have lost its way.
    pub(super) fn is_dead(&self, connection: ConnectionId) -> bool {
        self.dead.is_some_and(|dead| connection < dead)
    }

    /// Whether it is not known yet if a connection has lost its way.
    pub(super) fn is_doubted(&self, connection: ConnectionId) -> bool {
        self.doubted.is_some_and(|doubted| connection < doubted)
    }

    /// Puts every connection below `next` in doubt; a request is sent anew on a later one.
    pub(super) fn doubt(&mut self, next: ConnectionId) {
        self.doubted.get_or_insert(next);
    }

    /// Takes in a reply on a connection.
    pub(super) fn replied(&mut self, connection: ConnectionId, latency: Duration) {
        let quick = latency < self.bound();
        self.longest = latency.max(self.longest - self.longest / DECAY_DIVISOR);
        if let Some(doubted) = self.doubted.filter(|doubted| connection >= *doubted) {
            self.dead = if quick { Some(doubted) } else { self.dead };
            self.doubted = None;
        }
    }

    /// Takes in that a request on a connection failed.
    pub(super) fn failed(&mut self, connection: ConnectionId) {
        self.doubted = self.doubted.filter(|doubted| connection < *doubted);
    }
}
