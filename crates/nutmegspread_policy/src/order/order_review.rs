//! Checks one order against the last known document and the time, and moves it to its next stage.

use super::local_order::{LocalOrder, OrderStage, OrderWaiter};
use super::{ClaimIdentity, JournalAction, JournalDocument, JournalEntry, JournalSettings};
use super::{OrderClaim, OrderOutcome, OrderVerdict};
use nutmegspread_model::{
    AttemptId, IdempotencyKey, MonotonicTime, RefusalReason, ResourceVersion,
};
use std::time::SystemTime;

/// The time, the settings and the last known document against which orders are checked.
pub(super) struct OrderReview<'a> {
    /// Time of the step, by the monotonic clock.
    pub now: MonotonicTime,
    /// Time of the step, by the wall clock.
    pub wall: SystemTime,
    /// Settings of the partition.
    pub settings: &'a JournalSettings,
    /// Identity of this process.
    pub identity: &'a ClaimIdentity,
    /// Last known document.
    pub document: &'a JournalDocument,
    /// Version of `document`.
    pub version: ResourceVersion,
}

impl OrderReview<'_> {
    /// Refusal of a key that was issued at this time, or `None` if the key may be claimed.
    pub fn claim_refusal(&self, issued_at: SystemTime) -> Option<OrderVerdict> {
        let message = if issued_at > self.wall + self.settings.clock_skew {
            "the key's issue time is in the future; this submission did not run the order"
        } else if issued_at + self.settings.retention < self.wall
            || issued_at <= self.document.forgotten_until
        {
            "the key is older than the retention time of the order journal; this submission did not run the order"
        } else {
            return None;
        };
        Some(OrderVerdict::not_run(RefusalReason::KeyExpired, message))
    }

    /// Moves an order to the next stage that the document allows.
    pub fn advance(
        &self,
        key: &IdempotencyKey,
        order: &mut LocalOrder,
        next_attempt: &mut AttemptId,
        actions: &mut Vec<JournalAction>,
    ) {
        let entry = self.document.entries.get(key);
        if let OrderStage::Writing { base } = order.stage
            && self.version > base
        {
            // The document is newer than `base`, so no write that replaces `base` can take effect
            // any more, and this document shows for certain whether the claim is stored.
            let is_claimed = entry.is_some_and(|entry| entry.claim == order.claim);
            order.stage = if is_claimed {
                OrderStage::Claimed
            } else {
                OrderStage::Queued
            };
        }
        match (&order.stage, entry) {
            (OrderStage::Claimed, _) => self.dispatch(key, order, next_attempt, actions),
            (OrderStage::Queued | OrderStage::Awaiting { .. }, Some(entry)) => {
                self.apply_entry(entry, order, actions);
            }
            (OrderStage::Queued | OrderStage::Awaiting { .. }, None) => {
                order.stage = OrderStage::Queued;
                if let Some(verdict) = self.claim_refusal(order.issued_at) {
                    order.answer_all(&verdict, actions);
                }
            }
            (OrderStage::Writing { .. } | OrderStage::Dispatched { .. }, _)
            | (OrderStage::Done { .. }, _) => {}
        }
    }

    /// Whether this process has nothing left to record or to answer for an order.
    pub fn is_settled(&self, key: &IdempotencyKey, order: &LocalOrder) -> bool {
        let OrderStage::Done { outcome, .. } = &order.stage else {
            return order.is_idle();
        };
        match self.document.entries.get(key) {
            Some(entry) if entry.claim == order.claim => entry.outcome.as_ref() == Some(outcome),
            _ => true,
        }
    }

    /// Answers every submission that has to be answered by now, and ends the order's wait or
    /// attempt if it has timed out.
    pub fn apply_timeouts(&self, order: &mut LocalOrder, actions: &mut Vec<JournalAction>) {
        let not_started = order.is_not_started();
        let overdue = |waiter: &OrderWaiter| self.now >= waiter.answer_by(not_started);
        let dispatches = order.dispatches;
        for waiter in order.waiters.extract_if(.., |waiter| overdue(waiter)) {
            let verdict = if not_started {
                self.not_started_refusal(&waiter, dispatches)
            } else {
                OrderVerdict::unknown("the outcome of the order was not known before the deadline")
            };
            actions.push(JournalAction::Answer {
                submission: waiter.submission,
                verdict,
            });
        }
        if matches!(order.stage, OrderStage::Awaiting { until, .. } if self.now >= until) {
            order.answer_all(
                &OrderVerdict::unknown(
                    "another node claimed the order and has not recorded its outcome",
                ),
                actions,
            );
        }
        if let OrderStage::Dispatched {
            attempt,
            times_out_at,
        } = order.stage
            && self.now >= times_out_at
        {
            let outcome = OrderOutcome::Unknown;
            order.answer_outcome(&outcome, actions);
            order.stage = OrderStage::Done {
                attempt,
                outcome,
                record_at: self.now,
            };
        }
    }

    /// Refusal of a submission whose order no target has started in time, with the reason.
    fn not_started_refusal(&self, waiter: &OrderWaiter, dispatches: u32) -> OrderVerdict {
        if self.now + self.settings.dispatch_margin >= waiter.deadline {
            let message = "the deadline passed before the order could be sent";
            return OrderVerdict::not_run(RefusalReason::DeadlineExceeded, message);
        }
        if dispatches > 0 {
            return OrderVerdict::not_run(RefusalReason::NoTarget, "no target started the order");
        }
        let message =
            "the order could not be claimed in time; this submission did not run the order";
        OrderVerdict::not_run(RefusalReason::PlatformUnavailable, message)
    }

    /// Starts an attempt for a claimed order, unless no submission waits for it any more.
    fn dispatch(
        &self,
        key: &IdempotencyKey,
        order: &mut LocalOrder,
        next_attempt: &mut AttemptId,
        actions: &mut Vec<JournalAction>,
    ) {
        let Some(first_waiter) = order.waiters.first() else {
            return;
        };
        let submission = first_waiter.submission;
        let attempt = *next_attempt;
        *next_attempt += 1;
        let latest_deadline = order
            .waiters
            .iter()
            .map(|waiter| waiter.deadline)
            .max()
            .unwrap_or_default();
        let send_by = latest_deadline.saturating_sub(self.settings.dispatch_margin);
        let times_out_at = self.now + self.settings.attempt_timeout;
        order.stage = OrderStage::Dispatched {
            attempt,
            times_out_at,
        };
        order.dispatches += 1;
        order.dispatched_submission = Some(submission);
        let key = key.clone();
        actions.push(JournalAction::Dispatch {
            key,
            attempt,
            submission,
            send_by,
        });
    }

    /// Handles an order of which the document contains an entry with another claim: answers the
    /// order's submissions from the entry, or waits for the outcome.
    fn apply_entry(
        &self,
        entry: &JournalEntry,
        order: &mut LocalOrder,
        actions: &mut Vec<JournalAction>,
    ) {
        if entry.digest != order.digest {
            order.answer_all(&reused_key_refusal(), actions);
        } else if let Some(outcome) = &entry.outcome {
            order.answer_all(&OrderVerdict::from_outcome(outcome, true), actions);
        } else if self.is_abandoned(&entry.claim) {
            let message = "the node that claimed the order stopped before it recorded the outcome";
            order.answer_all(&OrderVerdict::unknown(message), actions);
        } else {
            self.await_outcome(order);
        }
    }

    /// Whether the process that made the claim is known to have ended, so that no process will
    /// record the outcome.
    fn is_abandoned(&self, claim: &OrderClaim) -> bool {
        self.identity.is_from_earlier_process(claim)
    }

    /// Starts to wait until the process that claimed the order records the outcome; a wait that has
    /// started is not extended.
    fn await_outcome(&self, order: &mut LocalOrder) {
        if !matches!(order.stage, OrderStage::Awaiting { .. }) {
            order.stage = OrderStage::Awaiting {
                until: self.now + self.settings.outcome_wait,
                poll_at: self.now + self.settings.poll_interval,
            };
        }
    }
}

/// Refusal of a key that has been used for a different order.
pub(super) fn reused_key_refusal() -> OrderVerdict {
    let message = "the key was used for a different order; this submission did not run the order";
    OrderVerdict::not_run(RefusalReason::KeyReused, message)
}
