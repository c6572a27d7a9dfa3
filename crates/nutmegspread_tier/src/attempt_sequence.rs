//! Attempts of one request on one service.

use crate::RepeatRule;
use std::time::Duration;

/// Identifies a target within one node.
pub type TargetKey = u64;

/// Delay before a request is sent again to targets that it has already been sent to.
const RESEND_DELAY: Duration = Duration::from_millis(15);
/// Delay before an extra attempt that the budget did not allow is requested again.
const DENIED_DELAY: Duration = Duration::from_millis(10);
/// Largest number of attempts of one request on one service, including those that did not run.
const MOST_ATTEMPTS: usize = 6;

/// Outcome of one attempt, as seen by its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered with success, and the answer is complete.
    Answered,
    /// The request certainly did not run on the target.
    NotRun,
    /// There is no successful answer, and the request may have run on the target.
    Failed,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReason {
    /// It is the first attempt of the request on this service.
    First,
    /// An earlier attempt is still unanswered.
    Hedge,
    /// An earlier attempt failed or did not run.
    Retry,
}

/// Access to the targets and the retry budgets of the node, as an [`AttemptSequence`] needs it.
pub trait AttemptChooser {
    /// Returns the best target of the service that is not in `tried`.
    fn choose(&mut self, service: usize, tried: &[TargetKey]) -> Option<TargetKey>;
    /// Takes one extra attempt on the service from its budget; returns whether the budget allowed
    /// it.
    fn allow(&mut self, service: usize, reason: AttemptReason) -> bool;
}

/// Attempts of one request on one service.
#[derive(Clone, Debug, Default)]
pub struct AttemptSequence {
    /// Target of each attempt, in the order of sending.
    tried: Vec<TargetKey>,
    /// Ended attempts that ran or may have run.
    ran: u32,
    outstanding: u32,
    is_answered: bool,
    hedge_at: Option<Duration>,
    retry_at: Option<Duration>,
    /// Whether the delay before the request is sent again to targets already tried has been set.
    has_delayed: bool,
}

impl AttemptSequence {
    /// Chooses the target of the first attempt; returns `None` if the service has no target.
    pub fn first(
        &mut self,
        service: usize,
        hedge_at: Option<Duration>,
        chooser: &mut impl AttemptChooser,
    ) -> Option<TargetKey> {
        let target = chooser.choose(service, &[])?;
        self.tried.push(target);
        self.outstanding = 1;
        self.hedge_at = hedge_at;
        Some(target)
    }

    /// Records the outcome of an attempt.
    pub fn finish(&mut self, elapsed: Duration, outcome: AttemptOutcome, repeat: RepeatRule) {
        self.outstanding = self.outstanding.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered => {
                self.ran += 1;
                self.is_answered = true;
            }
            AttemptOutcome::NotRun => self.retry_at = Some(elapsed),
            AttemptOutcome::Failed => {
                self.ran += 1;
                if repeat == RepeatRule::Idempotent {
                    self.retry_at = Some(elapsed);
                } else {
                    self.retry_at = None;
                }
            }
        }
    }

    /// Returns the next extra attempt, if one is due. The request may run on at most `max_attempts`
    /// targets.
    pub fn next(
        &mut self,
        service: usize,
        elapsed: Duration,
        max_attempts: u32,
        chooser: &mut impl AttemptChooser,
    ) -> Option<(TargetKey, AttemptReason)> {
        if self.is_answered || self.is_spent(max_attempts) {
            return None;
        }
        let reason = if self.retry_at.is_some_and(|at| at <= elapsed) {
            AttemptReason::Retry
        } else if self.hedge_at.is_some_and(|at| at <= elapsed) && self.outstanding > 0 {
            AttemptReason::Hedge
        } else {
            return None;
        };
        let chosen = match chooser.choose(service, &self.tried) {
            Some(target) => Some(target),
            // All targets have been tried. After a delay, a target that shed the request may accept
            // it, whereas one that failed may fail again. The target of the last attempt is chosen
            // only if there is no other.
            None if reason == AttemptReason::Retry && self.outstanding == 0 => {
                let last_attempt = self.tried.len() - 1;
                if !self.has_delayed {
                    self.has_delayed = true;
                    self.retry_at = Some(elapsed + RESEND_DELAY);
                    return None;
                }
                self.has_delayed = false;
                chooser
                    .choose(service, &self.tried[last_attempt..])
                    .or_else(|| chooser.choose(service, &[]))
            }
            None => None,
        };
        let Some(target) = chosen else {
            if reason == AttemptReason::Hedge {
                self.hedge_at = None;
            } else {
                self.retry_at = Some(elapsed + RESEND_DELAY);
            }
            return None;
        };
        if !chooser.allow(service, reason) {
            let later = Some(elapsed + DENIED_DELAY);
            if reason == AttemptReason::Hedge {
                self.hedge_at = later;
            } else {
                self.retry_at = later;
            }
            return None;
        }
        self.hedge_at = None;
        self.retry_at = None;
        self.tried.push(target);
        self.outstanding += 1;
        Some((target, reason))
    }

    /// Time at which the next extra attempt is due, if any.
    pub fn next_time(&self, max_attempts: u32) -> Option<Duration> {
        if self.is_answered || self.is_spent(max_attempts) {
            return None;
        }
        let hedge = if self.outstanding > 0 {
            self.hedge_at
        } else {
            None
        };
        match (hedge, self.retry_at) {
            (Some(hedge), Some(retry)) => Some(hedge.min(retry)),
            (hedge, retry) => hedge.or(retry),
        }
    }

    /// Whether the service has answered.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Whether the service has answered or may still answer.
    pub fn is_open(&self, max_attempts: u32) -> bool {
        self.is_answered
            || self.outstanding > 0
            || (self.retry_at.is_some() && !self.is_spent(max_attempts))
    }

    /// Whether the request has run, may have run or may be running on some target.
    pub fn may_have_run(&self) -> bool {
        self.ran > 0 || self.outstanding > 0
    }

    /// Number of attempts so far.
    pub fn attempts(&self) -> usize {
        self.tried.len()
    }

    fn is_spent(&self, max_attempts: u32) -> bool {
        self.ran + self.outstanding >= max_attempts.max(1) || self.tried.len() >= MOST_ATTEMPTS
    }
}
