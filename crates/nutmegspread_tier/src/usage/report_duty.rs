//! Which node reports usage, and when it writes the usage object and sends reports.

use crate::usage::duty_action::{
    DutyAction, DutyEvent, DutyStanding, ReportOutcome, StoredUsage, WriteOutcome,
};
use crate::usage::duty_settings::DutySettings;
use crate::usage::duty_time::DutyTime;
use crate::usage::report_permission::ReportPermission;
use crate::usage::usage_merge::UsageMerge;
use crate::usage::usage_record::{FinalCounts, NodeRun, UsageRecord, UsageReport};
use crate::usage::usage_window::WindowNumber;
use std::time::{Duration, Instant};

/// Time after a failed call of the store before the next one.
const STORE_RETRY_TIME: Duration = Duration::from_millis(300);
/// Time between reads of a node that waits to take over. A last write of the holder that it has not
/// read would make its own write fail at the end of the wait, and a report late.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a report without an answer before it is repeated.
const REPORT_RETRY_TIME: Duration = Duration::from_secs(1);
/// Time for which a node has to be the candidate before it finalizes a window: nodes send their
/// counts to the candidate within a second after they learn which one it is.
const SETTLING_TIME: Duration = Duration::from_millis(1500);

/// A write whose result is not known yet.
#[derive(Clone, Debug)]
struct PendingWrite {
    record: UsageRecord,
    permission: ReportPermission,
}

/// Decides which node reports usage, and when it writes the usage object and sends reports.
///
/// Load pattern: holders that are killed, paused or cut off at any step, calls whose answers are lost
/// or that are executed late. At most one action is carried out at a time, and its result is reported
/// before the next one is asked for. The protocol is described in docs/design/0014-usage-reports.md.
#[derive(Clone, Debug)]
pub struct ReportDuty {
    settings: DutySettings,
    own: NodeRun,
    started: DutyTime,
    /// Time since which this node is the candidate.
    candidate_since: Option<DutyTime>,
    /// The usage object; the outer `None` if it has to be read, the inner one if it does not exist.
    stored: Option<Option<StoredUsage>>,
    /// Revision of the object in the last answer to a read, and when the first such answer with it
    /// arrived.
    observed: Option<(Option<u64>, DutyTime)>,
    /// The holder and its fencing token, as last read or written.
    holder: Option<(NodeRun, u64)>,
    pending: Option<PendingWrite>,
    permission: Option<ReportPermission>,
    /// Largest number of a write that is known.
    last_write: u64,
    /// Largest fencing token that is known.
    last_fence: u64,
    /// First window to finalize in an object that was removed and created again.
    first: Option<WindowNumber>,
    /// Last window whose report was answered, or that is not reported any more.
    settled: Option<WindowNumber>,
    next_store_call: Option<Instant>,
    /// Time of the next read while this node waits to take over.
    next_read: Option<Instant>,
    next_report: Option<Instant>,
    events: Vec<DutyEvent>,
}

impl ReportDuty {
    /// Creates the state of a node that starts at `now`.
    pub fn new(settings: DutySettings, own: NodeRun, now: DutyTime) -> Self {
        Self {
            settings,
            own,
            started: now,
            candidate_since: None,
            stored: None,
            observed: None,
            holder: None,
            pending: None,
            permission: None,
            last_write: 0,
            last_fence: 0,
            first: None,
            settled: None,
            next_store_call: None,
            next_read: None,
            next_report: None,
            events: Vec::new(),
        }
    }

    /// Returns what to do now. A write or a report has to begin at once.
    pub fn next(
        &mut self,
        now: &DutyTime,
        standing: DutyStanding,
        merge: &UsageMerge,
    ) -> DutyAction {
        self.observe_standing(now, standing);
        self.settle_overdue(now);
        let Some(candidate_since) = self.candidate_since else {
            return DutyAction::Wait;
        };
        if self.has_report_to_send() && is_reached(self.next_report, now) && self.may_send(now) {
            return self.begin_report(now);
        }
        if !is_reached(self.next_store_call, now) {
            return DutyAction::Wait;
        }
        let is_settled = now.least_since(&candidate_since) >= SETTLING_TIME;
        match &self.stored {
            None => DutyAction::Read,
            Some(None) if is_settled => self.create(now),
            Some(None) => DutyAction::Wait,
            Some(Some(_)) if !self.is_holder() => self.take_over(now, standing),
            Some(Some(_)) if self.has_report_to_send() => self.renew(now),
            Some(Some(_)) if is_settled => self.finalize_next(now, standing, merge),
            Some(Some(_)) => DutyAction::Wait,
        }
    }

