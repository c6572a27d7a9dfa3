//! The one platform call that a partition has under way.

use super::{CallFailure, JournalSettings};
use crate::platform::RetryBackoff;
use nutmegspread_model::{MonotonicTime, ResourceVersion};

/// Call under way, backoff, and whether the document must be read again.
#[derive(Clone, Debug)]
pub(super) struct CallSlot {
    next_call: u64,
    open: Option<OpenCall>,
    retry_at: MonotonicTime,
    backoff: RetryBackoff,
    refresh: RefreshNeed,
}

/// What a read must show before the next write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefreshNeed {
    /// Nothing; the last known state may be built on.
    Nothing,
    /// Any state.
    Any,
    /// A state above this version, which a conflict proved to exist.
    Above(ResourceVersion),
}

/// A call without an answer yet.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    call: u64,
    gives_up_at: MonotonicTime,
}

impl CallSlot {
    pub fn new(settings: &JournalSettings, seed: u64) -> Self {
        Self {
            next_call: 1,
            open: None,
            retry_at: MonotonicTime::ZERO,
            backoff: RetryBackoff::new(settings.backoff.clone(), seed),
            refresh: RefreshNeed::Nothing,
        }
    }

    /// Whether a call may start.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        self.open.is_none() && now >= self.retry_at
    }

    /// Whether the document must be read before the next write.
    pub fn needs_refresh(&self) -> bool {
        self.refresh != RefreshNeed::Nothing
    }

    /// When the slot changes by itself, if a call is open or held back.
    pub fn wake_at(&self) -> MonotonicTime {
        self.open.map_or(self.retry_at, |open| open.gives_up_at)
    }

    /// Starts a call and returns its number.
    pub fn open(&mut self, now: MonotonicTime, settings: &JournalSettings) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        self.open = Some(OpenCall {
            call,
            gives_up_at: now + settings.call_bound,
        });
        call
    }

    /// Ends the open call if it has this number; answers of calls given up are ignored.
    pub fn end(&mut self, call: u64) -> bool {
        let found = self.open.is_some_and(|open| open.call == call);
        if found {
            self.open = None;
        }
        found
    }

    /// Gives up an open call that is overdue.
    pub fn expire(&mut self, now: MonotonicTime) {
        if self.open.is_some_and(|open| now >= open.gives_up_at) {
            self.open = None;
            self.fail(now);
        }
    }

    /// Notes a call without a usable answer.
    pub fn fail(&mut self, now: MonotonicTime) {
        self.retry_at = now + self.backoff.fail();
        if self.refresh == RefreshNeed::Nothing {
            self.refresh = RefreshNeed::Any;
        }
    }

    /// Notes a failed write of `base`.
    pub fn fail_write(&mut self, now: MonotonicTime, base: ResourceVersion, failure: CallFailure) {
        match failure {
            CallFailure::Conflict => self.refresh = RefreshNeed::Above(base),
            CallFailure::Unavailable => self.fail(now),
        }
    }

    /// Notes a read that showed `version` (0 when there is no object).
    pub fn note_read(&mut self, now: MonotonicTime, version: ResourceVersion) {
        if matches!(self.refresh, RefreshNeed::Above(floor) if version <= floor) {
            // The read is older than the state that the conflict proved.
            self.retry_at = now + self.backoff.fail();
            return;
        }
        self.refresh = RefreshNeed::Nothing;
        self.backoff.succeed();
    }

    /// Notes a write that took effect.
    pub fn note_write(&mut self) {
        self.refresh = RefreshNeed::Nothing;
        self.backoff.succeed();
    }
}
