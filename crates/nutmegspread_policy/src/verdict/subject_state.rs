//! Newest verdict on one subject.

use nutmegspread_model::{HealthVerdict, VerdictRecord};

/// Newest verdict on a target or failure domain, and how often it came back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SubjectState {
    /// Sequence of the newest record.
    pub sequence: u64,
    /// Its verdict.
    pub verdict: HealthVerdict,
    /// Changes from down to up that this process saw or can infer.
    pub return_count: u64,
}

impl SubjectState {
    /// Takes a record if it is newer, and says whether it was.
    pub fn apply(&mut self, record: &VerdictRecord) -> bool {
        if record.sequence <= self.sequence {
            return false;
        }
        self.return_count += u64::from(self.returns_with(record));
        self.sequence = record.sequence;
        self.verdict = record.verdict;
        true
    }

    /// Whether the subject came back between the newest record and this one.
    ///
    /// A gap in the sequence may hide a record `Down`, so an `Up` after a gap counts as a return:
    /// a needless cold start is cheaper than full load on a cold target.
    fn returns_with(&self, record: &VerdictRecord) -> bool {
        let is_known = self.sequence > 0;
        let hides_records = is_known && record.sequence - self.sequence > 1;
        record.verdict == HealthVerdict::Up
            && (self.verdict == HealthVerdict::Down || hides_records)
    }
}
