//! One call to the store or to a peer.

use bytes::Bytes;
use hyper::Method;
use std::time::Duration;

/// One call to a server.
#[derive(Clone, Debug)]
pub struct ServerCall {
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Body, JSON or empty.
    pub body: Bytes,
    /// Longest time until the answer begins, and between two parts of its body.
    pub timeout: Duration,
}

impl ServerCall {
    /// Creates a call that reads `path`.
    pub fn get(path: String, timeout: Duration) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Bytes::new(),
            timeout,
        }
    }
}
