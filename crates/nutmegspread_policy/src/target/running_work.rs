//! A request that was sent on a connection.

use super::ConnectionId;
use super::ticket_queue::QueuedTicket;
use nutmegspread_model::MonotonicTime;

/// One request that was sent to the target and has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunningWork {
    pub(super) connection: ConnectionId,
    pub(super) sent_at: MonotonicTime,
    /// The queue entry from which the request was sent.
    pub(super) entry: QueuedTicket,
}

impl RunningWork {
    /// Whether the request is idempotent and has not used up its resends.
    pub(super) fn may_resend(&self) -> bool {
        self.entry.resends_left > 0
    }
}
