//! Answer of the store or of a peer to one call.

use bytes::Bytes;
use hyper::StatusCode;
use nutmegspread_tier::StatedEra;

/// Answer of a server to one call.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// HTTP status code.
    pub status: StatusCode,
    /// What the answer states about the era of the store.
    pub era: StatedEra,
    /// Whole body.
    pub body: Bytes,
}

impl CallAnswer {
    /// Creates an answer that states no era, such as one of a peer.
    pub fn new(status: StatusCode, body: Bytes) -> Self {
        Self {
            status,
            era: StatedEra::Missing,
            body,
        }
    }
}
