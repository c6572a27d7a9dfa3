//! The newest verdict on every subject.

use super::subject_state::SubjectState;
use indexmap::IndexMap;
use nutmegspread_model::{HealthVerdict, VerdictRecord};

/// Prefix of the subject of a verdict on a whole failure domain.
const DOMAIN_PREFIX: &str = "domain/";

/// Newest verdicts by subject; a subject without a verdict is up.
///
/// Nothing but a [`VerdictRecord`] changes it: what a node sees of targets itself has no way in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerdictTable {
    subjects: IndexMap<String, SubjectState>,
}

impl VerdictTable {
    /// Takes a record and says whether it was newer than what was known.
    ///
    /// Repeated, late and crossed records carry a sequence already passed and change nothing.
    pub fn apply(&mut self, record: &VerdictRecord) -> bool {
        let state = self.subjects.entry(record.subject.clone()).or_default();
        state.apply(record)
    }

    /// Whether neither the target nor its failure domain is down.
    pub fn is_up(&self, target: &str, domain: &str) -> bool {
        self.states(target, domain)
            .into_iter()
            .flatten()
            .all(|state| state.verdict == HealthVerdict::Up)
    }

    /// Count of times that the target or its failure domain came back; a change means cold start.
    pub fn return_count(&self, target: &str, domain: &str) -> u64 {
        let states = self.states(target, domain).into_iter().flatten();
        states.map(|state| state.return_count).sum()
    }

    /// Newest sequence on a subject; 0 when there is no verdict on it.
    pub fn sequence(&self, subject: &str) -> u64 {
        self.subjects.get(subject).map_or(0, |state| state.sequence)
    }

    /// Subjects that are down, in the order in which they were first named.
    pub fn down_subjects(&self) -> impl Iterator<Item = &str> {
        let is_down = |state: &SubjectState| state.verdict == HealthVerdict::Down;
        let subjects = self.subjects.iter();
        subjects
            .filter(move |(_, state)| is_down(state))
            .map(|(subject, _)| subject.as_str())
    }

    fn states(&self, target: &str, domain: &str) -> [Option<&SubjectState>; 2] {
        let subject = format!("{DOMAIN_PREFIX}{domain}");
        [self.subjects.get(target), self.subjects.get(&subject)]
    }
}
