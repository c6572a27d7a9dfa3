//! What a node knows of one other node.

use super::{NodeReport, ViewDigest};
use nutmegspread_model::{Incarnation, MonotonicTime};
use std::time::Duration;

/// Latest report of another node and what it proves, on this node's clock.
#[derive(Clone, Debug, Default)]
pub struct PeerState {
    /// Its listener for other nodes, as its last message stated it.
    pub address: String,
    /// Whether it is of another cell.
    pub outside: bool,
    /// Its latest report; `None` before the first.
    pub report: Option<NodeReport>,
    /// When a newer report came, by any way.
    pub reported_at: MonotonicTime,
    /// When a message came straight from this process start.
    pub direct_at: Option<MonotonicTime>,
    /// Sequence of the latest message that came straight from it.
    pub direct_sequence: u64,
    /// When the latest report was made, at the earliest: it acknowledges a heartbeat sent then.
    pub echo_at: Option<MonotonicTime>,
    /// When it had this node in its view, at the earliest.
    pub acknowledged_at: Option<MonotonicTime>,
    /// Since when it reports the same view without a change.
    pub view_since: MonotonicTime,
    /// When its stream was last replaced or first used.
    pub stream_since: MonotonicTime,
}

impl PeerState {
    /// Process start that the latest report is of; 0 before the first report.
    pub fn incarnation(&self) -> Incarnation {
        self.report.as_ref().map_or(0, |report| report.incarnation)
    }

    /// Takes a report if it is newer than the one known; `false` when it is not.
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

    /// Whether a report came within the given time.
    pub fn is_fresh(&self, now: MonotonicTime, within: Duration) -> bool {
        self.report.is_some() && now.saturating_sub(self.reported_at) <= within
    }

    /// Whether a message came straight from it within the given time.
    pub fn is_direct(&self, now: MonotonicTime, within: Duration) -> bool {
        self.direct_at
            .is_some_and(|at| now.saturating_sub(at) <= within)
    }

    /// Whether it has held the given view, with a majority in it, since `since`, and held it
    /// still at `until`.
    pub fn held_view(&self, view: ViewDigest, since: MonotonicTime, until: MonotonicTime) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        report.view == view
            && report.quorate
            && self.view_since <= since
            && self.echo_at.is_some_and(|at| at >= until)
    }

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
