//! Follows the era of the store through its answers and through messages of peers.

use crate::store_knowledge::stated_era::StatedEra;

/// What the era in an answer says, compared with the latest one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraObservation {
    /// The latest era, or none as before.
    Current,
    /// The first era that is known.
    First,
    /// A later era: the store has come back from an older copy. `before` is the era known until now.
    Risen {
        /// Era known until now.
        before: u64,
    },
    /// An earlier era than the latest one: the answer is late.
    Older,
    /// None, although the store has stated one before.
    Missing,
    /// No number.
    Unreadable,
}

/// Follows the era of the store through its answers and through messages of peers.
///
/// Load pattern: the store comes back from older copies, at times twice within a second, while answers
/// of earlier eras are still on their way and nodes that were cut off or paused know older eras.
#[derive(Clone, Debug, Default)]
pub struct EraTracker {
    latest: Option<u64>,
}

impl EraTracker {
    /// The latest era that is known; 0 if none was stated.
    pub fn latest(&self) -> u64 {
        self.latest.unwrap_or(0)
    }

    /// Records what an answer of the store states.
    pub fn observe(&mut self, stated: StatedEra) -> EraObservation {
        let number = match (stated, self.latest) {
            (StatedEra::Number(number), _) => number,
            (StatedEra::Unreadable, _) => return EraObservation::Unreadable,
            (StatedEra::Missing, Some(_)) => return EraObservation::Missing,
            (StatedEra::Missing, None) => return EraObservation::Current,
        };
        match self.latest {
            None => {
                self.latest = Some(number);
                EraObservation::First
            }
            Some(latest) if number > latest => {
                self.latest = Some(number);
                EraObservation::Risen { before: latest }
            }
            Some(latest) if number < latest => EraObservation::Older,
            Some(_) => EraObservation::Current,
        }
    }

    /// Records the era that a peer knows; 0 if it knows none.
    pub fn observe_peer(&mut self, era: u64) -> EraObservation {
        if era == 0 {
            return EraObservation::Current;
        }
        self.observe(StatedEra::Number(era))
    }
}
