//! State of one request that is sent to one or several services.

use crate::{
    AnswerTiming, AttemptChooser, AttemptOutcome, AttemptReason, AttemptSequence, RepeatRule,
    TargetKey,
};
use std::time::Duration;

/// An attempt that the node has to send now.
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
    /// Wait for more parts. Check again when an attempt ends, and at the latest at this time,
    /// measured from the arrival of the request.
    Wait(Duration),
    /// Answer the caller with the parts received.
    Answer,
    /// Refuse the request: too few services can still answer, or the time for the request is over,
    /// and the request has run on no target.
    Refuse,
    /// Report a failure: too few services can still answer, and the request may have run.
    Fail,
    /// Report a timeout: the time for the request is over with too few parts received, and the
    /// request may have run.
    TimeOut,
}

/// State of one request that is sent to one or several services.
///
/// The answer of each service is one part of the answer to the caller; a request to a single
/// service is treated as a gather of one part. All times are measured from the arrival of the
/// request.
#[derive(Clone, Debug)]
pub struct GatherRun {
    timing: AnswerTiming,
    repeat: RepeatRule,
    /// Largest number of targets of each service on which the request may run.
    max_attempts: u32,
    /// Smallest number of parts with which the caller gets an answer.
    least_parts: usize,
    /// Attempts on each service of the request.
    sequences: Vec<AttemptSequence>,
    /// Number of services that have answered.
    answered: usize,
}

impl GatherRun {
    /// Creates the state of a request to `service_count` services, of which at least `least_parts`
    /// must answer. The request may run on at most `max_attempts` targets of each service.
    pub fn new(
        timing: AnswerTiming,
        repeat: RepeatRule,
        max_attempts: u32,
        service_count: usize,
        least_parts: usize,
    ) -> Self {
        Self {
            timing,
            repeat,
            max_attempts,
            least_parts,
            sequences: vec![AttemptSequence::default(); service_count],
            answered: 0,
        }
    }

    /// Returns the first attempt on each service that has a target, or no attempts if fewer than
    /// `least_parts` services have one.
    pub fn start(&mut self, chooser: &mut impl AttemptChooser) -> Vec<GatherAttempt> {
        let hedge = (self.repeat == RepeatRule::Idempotent).then_some(self.timing.hedge);
        let attempts: Vec<GatherAttempt> = self
            .sequences
            .iter_mut()
            .enumerate()
            .filter_map(|(service, sequence)| {
                let target = sequence.start_first(service, hedge, chooser)?;
                Some(GatherAttempt {
                    service,
                    target,
                    reason: AttemptReason::First,
                })
            })
            .collect();
        if attempts.len() < self.least_parts {
            self.sequences.fill_with(AttemptSequence::default);
            return Vec::new();
        }
        attempts
    }

    /// Records that an attempt on `service` ended at `elapsed` with `outcome`. Returns whether the
    /// attempt brought the first answer of the service, which becomes a part of the answer to the
    /// caller.
    pub fn finish(&mut self, elapsed: Duration, service: usize, outcome: AttemptOutcome) -> bool {
        let sequence = &mut self.sequences[service];
        let is_first = outcome == AttemptOutcome::Answered && !sequence.is_answered();
        sequence.finish(elapsed, outcome, self.repeat);
        if is_first {
            self.answered += 1;
        }
        is_first
    }

    /// Returns the extra attempts (hedges and retries) that are due at `elapsed`, and records them
    /// as sent.
    pub fn due_attempts(
        &mut self,
        elapsed: Duration,
        chooser: &mut impl AttemptChooser,
    ) -> Vec<GatherAttempt> {
        let max_attempts = self.max_attempts;
        if elapsed >= self.timing.end {
            return Vec::new();
        }
        self.sequences
            .iter_mut()
            .enumerate()
            .filter_map(|(service, sequence)| {
                let (target, reason) =
                    sequence.start_extra(service, elapsed, max_attempts, chooser)?;
                Some(GatherAttempt {
                    service,
                    target,
                    reason,
                })
            })
            .collect()
    }

    /// Returns what to do with the request at `elapsed`.
    pub fn progress(&self, elapsed: Duration) -> GatherProgress {
        let has_enough = self.answered >= self.least_parts;
        let possible_parts = self
            .sequences
            .iter()
            .filter(|sequence| sequence.can_contribute(self.max_attempts))
            .count();
        if self.answered == self.sequences.len() || (has_enough && possible_parts == self.answered)
        {
            return GatherProgress::Answer;
        }
        if has_enough && elapsed >= self.timing.answer {
            return GatherProgress::Answer;
        }
        let may_have_run = self.sequences.iter().any(AttemptSequence::may_have_run);
        if possible_parts < self.least_parts {
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
        let next_check = self
            .sequences
            .iter()
            .filter_map(|sequence| sequence.extra_due_time(self.max_attempts))
            .min()
            .unwrap_or(self.timing.end)
            .min(self.timing.end);
        let next_check = if has_enough {
            next_check.min(self.timing.answer)
        } else {
            next_check
        };
        let answer = self.timing.answer;
        // If enough parts arrive before `answer`, the request has to be answered at `answer`, so
        // the wait must not last longer.
        GatherProgress::Wait(if elapsed < answer {
            next_check.min(answer)
        } else {
            next_check
        })
    }

    /// Returns how to end a request for which no further target can be found in time.
    pub fn give_up(&self) -> GatherProgress {
        if self.answered >= self.least_parts {
            GatherProgress::Answer
        } else if self.sequences.iter().any(AttemptSequence::may_have_run) {
            GatherProgress::Fail
        } else {
            GatherProgress::Refuse
        }
    }

    /// Smallest number of parts with which the request is answered.
    pub fn least_parts(&self) -> usize {
        self.least_parts
    }

    /// Whether exactly the smallest number of parts for an answer has arrived.
    pub fn is_enough(&self) -> bool {
        self.answered == self.least_parts
    }

    /// Number of services that have answered.
    pub fn answered(&self) -> usize {
        self.answered
    }

    /// Number of extra attempts (hedges and retries) sent so far, on all services.
    pub fn extra_attempts(&self) -> usize {
        self.sequences
            .iter()
            .map(|sequence| sequence.attempts().saturating_sub(1))
            .sum()
    }

    /// Whether the service with this index has answered.
    pub fn is_answered(&self, service: usize) -> bool {
        self.sequences[service].is_answered()
    }

    /// Times at which hedges are sent and the request is answered and given up.
    pub fn timing(&self) -> &AnswerTiming {
        &self.timing
    }
}
