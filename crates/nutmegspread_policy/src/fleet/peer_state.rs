//! The state that a node keeps for one peer.

use super::{NodeReport, ViewDigest};
use nutmegspread_model::{Incarnation, MonotonicTime};
use std::time::Duration;

/// The latest report of a peer, and times derived from the peer's heartbeats, on this node's clock.
///
/// A heartbeat carries the sender's report and may relay the latest reports of other nodes. A
/// report acknowledges, for each peer of its node, the newest heartbeat received.
#[derive(Clone, Debug, Default)]
pub struct PeerState {
    /// IP address and port of the peer's listener for peers, from the peer's last heartbeat
    /// received directly.
    pub address: String,
    /// Whether the peer belongs to another cell than this node. A cell is a group of nodes among
    /// which the ownership of targets is divided.
    pub outside: bool,
    /// Latest report of the peer; `None` before the first one.
    pub report: Option<NodeReport>,
    /// When this node received the latest report, directly or relayed by another node.
    pub reported_at: MonotonicTime,
    /// When this node last received a heartbeat directly from the peer's current incarnation.
    pub direct_at: Option<MonotonicTime>,
    /// Highest sequence in a heartbeat received directly from the peer's current incarnation; 0 if
    /// there is none.
    pub direct_sequence: u64,
    /// When this node sent the newest of its heartbeats that the peer has acknowledged. The peer
    /// made the acknowledging report after this time.
    pub echo_at: Option<MonotonicTime>,
    /// When this node sent the newest of its heartbeats that the peer has acknowledged in a report
    /// with this node as a member of the peer's view; not the time at which the acknowledgement
    /// was received.
    pub acknowledged_at: Option<MonotonicTime>,
    /// Since when the peer has reported the same view: the time at which this node received the
    /// first of an unbroken series of reports with equal digest, epoch and majority.
    pub view_since: MonotonicTime,
    /// When the stream to the peer was last replaced or, if later, last carried heartbeats in both
    /// directions; the wait before the next replacement is measured from this time.
    pub stream_since: MonotonicTime,
}

impl PeerState {
    /// Incarnation of the peer in its latest report; 0 before the first report.
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

    /// Whether the latest report was received, directly or relayed, at most `within` ago.
    pub fn is_fresh(&self, now: MonotonicTime, within: Duration) -> bool {
        self.report.is_some() && now.saturating_sub(self.reported_at) <= within
    }

    /// Whether a heartbeat was received directly from the peer at most `within` ago.
    pub fn is_direct(&self, now: MonotonicTime, within: Duration) -> bool {
        self.direct_at
            .is_some_and(|at| now.saturating_sub(at) <= within)
    }

    /// Whether the peer's reports show that its view was `view` from `since` to `until`, and that
    /// this view contained a majority.
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

    /// Stores the first report of an incarnation, and resets what is known of the earlier one.
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
