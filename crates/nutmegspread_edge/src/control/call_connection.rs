//! Connection for calls to the store or to a peer.

use crate::EdgeError;
use crate::control::call_answer::CallAnswer;
use crate::control::server_call::ServerCall;
use hyper::StatusCode;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

/// Longest time that the body of an answer may take once it has begun.
const MAX_BODY_TIME: Duration = Duration::from_secs(20);

/// Answer to a call, once it has arrived.
pub type CallFuture = Pin<Box<dyn Future<Output = Result<CallAnswer, EdgeError>>>>;

/// Carries out one call within its time limits. If the future is dropped, the connection that carried the call is closed,
/// and the next call opens another one.
pub type CallExchange = Box<dyn FnMut(ServerCall) -> CallFuture>;

/// Connection for calls to the store or to a peer, one at a time.
pub struct CallConnection {
    address: SocketAddr,
    exchange: CallExchange,
}

impl CallConnection {
    /// Creates a connection to the server at `address` that carries out calls with `exchange`.
    pub fn new(address: SocketAddr, exchange: CallExchange) -> Self {
        Self { address, exchange }
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one call and returns the answer if its status is a success.
    ///
    /// # Errors
    /// When the server cannot be reached, does not answer in time, or answers with a status other
    /// than a success.
    pub async fn call(&mut self, call: ServerCall) -> Result<CallAnswer, EdgeError> {
        let path = call.path.clone();
        let limit = call.timeout + MAX_BODY_TIME;
        let answer = tokio::time::timeout(limit, (self.exchange)(call))
            .await
            .map_err(|_| EdgeError::no_response(self.address, &path, limit))??;
        match answer.status {
            StatusCode::GONE => Err(EdgeError::HistoryGone {
                path,
                era: answer.era,
            }),
            status if status.is_success() => Ok(answer),
            status => Err(EdgeError::StoreStatus {
                status: status.as_u16(),
                path,
            }),
        }
    }
}

impl fmt::Debug for CallConnection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CallConnection")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}
