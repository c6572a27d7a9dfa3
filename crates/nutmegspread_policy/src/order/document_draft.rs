//! Builds the next document of a partition from all of its orders that need a write.

use super::local_order::{LocalOrder, OrderStage};
use super::order_review::OrderReview;
use super::{JournalAction, JournalDocument, OrderVerdict};
use indexmap::IndexMap;
use nutmegspread_model::{IdempotencyKey, RefusalReason};

/// A document to write, and the bytes still free in it.
pub(super) struct DocumentDraft<'a> {
    review: &'a OrderReview<'a>,
    document: JournalDocument,
    free_bytes: usize,
}

impl<'a> DocumentDraft<'a> {
    /// Starts from the last known document, without the entries whose keys every node now refuses
    /// as expired, even a node whose clock is wrong by [`JournalSettings::clock_skew`].
    ///
    /// [`JournalSettings::clock_skew`]: super::JournalSettings::clock_skew
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
            free_bytes: settings.document_bytes.saturating_sub(used),
        }
    }

    /// Adds the claims of queued orders, removes claims of orders for which no submission waits any
    /// more, and records outcomes.
    ///
    /// The refusals of orders that cannot be claimed are added to `actions`.
    pub fn apply_orders(
        &mut self,
        orders: &mut IndexMap<IdempotencyKey, LocalOrder>,
        actions: &mut Vec<JournalAction>,
    ) {
        for (key, order) in orders {
            match &order.stage {
                OrderStage::Queued | OrderStage::Writing { .. } => self.claim(key, order, actions),
                OrderStage::Claimed if order.waiters.is_empty() => self.remove_claim(key, order),
                OrderStage::Done { .. } => self.record_outcome(key, order),
                OrderStage::Claimed
                | OrderStage::Dispatched { .. }
                | OrderStage::Awaiting { .. } => {}
            }
        }
    }

    /// Returns the document to write.
    pub fn finish(self) -> JournalDocument {
        self.document
    }

    /// Adds the claim of an order, unless the order is refused or no submission waits for it any
    /// more.
    fn claim(
        &mut self,
        key: &IdempotencyKey,
        order: &mut LocalOrder,
        actions: &mut Vec<JournalAction>,
    ) {
        let refusal = self
            .review
            .claim_refusal(order.issued_at)
            .or_else(|| self.dropped_key_refusal(order));
        if let Some(verdict) = refusal {
            order.answer_all(&verdict, actions);
        }
        let entry = order.entry();
        let bytes = entry.byte_bound(key, self.review.settings.result_bytes);
        if bytes > self.free_bytes && !order.waiters.is_empty() {
            let message = "the order journal has no space for another order; retry later";
            let verdict = OrderVerdict::not_run(RefusalReason::Overloaded, message);
            order.answer_all(&verdict, actions);
        }
        if !order.waiters.is_empty() {
            self.free_bytes -= bytes;
            self.document.entries.insert(key.clone(), entry);
            order.stage = OrderStage::Writing {
                base: self.review.version,
            };
        } else if order.stage != OrderStage::Queued {
            // An earlier write with this claim may still take effect. Replacing the same base
            // version without the claim rules that out, since only one write can replace a version.
            order.stage = OrderStage::Writing {
                base: self.review.version,
            };
        }
    }

    /// Refusal of a key that is as old as those whose entries this draft has dropped, or `None` if
    /// the key is newer.
    fn dropped_key_refusal(&self, order: &LocalOrder) -> Option<OrderVerdict> {
        let message = "the order journal no longer keeps keys of this age; this submission did not run the order";
        (order.issued_at <= self.document.forgotten_until)
            .then(|| OrderVerdict::not_run(RefusalReason::KeyExpired, message))
    }

    /// Removes a claim under which no target started the order, so that a repeated submission may
    /// run the order.
    fn remove_claim(&mut self, key: &IdempotencyKey, order: &mut LocalOrder) {
        self.document.entries.swap_remove(key);
        order.stage = OrderStage::Writing {
            base: self.review.version,
        };
    }

    /// Records the outcome of an order, if the document still contains its claim.
    fn record_outcome(&mut self, key: &IdempotencyKey, order: &LocalOrder) {
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
