//! Bodies of replies, whole or broken on purpose.

use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Bytes of each piece of an endless body.
const ENDLESS_CHUNK: &[u8] = &[b' '; 4096];

/// Body of one reply.
pub enum ReplyBody {
    /// All bytes at once, then the end.
    Whole(Option<Bytes>),
    /// Some bytes of a longer body, then a broken connection.
    Truncated {
        /// Bytes still to send.
        rest: Option<Bytes>,
        /// Length that the header states.
        content_length: u64,
        /// Whether the bytes had time to leave.
        flushed: bool,
    },
    /// Spaces without end.
    Endless,
}

impl ReplyBody {
    /// A whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A body that breaks off in the middle.
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
