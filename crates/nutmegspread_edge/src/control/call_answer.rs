//! Answer of the store or of a peer to one call.

use bytes::Bytes;
use hyper::StatusCode;

/// Answer of a server to one call.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
}
