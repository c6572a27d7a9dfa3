//! HTTP connection to a target.

use super::{
    ATTEMPT_ID_HEADER, IDEMPOTENCY_KEY_HEADER, OrderCall, REMAINING_MS_HEADER, REQUEST_ID_HEADER,
    SNAPSHOT_HEADER, TARGET_STATE_HEADER, TargetError,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use nutmegspread_model::{OrderReply, RequestId, SearchReply, SearchRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

/// Timeouts and the size limit of a connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Longest time without a received byte while a request waits for its answer.
    pub silence: Duration,
    /// Largest size of a reply's body, in bytes.
    pub body_bytes: usize,
}

impl Default for ConnectionBounds {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            silence: Duration::from_millis(2000),
            body_bytes: 1 << 20,
        }
    }
}

/// An open HTTP/1.1 connection that carries one request at a time.
///
/// Dropping this value closes the connection; the target then cancels the request that it processes
/// for the connection.
pub struct TargetConnection {
    address: String,
    bounds: ConnectionBounds,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl TargetConnection {
    /// Opens a connection to the target at `address`.
    ///
    /// # Errors
    /// [`TargetError::ConnectFailed`] if the connection cannot be opened within
    /// [`ConnectionBounds::connect`].
    pub async fn open(address: &str, bounds: ConnectionBounds) -> Result<Self, TargetError> {
        let connect_error = |reason: String| TargetError::ConnectFailed {
            address: address.into(),
            reason,
        };
        let stream = timeout(bounds.connect, TcpStream::connect(address))
            .await
            .map_err(|_| connect_error("timed out".into()))?
            .map_err(|error| connect_error(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| connect_error(error.to_string()))?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_error(error.to_string()))?;
        let driver = tokio::spawn(async move {
            // An error here closes the connection; the request on it returns the failure.
            let _ = connection.await;
        });
        Ok(Self {
            address: address.into(),
            bounds,
            sender,
            driver: driver.abort_handle(),
        })
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Closes the connection; the target then cancels the request that it processes for it.
    pub fn close(self) {
        drop(self);
    }

    /// Searches one shard, and waits for the reply until `deadline`.
    ///
    /// # Errors
    /// Any [`TargetError`] except [`TargetError::ConnectFailed`]. The connection can be used again
    /// only after [`TargetError::Shed`] and [`TargetError::SnapshotGone`].
    pub async fn search(
        &mut self,
        search: &SearchRequest,
        deadline: Instant,
    ) -> Result<SearchReply, TargetError> {
        let request = Request::post("/v1/search")
            .header(REQUEST_ID_HEADER, &*search.request_id)
            .header(ATTEMPT_ID_HEADER, search.attempt)
            .header(SNAPSHOT_HEADER, search.snapshot)
            .header(REMAINING_MS_HEADER, search.remaining_ms);
        let id = &search.request_id;
        let response = self.send(request, search, id, deadline).await?;
        let headers = response.headers().clone();
        let reply: SearchReply = self.read(response, deadline).await?;
        check_echo(search, &headers, &reply)?;
        Ok(reply)
    }

    /// Runs one order, and waits for the reply until `deadline`.
    ///
    /// # Errors
    /// Any [`TargetError`] except [`TargetError::ConnectFailed`]; [`TargetError::run`] tells
    /// whether the order may have run.
    pub async fn order(
        &mut self,
        order: &OrderCall,
        deadline: Instant,
    ) -> Result<OrderReply, TargetError> {
        let request = Request::post("/v1/orders")
            .header(REQUEST_ID_HEADER, &*order.request_id)
            .header(IDEMPOTENCY_KEY_HEADER, &*order.key);
        let id = &order.request_id;
        let response = self.send(request, order, id, deadline).await?;
        let reply: OrderReply = self.read(response, deadline).await?;
        if reply.key != order.key {
            return Err(TargetError::BadReply(
                "the reply has another idempotency key".into(),
            ));
        }
        Ok(reply)
    }

    /// Sends a request and waits for the head of the response; returns an error for any status
    /// but 200.
    async fn send<T: Serialize>(
        &mut self,
        request: hyper::http::request::Builder,
        body: &T,
        id: &RequestId,
        deadline: Instant,
    ) -> Result<Response<Incoming>, TargetError> {
        let body = serde_json::to_vec(body).map_err(|_| TargetError::NotSent)?;
        let request = request
            .header("host", &self.address)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| TargetError::NotSent)?;
        if self.sender.ready().await.is_err() {
            return Err(TargetError::NotSent);
        }
        let until = self.wait_limit(deadline, self.bounds.silence);
        match timeout_at(until, self.sender.send_request(request)).await {
            Err(_) => Err(self.timeout_error(deadline)),
            Ok(Err(error)) if error.is_canceled() => Err(TargetError::NotSent),
            Ok(Err(error)) => Err(TargetError::ConnectionLost(error.to_string())),
            Ok(Ok(response)) => self.check_status(response, id, deadline).await,
        }
    }

    async fn read<T: DeserializeOwned>(
        &self,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<T, TargetError> {
        let bytes = self.read_bytes(response, deadline).await?;
        serde_json::from_slice(&bytes).map_err(|error| TargetError::BadReply(error.to_string()))
    }

    async fn read_bytes(
        &self,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<Vec<u8>, TargetError> {
        let mut body = response.into_body();
        let mut bytes = Vec::new();
        loop {
            let until = self.wait_limit(deadline, self.bounds.silence);
            let frame = match timeout_at(until, body.frame()).await {
                Err(_) => return Err(self.timeout_error(deadline)),
                Ok(None) => break,
                Ok(Some(Err(error))) => return Err(TargetError::ConnectionLost(error.to_string())),
                Ok(Some(Ok(frame))) => frame,
            };
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
            if bytes.len() > self.bounds.body_bytes {
                return Err(TargetError::BadReply("the body is too large".into()));
            }
        }
        Ok(bytes)
    }

    /// Converts any status but 200, and a body of unclear coding, into an error. When the target sheds
    /// the request or lacks the snapshot, the body is read to its end, so that the connection can be used
    /// again.
    async fn check_status(
        &self,
        response: Response<Incoming>,
        id: &RequestId,
        deadline: Instant,
    ) -> Result<Response<Incoming>, TargetError> {
        check_coding(response.headers())?;
        let state = response.headers().get(TARGET_STATE_HEADER);
        let shed = state.is_some_and(|state| state == "shed");
        let rejection = match response.status() {
            StatusCode::OK => return Ok(response),
            StatusCode::SERVICE_UNAVAILABLE if shed => TargetError::Shed,
            StatusCode::GONE => TargetError::SnapshotGone,
            status => return Err(TargetError::Status(status.as_u16())),
        };
        // A second copy of an earlier rejection says nothing about this request.
        let rejected = response.headers().get(REQUEST_ID_HEADER);
        if rejected.is_some_and(|rejected| *rejected != **id) {
            return Err(TargetError::BadReply(
                "the rejection belongs to another request".into(),
            ));
        }
        self.read_bytes(response, deadline).await?;
        Err(rejection)
    }

    /// Returns the time until which to wait for the next bytes: `deadline`, or the end of the
    /// longest allowed silence if that is earlier.
    fn wait_limit(&self, deadline: Instant, silence: Duration) -> Instant {
        deadline.min(Instant::now() + silence)
    }

    /// Returns the error for a wait that timed out, which depends on whether `deadline` has passed.
    fn timeout_error(&self, deadline: Instant) -> TargetError {
        if Instant::now() >= deadline {
            TargetError::TimedOut
        } else {
            TargetError::Silent
        }
    }
}

/// Checks that the body has no coding but chunked. hyper reads any other one to the end of the connection
/// and leaves it in the body.
fn check_coding(headers: &HeaderMap) -> Result<(), TargetError> {
    let codings: Vec<_> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    let is_clear = match codings[..] {
        [] => true,
        [coding] => {
            coding.as_bytes().eq_ignore_ascii_case(b"chunked")
                && !headers.contains_key(CONTENT_LENGTH)
        }
        _ => false,
    };
    if is_clear {
        Ok(())
    } else {
        Err(TargetError::BadReply(format!(
            "the transfer-encoding of the body is unclear: {codings:?}"
        )))
    }
}

/// Checks that the reply carries the ids of the request.
fn check_echo(
    search: &SearchRequest,
    headers: &HeaderMap,
    reply: &SearchReply,
) -> Result<(), TargetError> {
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let is_match = header(REQUEST_ID_HEADER) == Some(&*search.request_id)
        && header(ATTEMPT_ID_HEADER) == Some(&search.attempt.to_string())
        && reply.request_id == search.request_id
        && reply.attempt == search.attempt
        && reply.shard == search.shard;
    if is_match {
        Ok(())
    } else {
        Err(TargetError::BadReply(
            "the reply belongs to another request".into(),
        ))
    }
}
