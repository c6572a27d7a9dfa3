//! Level of overload of one rank of priorities.

use std::time::Instant;

/// Level of overload of one rank of priorities.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankLevel {
    /// From 0 (calm) to 1 (overloaded).
    pub level: f64,
    /// Time of the newest observation on which the level depends; `None` if there is none.
    pub observed: Option<Instant>,
}
