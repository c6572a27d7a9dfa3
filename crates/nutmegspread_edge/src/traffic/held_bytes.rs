//! Memory that answers of targets take.

use nutmegspread_tier::AnswerMemory;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that one answer takes, as a part of those of all answers, until this value is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    /// Bytes of all answers.
    total: Arc<AtomicUsize>,
    /// Bytes of this answer.
    own: usize,
}

impl HeldBytes {
    /// Creates the count of an answer of which `own` bytes are held.
    pub fn new(total: Arc<AtomicUsize>, own: usize) -> Self {
        total.fetch_add(own, Ordering::Relaxed);
        Self { total, own }
    }

    /// Creates the count of `own` bytes that are made from this answer and held beside it.
    pub fn beside(&self, own: usize) -> Self {
        Self::new(Arc::clone(&self.total), own)
    }

    /// Sets the bytes that the answer takes. Returns whether `memory` allows to read it on.
    pub fn set(&mut self, own: usize, memory: &AnswerMemory) -> bool {
        self.total.fetch_add(own, Ordering::Relaxed);
        self.total.fetch_sub(self.own, Ordering::Relaxed);
        self.own = own;
        memory.allows(own, self.total.load(Ordering::Relaxed))
    }
}

/// Counts are equal if they stand for as many bytes.
impl PartialEq for HeldBytes {
    fn eq(&self, other: &Self) -> bool {
        self.own == other.own
    }
}

impl Eq for HeldBytes {}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.total.fetch_sub(self.own, Ordering::Relaxed);
    }
}

/// Body of an answer that counts among the held bytes until it was sent to the caller.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Vec<u8>,
    /// Counts the bytes until it is dropped.
    _held: Option<HeldBytes>,
}

impl HeldBody {
    /// Creates a body whose bytes `held` counts.
    pub fn new(bytes: Vec<u8>, held: Option<HeldBytes>) -> Self {
        Self { bytes, _held: held }
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
