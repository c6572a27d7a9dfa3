//! One call to the store or to a peer.

use crate::control::call_guard::CallGuard;
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
    /// Names and values of headers besides those of every call.
    pub headers: Vec<(&'static str, String)>,
    /// Checked once the connection is open, just before the first byte.
    pub guard: Option<CallGuard>,
    /// Longest time until the answer begins, and between two parts of its body.
    pub timeout: Duration,
}

impl ServerCall {
    /// Creates a call that sends `body` to `path`.
    pub fn send(method: Method, path: String, body: Bytes) -> Self {
        Self {
            method,
            body,
            ..Self::get(path, Duration::ZERO)
        }
    }

    /// Creates a call that reads `path`.
    pub fn get(path: String, timeout: Duration) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Bytes::new(),
            headers: Vec::new(),
            guard: None,
            timeout,
        }
    }
}
