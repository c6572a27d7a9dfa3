//! The single platform call that a partition may have open at a time, and its retries.

use super::{CallFailure, JournalSettings};
use crate::platform::RetryBackoff;
use nutmegspread_model::{MonotonicTime, ResourceVersion};

/// The open platform call of a partition, the backoff after failures, and whether the document must
/// be reread before the next write.
///
/// A call is a read or a write of the partition's document; it is open until its answer or its
/// timeout.
#[derive(Clone, Debug)]
pub(super) struct CallSlot {
    /// Number of the next call.
    next_call: u64,
    open_call: Option<OpenCall>,
    /// When the backoff delay after the last failed call ends.
    retry_at: MonotonicTime,
    backoff: RetryBackoff,
    refresh_need: RefreshNeed,
}

/// Whether the partition has to read its document before it may write again, and which version the
/// read has to return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefreshNeed {
    /// No read is needed: the next write may be based on the last known state.
    Nothing,
    /// A read is needed, whatever version it returns.
    Any,
    /// A read is needed that returns a version above this one; a write conflict showed that such a
    /// version exists.
    Above(ResourceVersion),
}

/// A platform call that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    /// Number of the call.
    call: u64,
    times_out_at: MonotonicTime,
}

impl CallSlot {
    pub fn new(settings: &JournalSettings, seed: u64) -> Self {
        Self {
            next_call: 1,
            open_call: None,
            retry_at: MonotonicTime::ZERO,
            backoff: RetryBackoff::new(settings.backoff.clone(), seed),
            refresh_need: RefreshNeed::Nothing,
        }
    }

    /// Whether a call may start now: no call is open and no backoff delay is running.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        self.open_call.is_none() && now >= self.retry_at
    }

    /// Whether the document must be read before the next write.
    pub fn needs_refresh(&self) -> bool {
        self.refresh_need != RefreshNeed::Nothing
    }

    /// When the open call times out or, without an open call, when the backoff delay ends.
    pub fn wake_at(&self) -> MonotonicTime {
        self.open_call
            .map_or(self.retry_at, |open_call| open_call.times_out_at)
    }

    /// Opens a call and returns its number.
    pub fn start_call(&mut self, now: MonotonicTime, settings: &JournalSettings) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        self.open_call = Some(OpenCall {
            call,
            times_out_at: now + settings.call_timeout,
        });
        call
    }

    /// Closes the open call if it has this number, and returns whether it did.
    ///
    /// The answer to a call that has timed out returns `false` and is ignored.
    pub fn end_call(&mut self, call: u64) -> bool {
        let found = self
            .open_call
            .is_some_and(|open_call| open_call.call == call);
        if found {
            self.open_call = None;
        }
        found
    }

    /// Closes the open call and records it as failed if its timeout has passed.
    pub fn expire_call(&mut self, now: MonotonicTime) {
        if self
            .open_call
            .is_some_and(|open_call| now >= open_call.times_out_at)
        {
            self.open_call = None;
            self.record_failure(now);
        }
    }

    /// Records a call without a usable answer: starts a backoff delay and requires a read before
    /// the next write, since the call may have been a write that took effect.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.retry_at = now + self.backoff.record_failure();
        if self.refresh_need == RefreshNeed::Nothing {
            self.refresh_need = RefreshNeed::Any;
        }
    }

    /// Records the failure of a write that would have replaced version `base`.
    pub fn record_write_failure(
        &mut self,
        now: MonotonicTime,
        base: ResourceVersion,
        failure: CallFailure,
    ) {
        match failure {
            CallFailure::Conflict => self.refresh_need = RefreshNeed::Above(base),
            CallFailure::Unavailable => self.record_failure(now),
        }
    }

    /// Records a read that returned `version` (0 if the object does not exist). A stale read, which
    /// returns a version that a conflict has shown to be replaced, counts as a failure.
    pub fn record_read(&mut self, now: MonotonicTime, version: ResourceVersion) {
        if matches!(self.refresh_need, RefreshNeed::Above(floor) if version <= floor) {
            // A stale read: the conflict showed that a newer version exists.
            self.retry_at = now + self.backoff.record_failure();
            return;
        }
        self.refresh_need = RefreshNeed::Nothing;
        self.backoff.record_success();
    }

    /// Records a write that took effect.
    pub fn record_write(&mut self) {
        self.refresh_need = RefreshNeed::Nothing;
        self.backoff.record_success();
    }
}
