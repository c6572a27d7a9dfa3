//! State of the reports of usage on the control thread.

use crate::{UsageCounter, UsageSettings};
use indexmap::IndexSet;
use nutmegspread_tier::{
    DutyAction, DutyEvent, DutyStanding, DutyTime, NodeRun, ReportDuty, UsageAnswer, UsageMerge,
    UsageMessage, WindowNumber,
};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// State of the reports of usage on the control thread.
#[derive(Debug)]
pub struct UsageControl {
    /// Address of the platform for reports.
    pub address: SocketAddr,
    duty: RefCell<ReportDuty>,
    merge: RefCell<UsageMerge>,
    /// Time of day since which this node holds the duty.
    held_since: Cell<Option<Duration>>,
    /// Last window whose report was taken, and the time after its end.
    reported: Cell<Option<(WindowNumber, Duration)>>,
}

impl UsageControl {
    /// Creates the state of a node that starts now.
    pub fn new(settings: &UsageSettings, counter: &UsageCounter) -> Self {
        let run = counter.run().clone();
        let duty = ReportDuty::new(settings.duty(), run, counter.time());
        Self {
            address: settings.address,
            duty: RefCell::new(duty),
            merge: RefCell::default(),
            held_since: Cell::default(),
            reported: Cell::default(),
        }
    }

    /// Returns what to do now; see [`ReportDuty::next`].
    pub fn next(&self, now: &DutyTime, standing: DutyStanding) -> DutyAction {
        let merge = self.merge.borrow();
        self.duty.borrow_mut().next(now, standing, &merge)
    }

    /// Whether a report may be sent now.
    pub fn may_send(&self, now: &DutyTime) -> bool {
        self.duty.borrow().may_send(now)
    }

    /// Applies the result of an action, and returns the changes to log.
    pub fn apply(&self, now: &DutyTime, change: impl FnOnce(&mut ReportDuty)) -> Vec<DutyEvent> {
        let mut duty = self.duty.borrow_mut();
        change(&mut duty);
        let finalized = duty.record().and_then(|record| record.finalized.as_ref());
        if let Some(finalized) = finalized {
            self.merge.borrow_mut().set_finalized(finalized.window);
        }
        let events = duty.take_events();
        for event in &events {
            match event {
                DutyEvent::TakenOver { .. } => self.held_since.set(Some(now.true_time)),
                DutyEvent::Lost { .. } => self.held_since.set(None),
                DutyEvent::Skipped { .. } => {}
            }
        }
        events
    }

    /// Applies counts of a node.
    pub fn apply_counts(
        &self,
        counter: &UsageCounter,
        now: &DutyTime,
        message: &UsageMessage,
    ) -> UsageAnswer {
        let accepted = counter.settings().schedule.accepted(now.true_time);
        self.merge.borrow_mut().apply(message, &accepted)
    }

    /// Counts of the runs of nodes that have ended; see [`UsageMerge::ended_runs`].
    pub fn ended_runs(&self, live: &IndexSet<NodeRun>) -> Vec<UsageMessage> {
        self.merge.borrow().ended_runs(live)
    }

    /// Drops counts of windows that are not reported any more.
    pub fn drop_before(&self, oldest: WindowNumber) {
        self.merge.borrow_mut().drop_before(oldest);
    }

    /// Records that the report of a window was taken at this time after its end.
    pub fn record_reported(&self, window: WindowNumber, delay: Duration) {
        self.reported.set(Some((window, delay)));
    }

    /// Time of day since which this node holds the duty.
    pub fn held_since(&self) -> Option<Duration> {
        self.held_since.get()
    }

    /// Describes in one line who reports, which window, since when and how late.
    pub fn describe(&self) -> String {
        let duty = self.duty.borrow();
        let mut text = String::from("usage:");
        match duty.record() {
            Some(record) => {
                let window = record.finalized.as_ref().map(|finalized| finalized.window);
                let (holder, fence) = (&record.holder.node, record.fence);
                let _ = write!(
                    text,
                    " holder {holder}, fence {fence}, finalized {window:?}"
                );
            }
            None => text.push_str(" holder not known"),
        }
        if let Some(since) = self.held_since.get() {
            let _ = write!(text, ", held here since {} s", since.as_secs());
        }
        if let Some((window, delay)) = self.reported.get() {
            let delay = delay.as_millis();
            let _ = write!(text, ", reported {window} at {delay} ms after its end");
        }
        let counts = self.merge.borrow().len();
        let _ = write!(text, ", {counts} counts of nodes");
        text
    }
}
