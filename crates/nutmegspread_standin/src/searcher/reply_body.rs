//! Bodies of replies, either whole or with a simulated fault.

use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Contents of each chunk of an endless body.
const ENDLESS_CHUNK: &[u8] = &[b' '; 4096];

/// Body of a reply.
pub enum ReplyBody {
    /// Sends all bytes in one chunk and ends; `None` once they are sent.
    Whole(Option<Bytes>),
    /// Sends the first bytes of a longer body and closes the connection.
    Truncated {
        /// Bytes to send before the connection closes; `None` once they are sent.
        rest: Option<Bytes>,
        /// Length of the longer body, announced in the header `content-length`.
        content_length: u64,
        /// Whether the server was given time to write the bytes before the connection closes.
        flushed: bool,
    },
    /// Sends spaces without end.
    Endless,
}

impl ReplyBody {
    /// Creates a body without a fault.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a body of which the first half is sent before the connection closes.
    pub fn truncated(bytes: impl Into<Bytes>) -> Self {
        let bytes: Bytes = bytes.into();
        let content_length = bytes.len() as u64;
        let rest = Some(bytes.slice(..bytes.len() / 2));
        Self::Truncated {
            rest,
            content_length,
            flushed: false,
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let chunk = match &mut *self {
            Self::Whole(bytes) => bytes.take().map(Ok),
            Self::Truncated {
                rest: rest @ Some(_),
                ..
            } => rest.take().map(Ok),
            Self::Truncated { flushed: true, .. } => {
                Some(Err(Error::from(ErrorKind::ConnectionAborted)))
            }
            Self::Truncated { flushed, .. } => {
                *flushed = true;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            Self::Endless => Some(Ok(Bytes::from_static(ENDLESS_CHUNK))),
        };
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Truncated { content_length, .. } => SizeHint::with_exact(*content_length),
            Self::Endless => SizeHint::default(),
        }
    }
}