    /// Whether a report may be sent at `now`.
    pub fn may_send(&self, now: &DutyTime) -> bool {
        self.is_holder()
            && self
                .permission
                .is_some_and(|permission| permission.allows(now))
    }

    /// Applies the answer to a read; `None` if the object does not exist.
    pub fn apply_read(&mut self, now: &DutyTime, stored: Option<StoredUsage>) {
        self.next_read = Some(now.monotonic + READ_INTERVAL);
        let revision = stored.as_ref().map(|stored| stored.revision);
        if self.observed.is_none_or(|(known, _)| known != revision) {
            self.observed = Some((revision, *now));
        }
        let pending = self.pending.take();
        if let Some(StoredUsage { record, .. }) = &stored {
            self.observe_holder(record);
            if let Some(pending) = pending.filter(|pending| pending.record == *record) {
                self.apply_accepted(&pending);
            }
        }
        self.stored = Some(stored);
    }

    /// Records that a read failed.
    pub fn apply_failed_read(&mut self, now: &DutyTime) {
        self.next_store_call = Some(now.monotonic + STORE_RETRY_TIME);
    }

    /// Applies the result of a write.
    pub fn apply_write(&mut self, now: &DutyTime, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Accepted(revision) => {
                if let Some(pending) = self.pending.take() {
                    self.apply_accepted(&pending);
                    let record = pending.record;
                    self.observed = Some((Some(revision), *now));
                    self.stored = Some(Some(StoredUsage { revision, record }));
                }
            }
            // The object is read before anything else is done, also before a report: the write may
            // have been made.
            WriteOutcome::Unknown => {
                self.stored = None;
                self.next_store_call = Some(now.monotonic + STORE_RETRY_TIME);
            }
        }
    }

    /// Applies the result of a report.
    pub fn apply_report(&mut self, now: &DutyTime, window: WindowNumber, outcome: ReportOutcome) {
        let interval = match outcome {
            ReportOutcome::Taken => {
                self.settled = self.settled.max(Some(window));
                self.settings.call_interval()
            }
            ReportOutcome::Unknown => REPORT_RETRY_TIME.max(self.settings.call_interval()),
            ReportOutcome::NotSent => Duration::ZERO,
        };
        self.next_report = Some(now.monotonic + interval);
    }

    /// Whether this node holds the duty, as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.record()
            .is_some_and(|record| record.holder == self.own)
    }

    /// The usage object as it was last read or written.
    pub fn record(&self) -> Option<&UsageRecord> {
        let stored = self.stored.as_ref()?.as_ref()?;
        Some(&stored.record)
    }

    /// Returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<DutyEvent> {
        std::mem::take(&mut self.events)
    }

    /// A node that becomes the candidate reads the object again, as another one may have held the
    /// duty meanwhile.
    fn observe_standing(&mut self, now: &DutyTime, standing: DutyStanding) {
        if !standing.is_candidate {
            self.candidate_since = None;
        } else if self.candidate_since.is_none() {
            self.candidate_since = Some(*now);
            if !self.is_holder() {
                self.stored = None;
            }
        }
    }

    /// Gives up the report of the finalized window if it is overdue by too much.
    fn settle_overdue(&mut self, now: &DutyTime) {
        let oldest = self.settings.schedule.oldest(now.true_time);
        let window = self.finalized().map(|finalized| finalized.window);
        if let Some(window) = window.filter(|window| *window < oldest && self.has_report_to_send())
        {
            self.settled = Some(window);
            let (first, last) = (window, window);
            self.events.push(DutyEvent::Skipped { first, last });
        }
    }

    /// Revision of the usage object as it was last read or written.
    fn revision(&self) -> Option<u64> {
        let stored = self.stored.as_ref()?.as_ref()?;
        Some(stored.revision)
    }

    fn finalized(&self) -> Option<&FinalCounts> {
        self.record()?.finalized.as_ref()
    }

    /// Whether this node holds the duty, and the report of the finalized window was not answered.
    fn has_report_to_send(&self) -> bool {
        let window = self.finalized().map(|finalized| finalized.window);
        self.is_holder() && window > self.settled
    }

    fn begin_report(&mut self, now: &DutyTime) -> DutyAction {
        self.next_report = Some(now.monotonic + REPORT_RETRY_TIME);
        match self.record() {
            Some(UsageRecord {
                fence,
                finalized: Some(finalized),
                ..
            }) => DutyAction::Send(UsageReport {
                holder: self.own.node.clone(),
                fence: *fence,
                finalized: finalized.clone(),
            }),
            _ => DutyAction::Wait,
        }
    }

    /// Creates the object. If there was one before, windows that it knew may have been reported, so
    /// that the present window is the first one.
    fn create(&mut self, now: &DutyTime) -> DutyAction {
        if self.last_fence > 0 {
            self.first = Some(self.settings.schedule.number(now.true_time));
        }
        let fence = self.last_fence.saturating_add(1);
        self.begin_write(now, None, fence, None)
    }

    /// Takes over from another holder, once the object has been unchanged for long enough.
    fn take_over(&mut self, now: &DutyTime, standing: DutyStanding) -> DutyAction {
        let wait = self.settings.takeover_time(standing.is_cut_off);
        let observed = self.observed;
        if observed.is_none_or(|(_, since)| now.least_since(&since) < wait) {
            return if is_reached(self.next_read, now) {
                DutyAction::Read
            } else {
                DutyAction::Wait
            };
        }
        let finalized = self.finalized().cloned();
        let fence = self.last_fence.saturating_add(1);
        self.begin_write(now, self.revision(), fence, finalized)
    }

    /// Writes the same counts again, when the permission of the last write has ended.
    fn renew(&mut self, now: &DutyTime) -> DutyAction {
        if !is_reached(self.next_report, now) {
            return DutyAction::Wait;
        }
        let finalized = self.finalized().cloned();
        self.begin_write(now, self.revision(), self.last_fence, finalized)
    }

    /// Finalizes the next window once its counts should have arrived.
    fn finalize_next(
        &mut self,
        now: &DutyTime,
        standing: DutyStanding,
        merge: &UsageMerge,
    ) -> DutyAction {
        let schedule = self.settings.schedule;
        let follows = match self.finalized() {
            Some(finalized) => finalized.window.saturating_add(1),
            None => self.first.unwrap_or_else(|| {
                let started = schedule.number(self.started.true_time);
                let counted = merge.first_window();
                counted.map_or(started, |counted| counted.min(started))
            }),
        };
        let oldest = schedule.oldest(now.true_time);
        let window = follows.max(oldest);
        let delay = self.settings.final_delay(standing.is_cut_off);
        if now.true_time < schedule.end(window).saturating_add(delay) {
            return DutyAction::Wait;
        }
        if follows < window {
            let (first, last) = (follows, window - 1);
            self.events.push(DutyEvent::Skipped { first, last });
        }
        let finalized = merge.sum(window);
        self.begin_write(now, self.revision(), self.last_fence, Some(finalized))
    }

    fn begin_write(
        &mut self,
        now: &DutyTime,
        revision: Option<u64>,
        fence: u64,
        finalized: Option<FinalCounts>,
    ) -> DutyAction {
        self.last_write = self.last_write.saturating_add(1);
        let record = UsageRecord {
            holder: self.own.clone(),
            fence,
            write: self.last_write,
            finalized,
        };
        self.pending = Some(PendingWrite {
            record: record.clone(),
            permission: ReportPermission::new(*now, self.settings.permission_time()),
        });
        DutyAction::Write { revision, record }
    }

    fn apply_accepted(&mut self, accepted: &PendingWrite) {
        self.permission = Some(accepted.permission);
        self.observe_holder(&accepted.record);
    }

    /// Records who holds the duty, by the object as it was read or written.
    fn observe_holder(&mut self, record: &UsageRecord) {
        self.last_write = self.last_write.max(record.write);
        self.last_fence = self.last_fence.max(record.fence);
        let (holder, fence) = (record.holder.clone(), record.fence);
        if self.holder.as_ref() == Some(&(holder.clone(), fence)) {
            return;
        }
        let before = self.holder.replace((holder.clone(), fence));
        let before = before.map(|(before, _)| before);
        if holder == self.own {
            self.events.push(DutyEvent::TakenOver { fence, before });
        } else {
            self.permission = None;
            if before.as_ref() == Some(&self.own) {
                self.events.push(DutyEvent::Lost { holder, fence });
            }
        }
    }
}

/// Whether `time` has come; it has if there is none.
fn is_reached(time: Option<Instant>, now: &DutyTime) -> bool {
    time.is_none_or(|time| now.monotonic >= time)
}
