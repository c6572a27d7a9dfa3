//! An order in the hands of this process.

use super::{
    AttemptEnd, BodyDigest, JournalAction, JournalEntry, JournalSettings, OrderClaim, OrderOutcome,
    OrderSubmission, OrderVerdict, SubmissionId,
};
use nutmegspread_model::{AttemptId, MonotonicTime, RefusalReason, ResourceVersion};
use std::time::SystemTime;

/// How far an order has come. Only `Held` leads to `Handed`, and only a target's word that nothing
/// started leads back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OrderStage {
    /// In no write that can still take effect.
    Queued,
    /// In a write of this base version that may have taken effect, or may yet.
    Writing {
        /// Only a state above this version shows what became of the write.
        base: ResourceVersion,
    },
    /// The stored document carries our claim, and nothing was sent.
    Held,
    /// Handed to the process for sending.
    Handed {
        /// Number of the attempt.
        attempt: AttemptId,
        /// When the attempt is given up.
        gives_up_at: MonotonicTime,
    },
    /// The attempt ended; the outcome is to be recorded.
    Done {
        /// Last attempt, whose late answer may still improve the outcome.
        attempt: AttemptId,
        /// What became of it.
        outcome: OrderOutcome,
        /// When it must be written at the latest.
        record_at: MonotonicTime,
    },
    /// Another process has claimed it; its outcome is awaited.
    Awaiting {
        /// When the wait ends.
        until: MonotonicTime,
        /// When to look again.
        poll_at: MonotonicTime,
    },
}

/// A submission that waits for an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OrderWaiter {
    /// Number of the submission.
    pub submission: SubmissionId,
    /// When the caller stops waiting.
    pub deadline: MonotonicTime,
    /// When an order that is not sent yet is refused.
    pub claim_by: MonotonicTime,
}

/// One key with the submissions that wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LocalOrder {
    /// Digest of what is ordered.
    pub digest: BodyDigest,
    /// When the caller made the key.
    pub issued_at: SystemTime,
    /// Claim under which this process sends it.
    pub claim: OrderClaim,
    /// How far it has come.
    pub stage: OrderStage,
    /// Submissions without an answer.
    pub waiters: Vec<OrderWaiter>,
    /// How often it was handed over.
    pub dispatches: u32,
    /// Submission whose body was handed over.
    pub runner: Option<SubmissionId>,
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
            runner: None,
        }
    }

    /// The entry that claims the order.
    pub fn entry(&self) -> JournalEntry {
        JournalEntry {
            digest: self.digest.clone(),
            issued_at: self.issued_at,
            claim: self.claim.clone(),
            outcome: None,
        }
    }

    /// Whether nothing was sent under the claim and its submissions can be told so.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self.stage,
            OrderStage::Queued | OrderStage::Writing { .. } | OrderStage::Held
        )
    }

    /// Whether a write would do something for the order.
    pub fn wants_write(&self, now: MonotonicTime) -> bool {
        match &self.stage {
            OrderStage::Queued => !self.waiters.is_empty(),
            OrderStage::Writing { .. } => true,
            OrderStage::Held => self.waiters.is_empty(),
            OrderStage::Done { record_at, .. } => now >= *record_at,
            OrderStage::Handed { .. } | OrderStage::Awaiting { .. } => false,
        }
    }

    /// Whether the process has nothing left to do for the order.
    pub fn is_idle(&self) -> bool {
        self.waiters.is_empty()
            && matches!(self.stage, OrderStage::Queued | OrderStage::Awaiting { .. })
    }

    /// Answers every waiting submission alike.
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
    pub fn answer_outcome(&mut self, outcome: &OrderOutcome, actions: &mut Vec<JournalAction>) {
        let runner = self.runner;
        for waiter in self.waiters.drain(..) {
            let submission = waiter.submission;
            let verdict = OrderVerdict::recorded(outcome, runner != Some(submission));
            actions.push(JournalAction::Answer {
                submission,
                verdict,
            });
        }
    }

    /// Takes the end of an attempt. Only the current attempt counts, and a late result only
    /// replaces an unknown outcome.
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
            AttemptEnd::NotStarted => return self.take_back(settings, actions),
            AttemptEnd::Ran(result) => OrderOutcome::Ran(result),
            AttemptEnd::Lost => OrderOutcome::Unknown,
        };
        self.answer_outcome(&outcome, actions);
        let outcome = outcome.within(settings.result_bytes);
        let record_at = now + settings.record_delay;
        self.stage = OrderStage::Done {
            attempt,
            outcome,
            record_at,
        };
    }

    fn accepts_end(&self, attempt: AttemptId, end: &AttemptEnd) -> bool {
        match &self.stage {
            OrderStage::Handed {
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

    /// Returns to the state before sending, after proof that nothing started.
    fn take_back(&mut self, settings: &JournalSettings, actions: &mut Vec<JournalAction>) {
        self.stage = OrderStage::Held;
        if self.dispatches >= settings.dispatch_limit {
            let message = "no target started the order";
            self.answer_all(
                &OrderVerdict::not_run(RefusalReason::NoTarget, message),
                actions,
            );
        }
    }

    /// Times at which the order changes by itself.
    pub fn wake_times(&self) -> impl Iterator<Item = MonotonicTime> {
        let (first, second) = match &self.stage {
            OrderStage::Handed { gives_up_at, .. } => (Some(*gives_up_at), None),
            OrderStage::Done { record_at, .. } => (Some(*record_at), None),
            OrderStage::Awaiting { until, poll_at } => (Some(*until), Some(*poll_at)),
            OrderStage::Queued | OrderStage::Writing { .. } | OrderStage::Held => (None, None),
        };
        let unsent = self.is_unsent();
        let waiters = self
            .waiters
            .iter()
            .map(move |waiter| waiter.give_up_at(unsent));
        waiters.chain(first).chain(second)
    }
}

impl OrderWaiter {
    /// When the submission is answered even without an outcome.
    pub fn give_up_at(&self, unsent: bool) -> MonotonicTime {
        if unsent { self.claim_by } else { self.deadline }
    }
}
