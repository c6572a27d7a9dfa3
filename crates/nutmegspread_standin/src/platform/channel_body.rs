//! Response body whose chunks come from a channel.

use axum::body::{Bytes, HttpBody};
use hyper::body::Frame;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Response body that sends the chunks of a channel; an error in the channel closes the connection.
pub(super) struct ChannelBody {
    chunks: mpsc::Receiver<io::Result<Bytes>>,
}

impl ChannelBody {
    pub fn new(chunks: mpsc::Receiver<io::Result<Bytes>>) -> Self {
        Self { chunks }
    }

    /// Creates a body that closes the connection before its first byte.
    pub fn broken() -> Self {
        let (sender, chunks) = mpsc::channel(1);
        let error = io::Error::new(
            io::ErrorKind::ConnectionAborted,
            "the stand-in withholds the answer",
        );
        // Sending cannot fail: the new channel has room for one chunk and is not closed.
        let _ = sender.try_send(Err(error));
        Self { chunks }
    }
}

impl HttpBody for ChannelBody {
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
