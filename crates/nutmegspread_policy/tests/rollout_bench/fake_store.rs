//! Stand-in for the platform's store, with resource versions and conditional updates.

use nutmegspread_model::{ResourceVersion, RolloutRecord, RolloutState};
use nutmegspread_policy::rollout::{KnownRecord, WriteOutcome};
use std::time::SystemTime;

/// One stored rollout record and all states that were written to it.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    /// Current resource version; 0 while no record exists.
    pub version: ResourceVersion,
    /// Every record that was stored, with the token of its write, oldest first.
    pub history: Vec<(RolloutRecord, String)>,
}

impl FakeStore {
    pub fn write(
        &mut self,
        token: &str,
        record: RolloutRecord,
        base: Option<ResourceVersion>,
    ) -> WriteOutcome {
        let current = (self.version > 0).then_some(self.version);
        if base != current {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        self.history.push((record, token.to_owned()));
        WriteOutcome::Accepted(self.version)
    }

    pub fn read(&self, confirmed: SystemTime) -> Option<KnownRecord> {
        let (record, token) = self.history.last()?;
        Some(KnownRecord {
            record: record.clone(),
            version: self.version,
            token: Some(token.clone()),
            confirmed,
        })
    }

    pub fn state(&self) -> Option<&RolloutState> {
        self.history.last().map(|(record, _)| &record.state)
    }
}
