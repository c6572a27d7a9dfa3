//! HTTP/1.1 client connection to the store or to a peer, opened on the first call.

use crate::EdgeError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest wait for a TCP connection; the round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Idle time before the first TCP keepalive probe, and time between probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time after which unacknowledged bytes close the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP/1.1 client connection to the store or to a peer, opened on the first call.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl HttpConnection {
    /// Creates a client that is not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one request and returns the body of the response if its status is a success.
    ///
    /// # Errors
    /// When the server cannot be reached, does not answer within `timeout`, or answers with a
    /// status other than a success.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, EdgeError> {
        let mut sender = match self.sender.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => self.connect().await?,
        };
        let exchange = async {
            let request = Request::builder()
                .method(method)
                .uri(path)
                .header("host", self.address.to_string())
                .header("content-type", "application/json")
                .body(Full::new(body))
                .map_err(|error| self.connection_error(error.to_string()))?;
            sender
                .ready()
                .await
                .map_err(|error| self.connection_error(error.to_string()))?;
            let response = sender
                .send_request(request)
                .await
                .map_err(|error| self.connection_error(error.to_string()))?;
            let status = response.status();
            let body = response
                .into_body()
                .collect()
                .await
                .map_err(|error| self.connection_error(error.to_string()))?
                .to_bytes();
            Ok::<_, EdgeError>((status, body))
        };
        // The sender is put back only after a complete response. After an error or a timeout, the
        // connection cannot return any further response and is dropped.
        let (status, body) = tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| {
                self.connection_error(format!("no response to {path} within {timeout:?}"))
            })??;
        self.sender = Some(sender);
        match status {
            StatusCode::GONE => Err(EdgeError::HistoryGone {
                path: path.to_owned(),
            }),
            status if status.is_success() => Ok(body),
            status => Err(EdgeError::StoreStatus {
                status: status.as_u16(),
                path: path.to_owned(),
            }),
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, EdgeError> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| {
                self.connection_error(format!(
                    "TCP connection not established within {CONNECT_TIMEOUT:?}"
                ))
            })?
            .map_err(|error| self.connection_error(error.to_string()))?;
        configure_socket(&stream).map_err(|error| self.connection_error(error.to_string()))?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.connection_error(error.to_string()))?;
        tokio::task::spawn_local(async move {
            // The pending request reports the same error.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn connection_error(&self, reason: String) -> EdgeError {
        EdgeError::Connection {
            address: self.address,
            reason,
        }
    }
}

/// Disables Nagle's algorithm, and sets TCP keepalive and user timeout so that the kernel detects a
/// server that disappeared without closing the connection.
fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
