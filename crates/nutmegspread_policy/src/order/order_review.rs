//! Judges one order against the stored document.

use super::local_order::{LocalOrder, OrderStage, OrderWaiter};
use super::{ClaimIdentity, JournalAction, JournalDocument, JournalEntry, JournalSettings};
use super::{OrderClaim, OrderOutcome, OrderVerdict};
use nutmegspread_model::{
    AttemptId, IdempotencyKey, MonotonicTime, RefusalReason, ResourceVersion,
};
use std::time::SystemTime;

/// What a review looks at.
pub(super) struct OrderReview<'a> {
    /// Time now.
    pub now: MonotonicTime,
    /// Wall clock now.
    pub wall: SystemTime,
    /// Bounds.
    pub settings: &'a JournalSettings,
    /// Who this process is.
    pub identity: &'a ClaimIdentity,
    /// Last known state.
    pub document: &'a JournalDocument,
    /// Version of that state.
    pub version: ResourceVersion,
}

impl OrderReview<'_> {
    /// Why a key of this issue time may not be claimed, if so.
    pub fn expiry(&self, issued_at: SystemTime) -> Option<OrderVerdict> {
        let message = if issued_at > self.wall + self.settings.clock_skew {
            "the key's issue time lies in the future; this submission started nothing"
        } else if issued_at + self.settings.retention < self.wall
            || issued_at <= self.document.forgotten_until
        {
            "the key is older than the time for which keys are kept; this submission started nothing"
        } else {
            return None;
        };
        Some(OrderVerdict::not_run(RefusalReason::KeyExpired, message))
    }

    /// Moves an order on as far as the stored document allows.
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
            // No write of `base` can take effect any more, so this state is conclusive.
            let held = entry.is_some_and(|entry| entry.claim == order.claim);
            order.stage = if held {
                OrderStage::Held
            } else {
                OrderStage::Queued
            };
        }
        match (&order.stage, entry) {
            (OrderStage::Held, _) => self.hand(key, order, next_attempt, actions),
            (OrderStage::Queued | OrderStage::Awaiting { .. }, Some(entry)) => {
                self.judge_entry(entry, order, actions);
            }
            (OrderStage::Queued | OrderStage::Awaiting { .. }, None) => {
                order.stage = OrderStage::Queued;
                if let Some(verdict) = self.expiry(order.issued_at) {
                    order.answer_all(&verdict, actions);
                }
            }
            (OrderStage::Writing { .. } | OrderStage::Handed { .. }, _)
            | (OrderStage::Done { .. }, _) => {}
        }
    }

    /// Whether the document shows all that the process has to record of an order.
    pub fn is_settled(&self, key: &IdempotencyKey, order: &LocalOrder) -> bool {
        let OrderStage::Done { outcome, .. } = &order.stage else {
            return order.is_idle();
        };
        match self.document.entries.get(key) {
            Some(entry) if entry.claim == order.claim => entry.outcome.as_ref() == Some(outcome),
            _ => true,
        }
    }

    /// Answers every submission whose time is up.
    pub fn expire(&self, order: &mut LocalOrder, actions: &mut Vec<JournalAction>) {
        let unsent = order.is_unsent();
        let overdue = |waiter: &OrderWaiter| self.now >= waiter.give_up_at(unsent);
        let dispatches = order.dispatches;
        for waiter in order.waiters.extract_if(.., |waiter| overdue(waiter)) {
            let verdict = if unsent {
                self.unsent_verdict(&waiter, dispatches)
            } else {
                OrderVerdict::unknown("no outcome came before the deadline")
            };
            actions.push(JournalAction::Answer {
                submission: waiter.submission,
                verdict,
            });
        }
        if matches!(order.stage, OrderStage::Awaiting { until, .. } if self.now >= until) {
            order.answer_all(
                &OrderVerdict::unknown("another node sent the order"),
                actions,
            );
        }
        if let OrderStage::Handed {
            attempt,
            gives_up_at,
        } = order.stage
            && self.now >= gives_up_at
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

    fn unsent_verdict(&self, waiter: &OrderWaiter, dispatches: u32) -> OrderVerdict {
        if self.now + self.settings.dispatch_margin >= waiter.deadline {
            let message = "the deadline passed before the order could be sent";
            return OrderVerdict::not_run(RefusalReason::DeadlineExceeded, message);
        }
        if dispatches > 0 {
            return OrderVerdict::not_run(RefusalReason::NoTarget, "no target started the order");
        }
        let message = "the order could not be claimed in time; this submission started nothing";
        OrderVerdict::not_run(RefusalReason::PlatformUnavailable, message)
    }

    /// Hands a held order over for sending, unless nobody waits for it any more.
    fn hand(
        &self,
        key: &IdempotencyKey,
        order: &mut LocalOrder,
        next_attempt: &mut AttemptId,
        actions: &mut Vec<JournalAction>,
    ) {
        let Some(first) = order.waiters.first() else {
            return;
        };
        let submission = first.submission;
        let attempt = *next_attempt;
        *next_attempt += 1;
        let latest = order
            .waiters
            .iter()
            .map(|waiter| waiter.deadline)
            .max()
            .unwrap_or_default();
        let send_by = latest.saturating_sub(self.settings.dispatch_margin);
        let gives_up_at = self.now + self.settings.attempt_bound;
        order.stage = OrderStage::Handed {
            attempt,
            gives_up_at,
        };
        order.dispatches += 1;
        order.runner = Some(submission);
        let key = key.clone();
        actions.push(JournalAction::Dispatch {
            key,
            attempt,
            submission,
            send_by,
        });
    }

    fn judge_entry(
        &self,
        entry: &JournalEntry,
        order: &mut LocalOrder,
        actions: &mut Vec<JournalAction>,
    ) {
        if entry.digest != order.digest {
            order.answer_all(&reused_verdict(), actions);
        } else if let Some(outcome) = &entry.outcome {
            order.answer_all(&OrderVerdict::recorded(outcome, true), actions);
        } else if self.is_abandoned(&entry.claim) {
            let message = "the node that sent the order stopped before its outcome was recorded";
            order.answer_all(&OrderVerdict::unknown(message), actions);
        } else {
            self.await_outcome(order);
        }
    }

    /// Whether no process can record the outcome of a claim any more.
    fn is_abandoned(&self, claim: &OrderClaim) -> bool {
        self.identity.outlived(claim)
    }

    /// Starts the wait for another process's outcome; a wait under way goes on unchanged.
    fn await_outcome(&self, order: &mut LocalOrder) {
        if !matches!(order.stage, OrderStage::Awaiting { .. }) {
            order.stage = OrderStage::Awaiting {
                until: self.now + self.settings.outcome_wait,
                poll_at: self.now + self.settings.poll_interval,
            };
        }
    }
}

/// Refusal of a key that stands for another order.
pub(super) fn reused_verdict() -> OrderVerdict {
    let message = "the key was used for a different order; this submission started nothing";
    OrderVerdict::not_run(RefusalReason::KeyReused, message)
}
