//! Which nodes watch the store, and when the others read it themselves.

use crate::membership::member_record::MemberRecord;
use crate::membership::member_view::MemberView;
use crate::membership::read_urgency::ReadUrgency;
use crate::membership::watch_role::WatchRole;
use std::time::{Duration, Instant};

impl MemberView {
    /// Returns this node's role towards the store: the first `watchers` candidates that reach the
    /// store watch it, the first of them leads, and the other nodes follow them.
    pub fn watch_role(&self, now: Instant, own: &MemberRecord) -> WatchRole {
        let candidates = self.candidates(now, own);
        let rank = candidates
            .iter()
            .filter(|record| record.reaches_store)
            .position(|record| record.node == own.node);
        let is_starting = now.saturating_duration_since(self.started) < self.settings.greeting_time;
        if is_starting && self.members.is_empty() {
            return WatchRole::Follow;
        }
        match rank {
            Some(0) => WatchRole::Lead,
            Some(rank) if rank < self.settings.watchers => WatchRole::Watch,
            // A candidate that does not reach the store also keeps watching it. Otherwise, after an
            // outage, no node would notice that the store is available again.
            None if self.is_candidate(now, own) => WatchRole::Watch,
            _ => WatchRole::Follow,
        }
    }

    /// Whether another node watches the store while this one leads.
    pub fn has_other_watcher(&self, now: Instant, own: &MemberRecord) -> bool {
        let candidates = self.candidates(now, own);
        let mut others = candidates.iter().filter(|record| record.node != own.node);
        others.any(|record| record.reaches_store)
    }

    /// How urgently this node has to read objects of this `age` from the store, whatever its role.
    /// `kind` is an index into [`MemberRecord::ages_ms`].
    pub fn read_urgency(
        &self,
        now: Instant,
        own: &MemberRecord,
        kind: usize,
        age: Duration,
    ) -> ReadUrgency {
        let settings = &self.settings;
        if !self.is_old(age) {
            return ReadUrgency::None;
        }
        let ranking = self.ranking(now, own);
        let rank = (ranking.own_rank, ranking.length);
        let is_confirmed = self.candidates(now, own).iter().any(|record| {
            let confirmed_age = self.confirmed_age(now, record, kind);
            record.reaches_store && confirmed_age.is_some_and(|age| !self.is_old(age))
        });
        ReadUrgency::of_rank(settings, rank, is_confirmed, age)
    }

    /// Time after the store has come back from an older copy for which this node waits for the list of
    /// another one, if the candidate of rank `first` lists first. Other nodes than candidates do not
    /// wait: they list only what is too old.
    ///
    /// Load pattern: all candidates learn of the new era within milliseconds, and need the same lists.
    pub fn list_turn(&self, now: Instant, own: &MemberRecord, first: usize) -> Duration {
        let ranking = self.ranking(now, own);
        let candidates = ranking.length.min(self.settings.candidates);
        let rank = ranking.own_rank;
        let first = first.min(candidates - 1);
        if rank >= candidates || rank == first {
            return Duration::ZERO;
        }
        let turn = (rank + candidates - first) % candidates;
        self.settings.list_time + self.settings.list_spread * turn as u32
    }

    /// Whether objects of this `age` should have been confirmed since.
    pub fn is_old(&self, age: Duration) -> bool {
        age > self.settings.candidate_age
    }

    /// Time since the store last confirmed a kind of objects to a peer, by its last record.
    fn confirmed_age(&self, now: Instant, record: &MemberRecord, kind: usize) -> Option<Duration> {
        let heard = self.members.get(&record.node)?.heard;
        let age_ms = u64::from(*record.ages_ms.get(kind)?);
        Some(Duration::from_millis(age_ms) + now.saturating_duration_since(heard))
    }
}
