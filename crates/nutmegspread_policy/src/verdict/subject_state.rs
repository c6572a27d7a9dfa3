//! The newest verdict on one subject: a target or a failure domain.

use nutmegspread_model::{HealthVerdict, VerdictRecord};

/// Newest verdict on a subject, and the number of its returns: changes from down to up, after which
/// a target counts as cold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SubjectState {
    /// Sequence number of the newest record; 0 before the first one.
    pub sequence: u64,
    /// Verdict of the newest record.
    pub verdict: HealthVerdict,
    /// Number of returns since this process started, received or inferred from a gap in the
    /// sequence.
    pub return_count: u64,
}

impl SubjectState {
    /// Applies a record if its sequence number is higher than that of the newest known one, and
    /// returns whether it was.
    pub fn apply(&mut self, record: &VerdictRecord) -> bool {
        if record.sequence <= self.sequence {
            return false;
        }
        self.return_count += u64::from(self.is_return(record));
        self.sequence = record.sequence;
        self.verdict = record.verdict;
        true
    }

    /// Whether the subject returned from down to up between the newest known record and `record`.
    ///
    /// A gap in the sequence may hide a `Down` record, so an `Up` after a gap counts as a return:
    /// to treat a warm target as cold costs less than full load on a cold target.
    fn is_return(&self, record: &VerdictRecord) -> bool {
        let is_known = self.sequence > 0;
        let may_hide_records = is_known && record.sequence - self.sequence > 1;
        record.verdict == HealthVerdict::Up
            && (self.verdict == HealthVerdict::Down || may_hide_records)
    }
}
