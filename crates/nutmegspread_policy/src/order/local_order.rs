//! The state of an order that this process is working on.

use super::{
    AttemptEnd, BodyDigest, JournalAction, JournalEntry, JournalSettings, OrderClaim, OrderOutcome,
    OrderSubmission, OrderVerdict, SubmissionId,
};
use nutmegspread_model::{AttemptId, MonotonicTime, RefusalReason, ResourceVersion};
use std::time::SystemTime;

/// Progress of an order in this process.
///
/// Only `Claimed` leads to `Dispatched`, and `Dispatched` leads back only if the attempt ended as
/// [`AttemptEnd::NotStarted`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OrderStage {
    /// The order's claim is not stored, and no write that can still take effect contains it.
    Queued,
    /// A write that adds or removes the order's claim may have taken effect or may still do so.
    Writing {
        /// Version that the write replaces; only a document with a higher version shows whether the
        /// write took effect.
        base: ResourceVersion,
    },
    /// The stored document contains this process's claim, and no target has started the order.
    Claimed,
    /// A [`JournalAction::Dispatch`] started an attempt to send the order, and the attempt has not
    /// ended.
    Dispatched {
        /// Number of the attempt.
        attempt: AttemptId,
        /// When the outcome of the attempt counts as unknown.
        times_out_at: MonotonicTime,
    },
    /// The last attempt ended or timed out, and the outcome is not yet recorded in the stored
    /// document.
    Done {
        /// Number of the last attempt; its late answer may still replace an unknown outcome.
        attempt: AttemptId,
        /// Outcome to record.
        outcome: OrderOutcome,
        /// When to write the document to record this outcome, unless a write for other orders has
        /// recorded it before.
        record_at: MonotonicTime,
    },
    /// Another process has claimed the order, and its outcome is awaited.
    Awaiting {
        /// When the wait ends, and the outcome counts as unknown.
        until: MonotonicTime,
        /// When to reread the document.
        poll_at: MonotonicTime,
    },
}

/// A submission that waits for the outcome of its order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OrderWaiter {
    /// Number of the submission.
    pub submission: SubmissionId,
    /// The caller's deadline.
    pub deadline: MonotonicTime,
    /// When the submission is refused if, by then, no attempt is under way and no target has
    /// started the order.
    pub claim_by: MonotonicTime,
}

/// An order that this process is working on, with the submissions that wait for its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LocalOrder {
    /// Digest of the order's route and body.
    pub digest: BodyDigest,
    /// When the caller issued the key.
    pub issued_at: SystemTime,
    /// Claim under which this process sends the order.
    pub claim: OrderClaim,
    /// Progress of the order.
    pub stage: OrderStage,
    /// Submissions that have not been answered yet.
    pub waiters: Vec<OrderWaiter>,
    /// Number of attempts so far.
    pub dispatches: u32,
    /// Submission whose body the last attempt carried.
    pub dispatched_submission: Option<SubmissionId>,
}

impl LocalOrder {
    pub fn new(submission: &OrderSubmission, claim: OrderClaim) -> Self {
        Self {
            digest: submission.digest.clone(),
            issued_at: submission.issued_at,
            claim,
            stage: OrderStage::Queued,
            waiters: Vec::new(),
            dispatches: 0,
            dispatched_submission: None,
        }
    }

    /// Makes the journal entry that claims the order.
    pub fn entry(&self) -> JournalEntry {
        JournalEntry {
            digest: self.digest.clone(),
            issued_at: self.issued_at,
            claim: self.claim.clone(),
            outcome: None,
        }
    }

    /// Whether no attempt of this process has run the order or may still run it, so that the
    /// order's submissions can be refused as not run.
    pub fn is_not_started(&self) -> bool {
        matches!(
            self.stage,
            OrderStage::Queued | OrderStage::Writing { .. } | OrderStage::Claimed
        )
    }

    /// Whether the stored document has to be written for the order.
    pub fn needs_write(&self, now: MonotonicTime) -> bool {
        match &self.stage {
            OrderStage::Queued => !self.waiters.is_empty(),
            OrderStage::Writing { .. } => true,
            OrderStage::Claimed => self.waiters.is_empty(),
            OrderStage::Done { record_at, .. } => now >= *record_at,
            OrderStage::Dispatched { .. } | OrderStage::Awaiting { .. } => false,
        }
    }

