//! Work that was handed to a connection.

use super::ConnectionId;
use super::ticket_queue::QueuedTicket;
use nutmegspread_model::MonotonicTime;

/// One request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunningWork {
    pub(super) connection: ConnectionId,
    pub(super) sent_at: MonotonicTime,
    pub(super) entry: QueuedTicket,
}

impl RunningWork {
    /// Whether the request may be sent anew: it is idempotent and was not sent anew before.
    pub(super) fn may_resend(&self) -> bool {
        self.entry.resends_left > 0
    }
}
