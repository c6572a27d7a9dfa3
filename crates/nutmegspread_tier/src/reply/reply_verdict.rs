//! Decides whether a request has run and what its caller may be told, from a target's response.

use crate::{AttemptOutcome, CallerStatement, RepeatRule, ReplyFacts};

/// Status with which a process rejects a request that is meant for another target. No target sends it
/// after it has run a request, so that it needs no header.
const MISDIRECTED: u16 = 421;
/// Statuses that guarantee to a caller that the request has not run, whoever sent them.
const PROMISING_STATUSES: [u16; 4] = [408, MISDIRECTED, 429, 503];

/// Whether a request has run, what its caller may be told, and whether it may be sent again, by a
/// target's complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyVerdict {
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// What the caller may be told.
    pub statement: CallerStatement,
    /// Whether the request may be sent to another target.
    pub may_repeat: bool,
}

impl ReplyVerdict {
    /// Decides from a response to a request with the given rule.
    pub fn new(facts: ReplyFacts, repeat: RepeatRule) -> Self {
        let outcome = outcome(facts);
        Self {
            outcome,
            statement: statement(facts, outcome),
            may_repeat: repeat.allows_repeat(outcome),
        }
    }
}

fn outcome(facts: ReplyFacts) -> AttemptOutcome {
    if facts.says_not_run || facts.status == MISDIRECTED {
        return AttemptOutcome::NotRun;
    }
    if (200..300).contains(&facts.status) && facts.is_signed && !facts.is_encoded {
        return AttemptOutcome::Answered;
    }
    AttemptOutcome::Failed
}

fn statement(facts: ReplyFacts, outcome: AttemptOutcome) -> CallerStatement {
    let is_failure = facts.status >= 300 && !facts.is_encoded;
    match outcome {
        AttemptOutcome::NotRun | AttemptOutcome::NotSent => CallerStatement::NotRun,
        AttemptOutcome::Answered => CallerStatement::Forward,
        AttemptOutcome::Failed if is_failure && !PROMISING_STATUSES.contains(&facts.status) => {
            CallerStatement::Forward
        }
        AttemptOutcome::Failed => CallerStatement::BadGateway,
    }
}
