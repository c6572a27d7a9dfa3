//! One partition of the journal, as one process sees it.

use super::call_slot::CallSlot;
use super::document_draft::DocumentDraft;
use super::local_order::{LocalOrder, OrderStage, OrderWaiter};
use super::order_review::{OrderReview, reused_verdict};
use super::{
    CallFailure, ClaimIdentity, JournalAction, JournalDocument, JournalInput, JournalOutput,
    JournalSettings, OrderSubmission, OrderVerdict, VersionedDocument,
};
use indexmap::IndexMap;
use nutmegspread_model::{
    AttemptId, IdempotencyKey, MonotonicTime, RefusalReason, ResourceVersion,
};
use std::sync::Arc;
use std::time::SystemTime;

/// Claims orders by conditional update and allows each to be sent at most once.
///
/// A claim counts as ours only when a state above the version that we replaced carries its token.
/// Time bounds decide what callers are told, never who may send an order.
#[derive(Clone, Debug)]
pub struct JournalPartition {
    settings: JournalSettings,
    identity: ClaimIdentity,
    calls: CallSlot,
    known: Option<VersionedDocument>,
    written: Option<Arc<JournalDocument>>,
    orders: IndexMap<IdempotencyKey, LocalOrder>,
    next_claim: u64,
    next_attempt: AttemptId,
}

impl JournalPartition {
    /// A partition of which nothing is known yet.
    pub fn new(settings: JournalSettings, identity: ClaimIdentity, seed: u64) -> Self {
        let calls = CallSlot::new(&settings, seed);
        Self {
            settings,
            identity,
            calls,
            known: None,
            written: None,
            orders: IndexMap::new(),
            next_claim: 1,
            next_attempt: 1,
        }
    }

    /// Number of orders in hand.
    pub fn order_count(&self) -> usize {
        self.orders.len()
    }

    /// Last known state, if any.
    pub fn known(&self) -> Option<&VersionedDocument> {
        self.known.as_ref()
    }