    /// Whether the process has nothing left to do for the order.
    pub fn is_idle(&self) -> bool {
        self.waiters.is_empty()
            && matches!(self.stage, OrderStage::Queued | OrderStage::Awaiting { .. })
    }

    /// Answers every waiting submission with the same verdict.
    pub fn answer_all(&mut self, verdict: &OrderVerdict, actions: &mut Vec<JournalAction>) {
        for waiter in self.waiters.drain(..) {
            let submission = waiter.submission;
            actions.push(JournalAction::Answer {
                submission,
                verdict: verdict.clone(),
            });
        }
    }

    /// Answers every waiting submission with the outcome of this process's own attempt.
    ///
    /// For all submissions but the one whose body was sent, the answer says that another submission
    /// ran the order.
    pub fn answer_outcome(&mut self, outcome: &OrderOutcome, actions: &mut Vec<JournalAction>) {
        let dispatched_submission = self.dispatched_submission;
        for waiter in self.waiters.drain(..) {
            let submission = waiter.submission;
            let verdict =
                OrderVerdict::from_outcome(outcome, dispatched_submission != Some(submission));
            actions.push(JournalAction::Answer {
                submission,
                verdict,
            });
        }
    }

    /// Applies the end of an attempt.
    ///
    /// The end of an earlier attempt is ignored. If the last attempt has ended or timed out with an
    /// unknown outcome, only a late result is applied, which replaces this outcome.
    pub fn end_attempt(
        &mut self,
        now: MonotonicTime,
        settings: &JournalSettings,
        attempt: AttemptId,
        end: AttemptEnd,
        actions: &mut Vec<JournalAction>,
    ) {
        if !self.accepts_end(attempt, &end) {
            return;
        }
        let outcome = match end {
            AttemptEnd::NotStarted => return self.return_to_claimed(settings, actions),
            AttemptEnd::Ran(result) => OrderOutcome::Ran(result),
            AttemptEnd::Lost => OrderOutcome::Unknown,
        };
        self.answer_outcome(&outcome, actions);
        let outcome = outcome.limit_result(settings.result_bytes);
        let record_at = now + settings.record_delay;
        self.stage = OrderStage::Done {
            attempt,
            outcome,
            record_at,
        };
    }

    /// Whether the end of this attempt is applied; see [`Self::end_attempt`].
    fn accepts_end(&self, attempt: AttemptId, end: &AttemptEnd) -> bool {
        match &self.stage {
            OrderStage::Dispatched {
                attempt: current, ..
            } => *current == attempt,
            OrderStage::Done {
                attempt: current,
                outcome: OrderOutcome::Unknown,
                ..
            } => *current == attempt && matches!(end, AttemptEnd::Ran(_)),
            _ => false,
        }
    }

    /// Returns to [`OrderStage::Claimed`] after an attempt in which no target started the order;
    /// refuses the order's submissions after [`JournalSettings::dispatch_limit`] attempts.
    fn return_to_claimed(&mut self, settings: &JournalSettings, actions: &mut Vec<JournalAction>) {
        self.stage = OrderStage::Claimed;
        if self.dispatches >= settings.dispatch_limit {
            let message = "no target started the order";
            self.answer_all(
                &OrderVerdict::not_run(RefusalReason::NoTarget, message),
                actions,
            );
        }
    }

    /// Times at which the order or one of its submissions may change without an input.
    pub fn wake_times(&self) -> impl Iterator<Item = MonotonicTime> {
        let (first, second) = match &self.stage {
            OrderStage::Dispatched { times_out_at, .. } => (Some(*times_out_at), None),
            OrderStage::Done { record_at, .. } => (Some(*record_at), None),
            OrderStage::Awaiting { until, poll_at } => (Some(*until), Some(*poll_at)),
            OrderStage::Queued | OrderStage::Writing { .. } | OrderStage::Claimed => (None, None),
        };
        let not_started = self.is_not_started();
        let waiters = self
            .waiters
            .iter()
            .map(move |waiter| waiter.answer_by(not_started));
        waiters.chain(first).chain(second)
    }
}

impl OrderWaiter {
    /// Latest time at which the submission is answered, with or without an outcome; `not_started`
    /// is [`LocalOrder::is_not_started`] of its order.
    pub fn answer_by(&self, not_started: bool) -> MonotonicTime {
        if not_started {
            self.claim_by
        } else {
            self.deadline
        }
    }
}
