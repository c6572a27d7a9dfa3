//! Limit on the memory that answers of targets take in a node.

/// Limit on the memory that answers of targets take in a node.
///
/// Load pattern: faulty targets send without end, on as many connections as the node has, or answer
/// with bodies that slow callers take long to receive. Each answer may take a little, and all together
/// a part of the node's memory that the largest answer fits into. Beyond it, answers that take more
/// than a little are given up, so that the node and the other requests on it go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerMemory {
    /// Bytes that all answers together may take, complete ones included.
    pub total: usize,
    /// Bytes that each incomplete answer may take, whatever the others take.
    pub each: usize,
}

impl Default for AnswerMemory {
    fn default() -> Self {
        Self {
            total: 48 * 1024 * 1024,
            each: 16 * 1024,
        }
    }
}

impl AnswerMemory {
    /// Whether an incomplete answer that takes `own` bytes may be read on, if all answers take
    /// `total` bytes with it.
    pub fn allows(&self, own: usize, total: usize) -> bool {
        own <= self.each || total <= self.total
    }
}
