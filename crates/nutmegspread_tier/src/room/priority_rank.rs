//! Ranks of priorities, which bound the state that is kept by priority.

/// Number of ranks; priorities beyond the last rank share it.
pub const PRIORITY_RANKS: usize = 8;

/// Rank of a priority: 0 for the most urgent.
pub fn priority_rank(priority: u32) -> usize {
    (priority as usize).min(PRIORITY_RANKS - 1)
}
