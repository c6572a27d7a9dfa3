//! How urgently a node has to read objects from the store.

use crate::membership::member_settings::MemberSettings;
use std::time::Duration;

/// How urgently a node has to read objects from the store, whatever its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadUrgency {
    /// Its objects are recent enough, or it is the turn of another node.
    None,
    /// It is its turn to find out whether the store answers.
    InTurn,
    /// Its objects are too old.
    AtOnce,
}

impl ReadUrgency {
    /// Returns the urgency for a node with objects of an `age` by its rank among all nodes.
    /// `is_confirmed` states whether a candidate for watching has a recent confirmation.
    ///
    /// Load pattern: an outage of the store, or a cut between it and the candidates, with hundreds of
    /// nodes. Candidates read first. The other nodes read the store at once if a candidate got a
    /// confirmation that they lack. If the objects of all candidates are as old, either the store is
    /// unavailable or the candidates are cut off from it, so that the other nodes try it in turn.
    pub(crate) fn of_rank(
        settings: &MemberSettings,
        (rank, nodes): (usize, usize),
        is_confirmed: bool,
        age: Duration,
    ) -> Self {
        let spread = settings.age_spread * rank as u32 / nodes as u32;
        let limit = if rank < settings.candidates {
            settings.candidate_age + spread
        } else if is_confirmed {
            settings.follower_age + spread
        } else {
            return Self::in_turn(settings, rank, nodes, age);
        };
        if age > limit {
            Self::AtOnce
        } else {
            Self::None
        }
    }

    fn in_turn(settings: &MemberSettings, rank: usize, nodes: usize, age: Duration) -> Self {
        let waited = age.saturating_sub(settings.follower_age);
        let turns = waited.as_millis() / settings.turn_time.as_millis().max(1);
        let turn = turns as usize % (nodes - settings.candidates);
        if age > settings.follower_age && turn == rank - settings.candidates {
            Self::InTurn
        } else {
            Self::None
        }
    }
}
