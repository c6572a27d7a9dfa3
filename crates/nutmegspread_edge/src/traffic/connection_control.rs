//! Handle with which a connection is identified and closed.

use nutmegspread_tier::ConnectionKey;
use std::cell::Cell;
use tokio::sync::Notify;

/// Handle with which a connection is identified and closed.
#[derive(Debug)]
pub struct ConnectionControl {
    /// Identifies the connection.
    pub key: ConnectionKey,
    /// Whether the connection is to be closed.
    pub is_closing: Cell<bool>,
    /// Notified when an attempt is sent or the connection is to be closed.
    pub changed: Notify,
}

impl ConnectionControl {
    /// Creates the handle of an open connection.
    pub fn new(key: ConnectionKey) -> Self {
        Self {
            key,
            is_closing: Cell::new(false),
            changed: Notify::new(),
        }
    }

    /// Closes the connection, even while it carries an attempt.
    pub fn close(&self) {
        self.is_closing.set(true);
        self.changed.notify_one();
    }
}
