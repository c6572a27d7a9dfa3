//! Distinguishes a stalled connection from a slow target.

use super::ConnectionId;
use nutmegspread_model::MonotonicTime;
use std::time::Duration;

/// A request becomes overdue no earlier than this time after it was sent.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(50);
/// A request becomes overdue after this number of times the longest recent latency.
const LATENCY_FACTOR: u32 = 4;
/// With each reply, the longest recent latency is reduced by itself divided by this number, so that
/// one slow reply doesn't delay resending for long.
const DECAY_DIVISOR: u32 = 64;

/// Finds out whether overdue requests at one target are due to stalled connections.
///
/// A single overdue request is first resent on a new connection. If the target answers it quickly,
/// the older connections have stalled, and the overdue requests on them are resent as well. If not,
/// the target is slow, and its long latency makes later requests overdue later. A slow target thus
/// gets one additional request and not one for each unanswered request.
#[derive(Clone, Debug, Default)]
pub(super) struct SilenceWatch {
    /// Longest recent latency; it shrinks with each reply.
    longest: Duration,
    /// Connections with a smaller id than this may have stalled. `None` if none is in doubt.
    doubted: Option<ConnectionId>,
    /// Connections with a smaller id than this are known to have stalled. `None` if none is.
    dead: Option<ConnectionId>,
}

impl SilenceWatch {
    /// Time after which an unanswered request is overdue.
    pub(super) fn overdue_after(&self) -> Duration {
        (self.longest * LATENCY_FACTOR).max(MIN_OVERDUE_TIME)
    }

    /// Time at which a request that was sent at `sent_at` becomes overdue.
    pub(super) fn overdue_at(&self, sent_at: MonotonicTime) -> MonotonicTime {
        sent_at.saturating_add(self.overdue_after())
    }

    /// Whether an overdue request on the connection may be resent: the connection is known to have
    /// stalled, or no connection is in doubt, so that this request can be the first to be resent.
    pub(super) fn allows_resend(&self, connection: ConnectionId) -> bool {
        self.doubted.is_none() || self.is_dead(connection)
    }

    /// Whether the connection is known to have stalled.
    pub(super) fn is_dead(&self, connection: ConnectionId) -> bool {
        self.dead.is_some_and(|dead| connection < dead)
    }

    /// Whether the connection may have stalled.
    pub(super) fn is_doubted(&self, connection: ConnectionId) -> bool {
        self.doubted.is_some_and(|doubted| connection < doubted)
    }

    /// Marks all present connections as possibly stalled, until a request on a newer connection
    /// ends. `next` is the id of the next connection to be opened. An earlier mark stays.
    pub(super) fn doubt(&mut self, next: ConnectionId) {
        self.doubted.get_or_insert(next);
    }

    /// Records a reply on a connection. If the connection is newer than the possibly stalled ones,
    /// a quick reply shows that those have stalled, and a slow one that the target is slow.
    pub(super) fn record_reply(&mut self, connection: ConnectionId, latency: Duration) {
        let quick = latency < self.overdue_after();
        self.longest = latency.max(self.longest - self.longest / DECAY_DIVISOR);
        if let Some(doubted) = self.doubted.filter(|doubted| connection >= *doubted) {
            self.dead = if quick { Some(doubted) } else { self.dead };
            self.doubted = None;
        }
    }

    /// Records a failed or cancelled request. If its connection is newer than the possibly stalled
    /// ones, the request can no longer show whether those have stalled, so their mark is removed.
    pub(super) fn record_failure(&mut self, connection: ConnectionId) {
        self.doubted = self.doubted.filter(|doubted| connection < *doubted);
    }
}
