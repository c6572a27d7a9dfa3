//! State of one request that is sent to one or several services.

use crate::{
    AnswerTiming, AttemptChooser, AttemptOutcome, AttemptReason, AttemptSequence, RepeatRule,
    TargetKey,
};
use std::time::Duration;

/// An attempt that the caller has to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatherAttempt {
    /// Index of the service among the services of the request.
    pub service: usize,
    /// Target that gets the attempt.
    pub target: TargetKey,
    /// Why the attempt is made.
    pub reason: AttemptReason,
}

/// What to do next with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatherProgress {
    /// Wait for more parts; check again at this time since the request's arrival, or when an
    /// attempt ends.
    Wait(Duration),
    /// Answer the caller with the parts received.
    Answer,
    /// Refuse the request: too few parts can be had, and the request has run on no target.
    Refuse,
    /// Report a failure: too few parts can be had, and the request may have run.
    Fail,
    /// Report a timeout: the time for the request is over, too few parts were received, and the
    /// request may have run.
    TimeOut,
}

/// State of one request that is sent to one or several services.
///
/// The answer of each service is one part of the answer to the caller. All times are measured from
/// the arrival of the request.
#[derive(Clone, Debug)]
pub struct GatherRun {
    timing: AnswerTiming,
    repeat: RepeatRule,
    max_attempts: u32,
    least_parts: usize,
    services: Vec<AttemptSequence>,
    answered: usize,
}

impl GatherRun {
    /// Creates a request to `services` services, of which at least `least_parts` must answer. On
    /// each service it runs on at most `max_attempts` targets.
    pub fn new(
        timing: AnswerTiming,
        repeat: RepeatRule,
        max_attempts: u32,
        services: usize,
        least_parts: usize,
    ) -> Self {
        Self {
            timing,
            repeat,
            max_attempts,
            least_parts,
            services: vec![AttemptSequence::default(); services],
            answered: 0,
        }
    }

    /// Returns the first attempt to each service, or none if too few services have a target.
    pub fn start(&mut self, chooser: &mut impl AttemptChooser) -> Vec<GatherAttempt> {
        let hedge = (self.repeat == RepeatRule::Idempotent).then_some(self.timing.hedge);
        let attempts: Vec<GatherAttempt> = self
            .services
            .iter_mut()
            .enumerate()
            .filter_map(|(service, sequence)| {
                let target = sequence.first(service, hedge, chooser)?;
                Some(GatherAttempt {
                    service,
                    target,
                    reason: AttemptReason::First,
                })
            })
            .collect();
        if attempts.len() < self.least_parts {
            self.services.fill_with(AttemptSequence::default);
            return Vec::new();
        }
        attempts
    }

    /// Records the outcome of an attempt to `service`. Returns whether it is the first answer of
    /// the service, whose content becomes part of the answer to the caller.
    pub fn finish(&mut self, elapsed: Duration, service: usize, outcome: AttemptOutcome) -> bool {
        let sequence = &mut self.services[service];
        let is_first = outcome == AttemptOutcome::Answered && !sequence.is_answered();
        sequence.finish(elapsed, outcome, self.repeat);
        if is_first {
            self.answered += 1;
        }
        is_first
    }

    /// Returns the hedges and retries that are due at `elapsed`.
    pub fn due_attempts(
        &mut self,
        elapsed: Duration,
        chooser: &mut impl AttemptChooser,
    ) -> Vec<GatherAttempt> {
        let max_attempts = self.max_attempts;
        if elapsed >= self.timing.end {
            return Vec::new();
        }
        self.services
            .iter_mut()
            .enumerate()
            .filter_map(|(service, sequence)| {
                let (target, reason) = sequence.next(service, elapsed, max_attempts, chooser)?;
                Some(GatherAttempt {
                    service,
                    target,
                    reason,
                })
            })
            .collect()
    }

    /// Returns what to do next with the request.
    pub fn progress(&self, elapsed: Duration) -> GatherProgress {
        let has_enough = self.answered >= self.least_parts;
        let open_count = self
            .services
            .iter()
            .filter(|sequence| sequence.is_open(self.max_attempts))
            .count();
        if self.answered == self.services.len() || (has_enough && open_count == self.answered) {
            return GatherProgress::Answer;
        }
        if has_enough && elapsed >= self.timing.answer {
            return GatherProgress::Answer;
        }
        let may_have_run = self.services.iter().any(AttemptSequence::may_have_run);
        if open_count < self.least_parts {
            return if may_have_run {
                GatherProgress::Fail
            } else {
                GatherProgress::Refuse
            };
        }
        if elapsed >= self.timing.end {
            return if may_have_run {
                GatherProgress::TimeOut
            } else {
                GatherProgress::Refuse
            };
        }
        let next = self
            .services
            .iter()
            .filter_map(|sequence| sequence.next_time(self.max_attempts))
            .min()
            .unwrap_or(self.timing.end)
            .min(self.timing.end);
        let next = if has_enough {
            next.min(self.timing.answer)
        } else {
            next
        };
        let answer = self.timing.answer;
        // Enough parts may arrive before `answer`, and the request then has to be answered at that
        // time.
        GatherProgress::Wait(if elapsed < answer {
            next.min(answer)
        } else {
            next
        })
    }

    /// Smallest number of parts with which the request is answered.
    pub fn least_parts(&self) -> usize {
        self.least_parts
    }

    /// Number of services that have answered.
    pub fn answered(&self) -> usize {
        self.answered
    }

    /// Number of hedges and retries sent so far.
    pub fn extra_attempts(&self) -> usize {
        self.services
            .iter()
            .map(|sequence| sequence.attempts().saturating_sub(1))
            .sum()
    }

    /// Whether this service has answered.
    pub fn is_answered(&self, service: usize) -> bool {
        self.services[service].is_answered()
    }

    /// Times at which the request sends hedges, is answered and ends.
    pub fn timing(&self) -> &AnswerTiming {
        &self.timing
    }
}