    /// Takes an input. `wall` must be read after the input arrived.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        input: JournalInput,
    ) -> JournalOutput {
        let mut actions = Vec::new();
        self.calls.expire(now);
        self.expire_orders(now, wall, &mut actions);
        match input {
            JournalInput::Submit(submission) => self.submit(now, wall, &submission, &mut actions),
            JournalInput::ReadDone { call, result } => self.read_done(now, call, result),
            JournalInput::WriteDone { call, result } => self.write_done(now, call, result),
            JournalInput::AttemptEnded { key, attempt, end } => {
                if let Some(order) = self.orders.get_mut(&key) {
                    order.end_attempt(now, &self.settings, attempt, end, &mut actions);
                }
            }
            JournalInput::Commit => self.commit(now, wall, &mut actions),
            JournalInput::Tick => {}
        }
        self.advance_orders(now, wall, &mut actions);
        self.read_if_needed(now, &mut actions);
        let wants_write = self.wants_write(now);
        JournalOutput {
            actions,
            wants_write,
            wake_at: self.wake_at(now),
        }
    }

    fn submit(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        submission: &OrderSubmission,
        actions: &mut Vec<JournalAction>,
    ) {
        let waiter = OrderWaiter {
            submission: submission.submission,
            deadline: submission.deadline,
            claim_by: (now + self.settings.claim_wait).min(
                submission
                    .deadline
                    .saturating_sub(self.settings.dispatch_margin),
            ),
        };
        if let Some(verdict) = self.early_verdict(wall, now, submission) {
            actions.push(JournalAction::Answer {
                submission: waiter.submission,
                verdict,
            });
            return;
        }
        let identity = &self.identity;
        let next_claim = &mut self.next_claim;
        let order = self
            .orders
            .entry(submission.key.clone())
            .or_insert_with(|| {
                *next_claim += 1;
                LocalOrder::new(submission, identity.claim(*next_claim - 1))
            });
        order.waiters.push(waiter);
        if let OrderStage::Done { outcome, .. } = order.stage.clone() {
            order.answer_outcome(&outcome, actions);
        }
    }

    /// Verdict on a submission that needs no look at the stored document.
    fn early_verdict(
        &self,
        wall: SystemTime,
        now: MonotonicTime,
        submission: &OrderSubmission,
    ) -> Option<OrderVerdict> {
        let Some(order) = self.orders.get(&submission.key) else {
            let full = self.orders.len() >= self.settings.order_limit;
            let message = "too many orders wait for the journal; try later";
            return full.then(|| OrderVerdict::not_run(RefusalReason::Overloaded, message));
        };
        if order.digest != submission.digest {
            return Some(reused_verdict());
        }
        if order.is_unsent() {
            let known = self.known_document();
            return self
                .review_of(now, wall, &known)
                .expiry(submission.issued_at);
        }
        None
    }

    fn read_done(
        &mut self,
        now: MonotonicTime,
        call: u64,
        result: Result<Option<VersionedDocument>, CallFailure>,
    ) {
        if !self.calls.end(call) {
            return;
        }
        let Ok(found) = result else {
            self.calls.fail(now);
            return;
        };
        let found = found.unwrap_or_else(|| VersionedDocument {
            version: 0,
            document: Arc::new(JournalDocument::default()),
        });
        self.calls.note_read(now, found.version);
        self.adopt(found);
        for order in self.orders.values_mut() {
            if let OrderStage::Awaiting { poll_at, .. } = &mut order.stage {
                *poll_at = now + self.settings.poll_interval;
            }
        }
    }

    fn write_done(
        &mut self,
        now: MonotonicTime,
        call: u64,
        result: Result<ResourceVersion, CallFailure>,
    ) {
        if !self.calls.end(call) {
            return;
        }
        match (result, self.written.take()) {
            (Ok(version), Some(document)) => {
                self.calls.note_write();
                self.adopt(VersionedDocument { version, document });
            }
            (Ok(_), None) => self.calls.fail(now),
            (Err(failure), _) => self.calls.fail_write(now, self.version(), failure),
        }
    }

    /// Takes a state over unless a later one is known.
    fn adopt(&mut self, found: VersionedDocument) {
        if self
            .known
            .as_ref()
            .is_none_or(|known| found.version > known.version)
        {
            self.known = Some(found);
        }
    }

    fn commit(&mut self, now: MonotonicTime, wall: SystemTime, actions: &mut Vec<JournalAction>) {
        if !self.wants_write(now) {
            return;
        }
        let mut orders = std::mem::take(&mut self.orders);
        let base = self.version();
        let document = {
            let known = self.known_document();
            let review = self.review_of(now, wall, &known);
            let mut draft = DocumentDraft::new(&review);
            draft.fill(&mut orders, actions);
            Arc::new(draft.finish())
        };
        self.orders = orders;
        let call = self.calls.open(now, &self.settings);
        self.written = Some(document.clone());
        let token = format!("{}-w{call}", self.identity.process_token);
        actions.push(JournalAction::Write {
            call,
            base,
            document,
            token,
        });
    }

    fn advance_orders(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        actions: &mut Vec<JournalAction>,
    ) {
        let Some(known) = self.known.clone() else {
            self.orders.retain(|_, order| !order.is_idle());
            return;
        };
        let mut orders = std::mem::take(&mut self.orders);
        let mut next_attempt = self.next_attempt;
        let review = self.review_of(now, wall, &known);
        for (key, order) in &mut orders {
            review.advance(key, order, &mut next_attempt, actions);
        }
        orders.retain(|key, order| !review.is_settled(key, order));
        self.next_attempt = next_attempt;
        self.orders = orders;
    }

    fn expire_orders(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        actions: &mut Vec<JournalAction>,
    ) {
        let mut orders = std::mem::take(&mut self.orders);
        let known = self.known_document();
        let review = self.review_of(now, wall, &known);
        for order in orders.values_mut() {
            review.expire(order, actions);
        }
        self.orders = orders;
    }

    fn read_if_needed(&mut self, now: MonotonicTime, actions: &mut Vec<JournalAction>) {
        let is_due = |order: &LocalOrder| match order.stage {
            OrderStage::Awaiting { poll_at, .. } => now >= poll_at,
            _ => order.wants_write(now) && (self.known.is_none() || self.calls.needs_refresh()),
        };
        if self.calls.is_ready(now) && self.orders.values().any(is_due) {
            let call = self.calls.open(now, &self.settings);
            actions.push(JournalAction::Read { call });
        }
    }

    fn wants_write(&self, now: MonotonicTime) -> bool {
        self.known.is_some()
            && self.calls.is_ready(now)
            && !self.calls.needs_refresh()
            && self.orders.values().any(|order| order.wants_write(now))
    }

    /// Times that have passed wait for the open call and need no wake-up of their own.
    fn wake_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let orders = self.orders.values().flat_map(LocalOrder::wake_times);
        let calls = (!self.orders.is_empty()).then(|| self.calls.wake_at());
        orders.chain(calls).filter(|time| *time > now).min()
    }

    fn version(&self) -> ResourceVersion {
        self.known.as_ref().map_or(0, |known| known.version)
    }

    fn known_document(&self) -> VersionedDocument {
        self.known.clone().unwrap_or_else(|| VersionedDocument {
            version: 0,
            document: Arc::new(JournalDocument::default()),
        })
    }

    fn review_of<'a>(
        &'a self,
        now: MonotonicTime,
        wall: SystemTime,
        known: &'a VersionedDocument,
    ) -> OrderReview<'a> {
        OrderReview {
            now,
            wall,
            settings: &self.settings,
            identity: &self.identity,
            document: &known.document,
            version: known.version,
        }
    }
}
