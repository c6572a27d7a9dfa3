//! The course of one request over one or many services.

use crate::{
    AnswerTiming, AttemptChooser, AttemptOutcome, AttemptReason, AttemptSequence, RepeatRule,
    TargetKey,
};
use std::time::Duration;

/// A send to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatherAttempt {
    /// Index of the service among those of the route.
    pub service: usize,
    /// Where the send goes.
    pub target: TargetKey,
    /// Why it goes out.
    pub reason: AttemptReason,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatherProgress {
    /// Parts are still awaited; look again at this time or when a send ends.
    Wait(Duration),
    /// The parts that are in make up the answer.
    Answer,
    /// Too few parts came and no more can; nothing ran.
    Refuse,
    /// Too few parts came and no more can.
    Fail,
    /// The time is up with too few parts.
    TimeOut,
}

/// The course of one request over one or many services.
///
/// All times are counted from the arrival of the request.
#[derive(Clone, Debug)]
pub struct GatherRun {
    timing: AnswerTiming,
    repeat: RepeatRule,
    attempts: u32,
    least_parts: usize,
    services: Vec<AttemptSequence>,
    answered: usize,
}

impl GatherRun {
    /// Starts a request over `services` services, of which `least_parts` must answer.
    pub fn new(
        timing: AnswerTiming,
        repeat: RepeatRule,
        attempts: u32,
        services: usize,
        least_parts: usize,
    ) -> Self {
        Self {
            timing,
            repeat,
            attempts,
            least_parts,
            services: vec![AttemptSequence::default(); services],
            answered: 0,
        }
    }

    /// The first sends, or nothing if too few services have a target.
    pub fn start(&mut self, chooser: &mut impl AttemptChooser) -> Vec<GatherAttempt> {
        let hedge = (self.repeat == RepeatRule::Idempotent).then_some(self.timing.hedge);
        let sends: Vec<GatherAttempt> = self
            .services
            .iter_mut()
            .enumerate()
            .filter_map(|(service, run)| {
                let target = run.first(service, hedge, chooser)?;
                Some(GatherAttempt {
                    service,
                    target,
                    reason: AttemptReason::First,
                })
            })
            .collect();
        if sends.len() < self.least_parts {
            self.services.fill_with(AttemptSequence::default);
            return Vec::new();
        }
        sends
    }

    /// Notes the end of a send to `service`; returns whether its answer belongs to the request.
    pub fn finish(&mut self, elapsed: Duration, service: usize, outcome: AttemptOutcome) -> bool {
        let run = &mut self.services[service];
        let is_first = outcome == AttemptOutcome::Answered && !run.is_answered();
        run.finish(elapsed, outcome, self.repeat);
        if is_first {
            self.answered += 1;
        }
        is_first
    }

    /// The sends that are due by now.
    pub fn due_attempts(
        &mut self,
        elapsed: Duration,
        chooser: &mut impl AttemptChooser,
    ) -> Vec<GatherAttempt> {
        let attempts = self.attempts;
        if elapsed >= self.timing.end {
            return Vec::new();
        }
        self.services
            .iter_mut()
            .enumerate()
            .filter_map(|(service, run)| {
                let (target, reason) = run.next(service, elapsed, attempts, chooser)?;
                Some(GatherAttempt {
                    service,
                    target,
                    reason,
                })
            })
            .collect()
    }

    /// How far the request has come.
    pub fn progress(&self, elapsed: Duration) -> GatherProgress {
        let has_enough = self.answered >= self.least_parts;
        let open = self
            .services
            .iter()
            .filter(|run| run.is_open(self.attempts))
            .count();
        if self.answered == self.services.len() || (has_enough && open == self.answered) {
            return GatherProgress::Answer;
        }
        if has_enough && elapsed >= self.timing.answer {
            return GatherProgress::Answer;
        }
        let may_have_run = self.services.iter().any(AttemptSequence::may_have_run);
        if open < self.least_parts {
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
            .filter_map(|run| run.next_time(self.attempts))
            .min()
            .unwrap_or(self.timing.end)
            .min(self.timing.end);
        let next = if has_enough {
            next.min(self.timing.answer)
        } else {
            next
        };
        let answer = self.timing.answer;
        // Parts may come in up to the time of the answer, which then must not be missed.
        GatherProgress::Wait(if elapsed < answer {
            next.min(answer)
        } else {
            next
        })
    }

    /// Parts that an answer needs at least.
    pub fn least_parts(&self) -> usize {
        self.least_parts
    }

    /// Parts that are in.
    pub fn answered(&self) -> usize {
        self.answered
    }

    /// Sends beyond the first to each service.
    pub fn extra_attempts(&self) -> usize {
        self.services
            .iter()
            .map(|run| run.sends().saturating_sub(1))
            .sum()
    }

    /// Whether the answer of this service is in.
    pub fn is_answered(&self, service: usize) -> bool {
        self.services[service].is_answered()
    }

    /// The times that the request keeps to.
    pub fn timing(&self) -> &AnswerTiming {
        &self.timing
    }
}
