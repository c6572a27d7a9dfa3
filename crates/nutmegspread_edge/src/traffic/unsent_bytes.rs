//! Bytes of an attempt that its connection has not accepted yet.

use bytes::{Buf, Bytes};
use std::io::Result;
use tokio::net::tcp::OwnedWriteHalf;

/// Bytes of an attempt that its connection has not accepted yet. The body is shared with the request,
/// so that attempts at many targets which do not read hold it once.
#[derive(Debug, Default)]
pub struct UnsentBytes {
    head: Bytes,
    body: Bytes,
}

impl UnsentBytes {
    /// What is left of `message`, which ends with `body`, after `written` bytes of it.
    pub fn after(message: &[u8], body: &Bytes, written: usize) -> Self {
        let head_length = message.len() - body.len();
        Self {
            head: Bytes::copy_from_slice(message.get(written..head_length).unwrap_or_default()),
            body: body.slice(written.saturating_sub(head_length)..),
        }
    }

    /// Whether every byte was accepted.
    pub fn is_empty(&self) -> bool {
        self.head.is_empty() && self.body.is_empty()
    }

    /// Writes as much as the socket accepts at once.
    ///
    /// # Errors
    /// As for a write to the socket.
    pub fn write(&mut self, writer: &OwnedWriteHalf) -> Result<()> {
        let part = if self.head.is_empty() {
            &mut self.body
        } else {
            &mut self.head
        };
        let written = writer.try_write(part)?;
        part.advance(written);
        Ok(())
    }
}
