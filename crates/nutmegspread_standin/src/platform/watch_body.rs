//! Response body that is fed through a channel.

use axum::body::{Bytes, HttpBody};
use hyper::body::Frame;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Chunks from a channel; an error chunk breaks the connection off.
pub(super) struct WatchBody {
    chunks: mpsc::Receiver<io::Result<Bytes>>,
}

impl WatchBody {
    pub fn new(chunks: mpsc::Receiver<io::Result<Bytes>>) -> Self {
        Self { chunks }
    }

    /// A body that breaks off before its first byte.
    pub fn broken() -> Self {
        let (sender, chunks) = mpsc::channel(1);
        let error = io::Error::new(io::ErrorKind::ConnectionAborted, "the answer is lost");
        // The channel is empty and open, so the chunk is always taken.
        let _ = sender.try_send(Err(error));
        Self { chunks }
    }
}

impl HttpBody for WatchBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.chunks
            .poll_recv(context)
            .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}
