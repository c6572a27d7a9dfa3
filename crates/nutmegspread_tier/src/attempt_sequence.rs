//! Attempts of one request on one service: when extra ones are due, and which targets get them.

use crate::RepeatRule;
use std::time::Duration;

/// Identifies a target within one node.
pub type TargetKey = u64;

/// Delay before a retry if the request has already been sent to all targets of the service.
const RESEND_DELAY: Duration = Duration::from_millis(15);
/// Delay before the budget is asked again for an extra attempt that it did not allow.
const DENIED_DELAY: Duration = Duration::from_millis(10);
/// Largest number of attempts of one request on one service. Unlike `max_attempts`, it also counts
/// attempts that did not run.
const MOST_ATTEMPTS: usize = 6;

/// Outcome of one attempt, as seen by its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered with success, and the answer is complete.
    Answered,
    /// The request certainly did not run on the target.
    NotRun,
    /// As [`Self::NotRun`], and the target did not receive any byte of the request. The attempt that
    /// replaces this one takes nothing from the retry budget.
    NotSent,
    /// There is no successful answer, and the request may have run on the target.
    Failed,
}

impl AttemptOutcome {
    /// Whether the request certainly did not run on the target.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotRun | Self::NotSent)
    }
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
    /// Returns the best of the service's targets that are not in `tried`; `None` if there is none.
    /// `service` is the index of the service among those of the request.
    fn choose(&mut self, service: usize, tried: &[TargetKey]) -> Option<TargetKey>;
    /// Takes one extra attempt from the retry budget of the service; returns whether the budget
    /// allowed the attempt.
    fn take_extra(&mut self, service: usize, reason: AttemptReason) -> bool;
}

/// Attempts of one request on one service.
///
/// All times are measured from the arrival of the request.
#[derive(Clone, Debug, Default)]
pub struct AttemptSequence {
    /// Target of each attempt, in the order of sending.
    tried: Vec<TargetKey>,
    /// Number of ended attempts that ran or may have run.
    ran: u32,
    /// Number of attempts that have not ended.
    outstanding: u32,
    /// Number of attempts that ended as [`AttemptOutcome::NotSent`] and that no later attempt has
    /// replaced. The retry budget limits what targets receive.
    unsent: u32,
    /// Whether a target of the service has answered.
    is_answered: bool,
    /// Time from which a hedge is due, if one may be sent.
    hedge_at: Option<Duration>,
    /// Time from which a retry is due, if one may be sent.
    retry_at: Option<Duration>,
    /// Whether the next attempt on a target already tried has been put off by [`RESEND_DELAY`].
    has_delayed_resend: bool,
}

impl AttemptSequence {
    /// Chooses the target of the first attempt and records the attempt as sent; returns `None` if
    /// the service has no target. `hedge_at` is `None` if no hedges may be sent.
    pub fn start_first(
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

    /// Records that an attempt ended at `elapsed` with `outcome`. An attempt that did not run or was
    /// not sent is followed by a retry; a failed one only if the request is idempotent.
    pub fn finish(&mut self, elapsed: Duration, outcome: AttemptOutcome, repeat: RepeatRule) {
        self.outstanding = self.outstanding.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered => {
                self.ran += 1;
                self.is_answered = true;
            }
            AttemptOutcome::NotRun => self.retry_at = Some(elapsed),
            AttemptOutcome::NotSent => {
                self.unsent += 1;
                self.retry_at = Some(elapsed);
            }
            AttemptOutcome::Failed => {
                self.ran += 1;
                self.retry_at = repeat.allows_repeat(outcome).then_some(elapsed);
            }
        }
    }

    /// Returns the target and the reason of the next extra attempt if one is due at `elapsed`, and
    /// records the attempt as sent. The request may run on at most `max_attempts` targets.
    pub fn start_extra(
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
            // it. The target of the last attempt may fail again, so it is chosen only if there is
            // no other.
            None if reason == AttemptReason::Retry && self.outstanding == 0 => {
                let last_attempt = self.tried.len() - 1;
                if !self.has_delayed_resend {
                    self.has_delayed_resend = true;
                    self.retry_at = Some(elapsed + RESEND_DELAY);
                    return None;
                }
                self.has_delayed_resend = false;
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
        if self.unsent == 0 && !chooser.take_extra(service, reason) {
            let later = Some(elapsed + DENIED_DELAY);
            if reason == AttemptReason::Hedge {
                self.hedge_at = later;
            } else {
                self.retry_at = later;
            }
            return None;
        }
        self.unsent = self.unsent.saturating_sub(1);
        self.hedge_at = None;
        self.retry_at = None;
        self.tried.push(target);
        self.outstanding += 1;
        Some((target, reason))
    }

    /// Time at which the next extra attempt is due, if any.
    pub fn extra_due_time(&self, max_attempts: u32) -> Option<Duration> {
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

    /// Whether a target of the service has answered.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Whether a target of the service has answered or one may still answer.
    pub fn can_contribute(&self, max_attempts: u32) -> bool {
        self.is_answered
            || self.outstanding > 0
            || (self.retry_at.is_some() && !self.is_spent(max_attempts))
    }

    /// Whether the request has run, or may have run, on some target, or may still run on one.
    pub fn may_have_run(&self) -> bool {
        self.ran > 0 || self.outstanding > 0
    }

    /// Number of attempts sent so far.
    pub fn attempts(&self) -> usize {
        self.tried.len()
    }

    /// Whether no further attempt may be sent.
    fn is_spent(&self, max_attempts: u32) -> bool {
        self.ran + self.outstanding >= max_attempts.max(1) || self.tried.len() >= MOST_ATTEMPTS
    }
}
