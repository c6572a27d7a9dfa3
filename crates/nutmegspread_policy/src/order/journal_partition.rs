//! The state machine with which one process uses one partition of the journal.

use super::call_slot::CallSlot;
use super::document_draft::DocumentDraft;
use super::local_order::{LocalOrder, OrderStage, OrderWaiter};
use super::order_review::{OrderReview, reused_key_refusal};
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

/// Claims orders in the stored document by conditional update, so that each order runs at most once.
///
/// A write may take effect without an answer, so a claim counts as stored only when the platform
/// has a document that contains it and is newer than the one that the write replaces. Timeouts
/// decide how callers are answered, but never which process may send an order.
///
/// The partition does no I/O: it returns [`JournalAction`]s, and their results come back as
/// [`JournalInput`]s.
#[derive(Clone, Debug)]
pub struct JournalPartition {
    settings: JournalSettings,
    identity: ClaimIdentity,
    calls: CallSlot,
    /// Newest document that the platform is known to store; `None` before the first successful
    /// read.
    known: Option<VersionedDocument>,
    /// Document of the latest write; `None` once the platform has answered this write in time.
    pending_document: Option<Arc<JournalDocument>>,
    /// Orders that this process is working on, by key.
    orders: IndexMap<IdempotencyKey, LocalOrder>,
    /// Number of the next claim of this process in the partition.
    next_claim: u64,
    /// Number of the next attempt.
    next_attempt: AttemptId,
}

impl JournalPartition {
    /// Creates a partition whose document has not been read yet; `seed` determines the jitter of
    /// the backoff.
    pub fn new(settings: JournalSettings, identity: ClaimIdentity, seed: u64) -> Self {
        let calls = CallSlot::new(&settings, seed);
        Self {
            settings,
            identity,
            calls,
            known: None,
            pending_document: None,
            orders: IndexMap::new(),
            next_claim: 1,
            next_attempt: 1,
        }
    }

    /// Number of orders that this process is working on.
    pub fn order_count(&self) -> usize {
        self.orders.len()
    }

    /// Last known document; `None` before the first successful read.
    pub fn known(&self) -> Option<&VersionedDocument> {
        self.known.as_ref()
    }

    /// Applies an input. The caller must read `wall` from the wall clock after the input arrived,
    /// since this time decides whether a key has expired.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        input: JournalInput,
    ) -> JournalOutput {
        let mut actions = Vec::new();
        self.calls.expire_call(now);
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
        let needs_write = self.needs_write(now);
        JournalOutput {
            actions,
            needs_write,
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
        if let Some(verdict) = self.immediate_refusal(wall, now, submission) {
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

    /// Refusal of a submission that can be answered at once; `None` if the submission has to wait
    /// for the order with its key.
    fn immediate_refusal(
        &self,
        wall: SystemTime,
        now: MonotonicTime,
        submission: &OrderSubmission,
    ) -> Option<OrderVerdict> {
        let Some(order) = self.orders.get(&submission.key) else {
            let is_full = self.orders.len() >= self.settings.order_limit;
            let message = "too many orders are waiting for the order journal; retry later";
            return is_full.then(|| OrderVerdict::not_run(RefusalReason::Overloaded, message));
        };
        if order.digest != submission.digest {
            return Some(reused_key_refusal());
        }
        if order.is_not_started() {
            let known = self.known_document();
            return self
                .review_of(now, wall, &known)
                .claim_refusal(submission.issued_at);
        }
        None
    }

    fn read_done(
        &mut self,
        now: MonotonicTime,
        call: u64,
        result: Result<Option<VersionedDocument>, CallFailure>,
    ) {
        if !self.calls.end_call(call) {
            return;
        }
        let Ok(found) = result else {
            self.calls.record_failure(now);
            return;
        };
        let found = found.unwrap_or_else(|| VersionedDocument {
            version: 0,
            document: Arc::new(JournalDocument::default()),
        });
        self.calls.record_read(now, found.version);
        self.update_known(found);
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
        if !self.calls.end_call(call) {
            return;
        }
        match (result, self.pending_document.take()) {
            (Ok(version), Some(document)) => {
                self.calls.record_write();
                self.update_known(VersionedDocument { version, document });
            }
            (Ok(_), None) => self.calls.record_failure(now),
            (Err(failure), _) => self
                .calls
                .record_write_failure(now, self.version(), failure),
        }
    }

    /// Replaces the last known document, unless `found` is not newer.
    fn update_known(&mut self, found: VersionedDocument) {
        if self
            .known
            .as_ref()
            .is_none_or(|known| found.version > known.version)
        {
            self.known = Some(found);
        }
    }

    /// Starts one write with the pending changes of all orders, if [`Self::needs_write`].
    fn commit(&mut self, now: MonotonicTime, wall: SystemTime, actions: &mut Vec<JournalAction>) {
        if !self.needs_write(now) {
            return;
        }
        let mut orders = std::mem::take(&mut self.orders);
        let base = self.version();
        let document = {
            let known = self.known_document();
            let review = self.review_of(now, wall, &known);
            let mut draft = DocumentDraft::new(&review);
            draft.apply_orders(&mut orders, actions);
            Arc::new(draft.finish())
        };
        self.orders = orders;
        let call = self.calls.start_call(now, &self.settings);
        self.pending_document = Some(document.clone());
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
            review.apply_timeouts(order, actions);
        }
        self.orders = orders;
    }

    /// Starts a read if an order needs a newer document, no call is open and no backoff delay is
    /// running.
    fn read_if_needed(&mut self, now: MonotonicTime, actions: &mut Vec<JournalAction>) {
        let is_due = |order: &LocalOrder| match order.stage {
            OrderStage::Awaiting { poll_at, .. } => now >= poll_at,
            _ => order.needs_write(now) && (self.known.is_none() || self.calls.needs_refresh()),
        };
        if self.calls.is_ready(now) && self.orders.values().any(is_due) {
            let call = self.calls.start_call(now, &self.settings);
            actions.push(JournalAction::Read { call });
        }
    }

    /// Whether an order needs a write and the write may start now.
    fn needs_write(&self, now: MonotonicTime) -> bool {
        self.known.is_some()
            && self.calls.is_ready(now)
            && !self.calls.needs_refresh()
            && self.orders.values().any(|order| order.needs_write(now))
    }

    /// Earliest future time at which an order or the platform call changes without an input.
    ///
    /// A time that has passed is omitted: whatever was due then could not start because of the open
    /// call, and the answer or timeout of this call leads to the next step.
    fn wake_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let orders = self.orders.values().flat_map(LocalOrder::wake_times);
        let calls = (!self.orders.is_empty()).then(|| self.calls.wake_at());
        orders.chain(calls).filter(|time| *time > now).min()
    }

    /// Version of the last known document; 0 if it has not been read or does not exist.
    fn version(&self) -> ResourceVersion {
        self.known.as_ref().map_or(0, |known| known.version)
    }

    /// Last known document, or an empty one with version 0 before the first successful read.
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
