//! Memory that incomplete answers of targets take.

use std::cell::Cell;
use std::rc::Rc;

/// Most bytes of incomplete answers that a node holds; the largest answer must fit.
const MAX_HELD_BYTES: usize = 48 * 1024 * 1024;
/// Bytes that each connection may hold whatever the others hold.
const OWN_BYTES: usize = 128 * 1024;

/// Bytes that one connection holds, as a part of those of all connections.
#[derive(Debug)]
pub struct HeldBytes {
    /// Bytes of all connections.
    total: Rc<Cell<usize>>,
    /// Bytes of this connection.
    own: usize,
}

impl HeldBytes {
    /// Creates the count of a connection that holds nothing yet.
    pub fn new(total: Rc<Cell<usize>>) -> Self {
        Self { total, own: 0 }
    }

    /// Sets the bytes that the connection holds. Returns whether it may hold more.
    pub fn set(&mut self, own: usize) -> bool {
        let total = self.total.get() - self.own + own;
        self.total.set(total);
        self.own = own;
        own < OWN_BYTES || total < MAX_HELD_BYTES
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.own);
    }
}
