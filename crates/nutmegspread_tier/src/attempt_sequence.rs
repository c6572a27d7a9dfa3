//! The sends of one request to one service.

use crate::RepeatRule;
use std::time::Duration;

/// Names a target within a node.
pub type TargetKey = u64;

/// Pause before a request goes again to a service whose targets all had no room.
const SHED_PAUSE: Duration = Duration::from_millis(15);
/// Pause before a second send that the budget did not allow is asked for again.
const DENIED_PAUSE: Duration = Duration::from_millis(10);
/// Sends of one request to one service, those that did not run included.
const MOST_SENDS: usize = 6;

/// What became of one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A success came back whole.
    Answered,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run and brought no success.
    Failed,
}

/// Why a send goes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReason {
    /// The first send of the request to this service.
    First,
    /// An earlier send is still without an answer.
    Hedge,
    /// An earlier send came to nothing.
    Retry,
}

/// What a run asks of the node's state.
pub trait AttemptChooser {
    /// The best target of the service other than those in `tried`.
    fn choose(&mut self, service: usize, tried: &[TargetKey]) -> Option<TargetKey>;
    /// Whether the budget bears one more send to the service.
    fn allow(&mut self, service: usize, reason: AttemptReason) -> bool;
}

/// The sends of one request to one service.
#[derive(Clone, Debug, Default)]
pub struct AttemptSequence {
    tried: Vec<TargetKey>,
    /// Sends that ran or may have run.
    ran: u32,
    outstanding: u32,
    is_answered: bool,
    hedge_at: Option<Duration>,
    retry_at: Option<Duration>,
    /// Whether the pause before targets are tried anew is over.
    has_paused: bool,
}

impl AttemptSequence {
    /// Chooses the target of the first send; nothing if the service has no target.
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

    /// Notes the end of a send.
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

    /// The next send, if one is due; `attempts` bounds the targets on which the request may run.
    pub fn next(
        &mut self,
        service: usize,
        elapsed: Duration,
        attempts: u32,
        chooser: &mut impl AttemptChooser,
    ) -> Option<(TargetKey, AttemptReason)> {
        if self.is_answered || self.is_spent(attempts) {
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
            // A target that had no room may have some by now; one that failed may not.
            None if reason == AttemptReason::Retry && self.outstanding == 0 => {
                let last_send = self.tried.len() - 1;
                if !self.has_paused {
                    self.has_paused = true;
                    self.retry_at = Some(elapsed + SHED_PAUSE);
                    return None;
                }
                self.has_paused = false;
                chooser
                    .choose(service, &self.tried[last_send..])
                    .or_else(|| chooser.choose(service, &[]))
            }
            None => None,
        };
        let Some(target) = chosen else {
            if reason == AttemptReason::Hedge {
                self.hedge_at = None;
            } else {
                self.retry_at = Some(elapsed + SHED_PAUSE);
            }
            return None;
        };
        if !chooser.allow(service, reason) {
            let later = Some(elapsed + DENIED_PAUSE);
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

    /// When the next send falls due.
    pub fn next_time(&self, attempts: u32) -> Option<Duration> {
        if self.is_answered || self.is_spent(attempts) {
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

    /// Whether the answer is in.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Whether an answer may still come.
    pub fn is_open(&self, attempts: u32) -> bool {
        self.is_answered
            || self.outstanding > 0
            || (self.retry_at.is_some() && !self.is_spent(attempts))
    }

    /// Whether the request ran, or may have run or be running, anywhere.
    pub fn may_have_run(&self) -> bool {
        self.ran > 0 || self.outstanding > 0
    }

    /// Sends so far.
    pub fn sends(&self) -> usize {
        self.tried.len()
    }

    fn is_spent(&self, attempts: u32) -> bool {
        self.ran + self.outstanding >= attempts.max(1) || self.tried.len() >= MOST_SENDS
    }
}
