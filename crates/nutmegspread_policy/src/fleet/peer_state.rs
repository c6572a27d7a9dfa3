//! The state that a node keeps for one peer.

use super::{NodeReport, ViewDigest};
use nutmegspread_model::{Incarnation, MonotonicTime};
use std::time::Duration;

/// The latest report of a peer, and times derived from its messages, on this node's clock.
#[derive(Clone, Debug, Default)]
pub struct PeerState {
    /// IP address and port of the peer's listener for peers, from its last direct message.
    pub address: String,
    /// Whether the peer belongs to another cell.
    pub outside: bool,
    /// Latest report of the peer; `None` before the first one.
    pub report: Option<NodeReport>,
    /// When the latest report was received, directly or through another node.
    pub reported_at: MonotonicTime,
    /// When a message was last received directly from the peer's current process start.
    pub direct_at: Option<MonotonicTime>,
    /// Sequence of the latest message received directly from the peer.
    pub direct_sequence: u64,
    /// Earliest time at which the latest report can have been made: the send time of the newest
    /// heartbeat of this node that it acknowledges.
    pub echo_at: Option<MonotonicTime>,
    /// Send time of the newest heartbeat of this node that the peer acknowledged while this node
    /// was a member of the peer's view.
    pub acknowledged_at: Option<MonotonicTime>,
    /// Since when the peer has reported the same view without a change.
    pub view_since: MonotonicTime,
    /// When the stream to the peer was last replaced, or last known to work.
    pub stream_since: MonotonicTime,
}

impl PeerState {
    /// Process start of the latest report; 0 before the first report.
    pub fn incarnation(&self) -> Incarnation {
        self.report.as_ref().map_or(0, |report| report.incarnation)
    }

    /// Stores a report if it is newer than the known one; returns whether it was.
    pub fn accept(&mut self, now: MonotonicTime, report: NodeReport) -> bool {
        let Some(known) = &self.report else {
            self.restart(now, report);
            return true;
        };
        if report.incarnation > known.incarnation {
            self.restart(now, report);
            return true;
        }
        if report.incarnation < known.incarnation || report.sequence <= known.sequence {
            return false;
        }
        if view_state(known) != view_state(&report) {
            self.view_since = now;
        }
        self.reported_at = now;
        self.report = Some(report);
        true
    }

    /// Whether the latest report was received, directly or not, at most `within` ago.
    pub fn is_fresh(&self, now: MonotonicTime, within: Duration) -> bool {
        self.report.is_some() && now.saturating_sub(self.reported_at) <= within
    }

    /// Whether a message was received directly from the peer at most `within` ago.
    pub fn is_direct(&self, now: MonotonicTime, within: Duration) -> bool {
        self.direct_at
            .is_some_and(|at| now.saturating_sub(at) <= within)
    }

    /// Whether the peer held the view `view`, with a majority in it, without a change from `since`
    /// to `until`.
    pub fn has_held_view(
        &self,
        view: ViewDigest,
        since: MonotonicTime,
        until: MonotonicTime,
    ) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        report.view == view
            && report.quorate
            && self.view_since <= since
            && self.echo_at.is_some_and(|at| at >= until)
    }

    /// Replaces the state by that of a new process start.
    fn restart(&mut self, now: MonotonicTime, report: NodeReport) {
        self.reported_at = now;
        self.view_since = now;
        self.direct_at = None;
        self.direct_sequence = 0;
        self.echo_at = None;
        self.acknowledged_at = None;
        self.report = Some(report);
    }
}

fn view_state(report: &NodeReport) -> (ViewDigest, u64, bool) {
    (report.view, report.view_epoch, report.quorate)
}
