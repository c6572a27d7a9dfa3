//! Forms the next state of a partition out of everything that waits.

use super::local_order::{LocalOrder, OrderStage};
use super::order_review::OrderReview;
use super::{JournalAction, JournalDocument, OrderVerdict};
use indexmap::IndexMap;
use nutmegspread_model::{IdempotencyKey, RefusalReason};

/// A state to write, and the room left in it.
pub(super) struct DocumentDraft<'a> {
    review: &'a OrderReview<'a>,
    document: JournalDocument,
    room: usize,
}

impl<'a> DocumentDraft<'a> {
    /// Starts from the last known state, without the keys that every node refuses by now.
    pub fn new(review: &'a OrderReview<'a>) -> Self {
        let settings = review.settings;
        let mut document = review.document.clone();
        let age = settings.retention + 2 * settings.clock_skew;
        if let Some(cutoff) = review.wall.checked_sub(age) {
            document.prune(cutoff);
        }
        let used = document.byte_bound(settings.result_bytes);
        Self {
            review,
            document,
            room: settings.document_bytes.saturating_sub(used),
        }
    }

    /// Takes in every order that wants something written.
    pub fn fill(
        &mut self,
        orders: &mut IndexMap<IdempotencyKey, LocalOrder>,
        actions: &mut Vec<JournalAction>,
    ) {
        for (key, order) in orders {
            match &order.stage {
                OrderStage::Queued | OrderStage::Writing { .. } => self.claim(key, order, actions),
                OrderStage::Held if order.waiters.is_empty() => self.release(key, order),
                OrderStage::Done { .. } => self.record(key, order),
                OrderStage::Held | OrderStage::Handed { .. } | OrderStage::Awaiting { .. } => {}
            }
        }
    }

    /// The state to write.
    pub fn finish(self) -> JournalDocument {
        self.document
    }

    fn claim(
        &mut self,
        key: &IdempotencyKey,
        order: &mut LocalOrder,
        actions: &mut Vec<JournalAction>,
    ) {
        let expiry = self
            .review
            .expiry(order.issued_at)
            .or_else(|| self.forgotten(order));
        if let Some(verdict) = expiry {
            order.answer_all(&verdict, actions);
        }
        let entry = order.entry();
        let bytes = entry.byte_bound(key, self.review.settings.result_bytes);
        if bytes > self.room && !order.waiters.is_empty() {
            let message = "the journal has no room for another order; try later";
            let verdict = OrderVerdict::not_run(RefusalReason::Overloaded, message);
            order.answer_all(&verdict, actions);
        }
        if !order.waiters.is_empty() {
            self.room -= bytes;
            self.document.entries.insert(key.clone(), entry);
            order.stage = OrderStage::Writing {
                base: self.review.version,
            };
        } else if order.stage != OrderStage::Queued {
            // Writing without the claim makes every earlier write of this base void.
            order.stage = OrderStage::Writing {
                base: self.review.version,
            };
        }
    }

    /// Refuses a key that this very draft forgets.
    fn forgotten(&self, order: &LocalOrder) -> Option<OrderVerdict> {
        let message = "the key was dropped with those of its age; this submission started nothing";
        (order.issued_at <= self.document.forgotten_until)
            .then(|| OrderVerdict::not_run(RefusalReason::KeyExpired, message))
    }

    /// Takes back a claim under which nothing was sent, so that a repeat may run.
    fn release(&mut self, key: &IdempotencyKey, order: &mut LocalOrder) {
        self.document.entries.swap_remove(key);
        order.stage = OrderStage::Writing {
            base: self.review.version,
        };
    }

    fn record(&mut self, key: &IdempotencyKey, order: &LocalOrder) {
        let OrderStage::Done { outcome, .. } = &order.stage else {
            return;
        };
        if let Some(entry) = self.document.entries.get_mut(key)
            && entry.claim == order.claim
        {
            entry.outcome = Some(outcome.clone());
        }
    }
}
