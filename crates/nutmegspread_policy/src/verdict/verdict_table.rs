//! The newest verdict on every subject: a target or a failure domain.

use super::subject_state::SubjectState;
use indexmap::IndexMap;
use nutmegspread_model::{HealthVerdict, VerdictRecord};

/// Prefix in the name of a subject that is a failure domain; a subject without it is a target.
const DOMAIN_PREFIX: &str = "domain/";

/// Newest verdicts by subject; a subject without a verdict is up.
///
/// Only a [`VerdictRecord`] changes the table. A node's own observations of targets have no effect
/// on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerdictTable {
    subjects: IndexMap<String, SubjectState>,
}

impl VerdictTable {
    /// Applies a record and returns whether it was newer than the newest known one of its subject.
    ///
    /// A record that arrives again, or after a newer one, has no higher sequence number than the
    /// newest known one and changes nothing.
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

    /// Number of times that the target or its failure domain returned from down to up, as known to
    /// this process; when this number changes, the target counts as cold.
    pub fn return_count(&self, target: &str, domain: &str) -> u64 {
        let states = self.states(target, domain).into_iter().flatten();
        states.map(|state| state.return_count).sum()
    }

    /// Sequence number of the newest verdict on a subject; 0 if there is none.
    pub fn sequence(&self, subject: &str) -> u64 {
        self.subjects.get(subject).map_or(0, |state| state.sequence)
    }

    /// Subjects that are down, in the order of the first record on each.
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
