//! One HTTP connection to the store or to another node.

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

/// Longest wait for a connection; both ends are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which a silent connection is probed, and between probes.
const PROBE_TIME: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead.
const PROBE_COUNT: u32 = 2;
/// Time after which bytes that were not taken end a connection.
const UNTAKEN_TIMEOUT: Duration = Duration::from_secs(3);

/// One HTTP connection, opened when it is needed.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl HttpConnection {
    /// A client without a connection yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// The other end.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one request and returns the body of a success.
    ///
    /// # Errors
    /// When the other end cannot be reached, refuses, or does not answer within `timeout`.
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
                .map_err(|error| self.broken(error.to_string()))?;
            sender
                .ready()
                .await
                .map_err(|error| self.broken(error.to_string()))?;
            let answer = sender
                .send_request(request)
                .await
                .map_err(|error| self.broken(error.to_string()))?;
            let status = answer.status();
            let body = answer
                .into_body()
                .collect()
                .await
                .map_err(|error| self.broken(error.to_string()))?
                .to_bytes();
            Ok::<_, EdgeError>((status, body))
        };
        // A connection on which an answer is lost brings nothing further, so it is given up.
        let (status, body) = tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| self.broken(format!("no answer to {path} within {timeout:?}")))??;
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
            .map_err(|_| self.broken(format!("no connection within {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| self.broken(error.to_string()))?;
        probe_silence(&stream).map_err(|error| self.broken(error.to_string()))?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.broken(error.to_string()))?;
        tokio::task::spawn_local(async move {
            // The sender reports the same error to whoever waits for an answer.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn broken(&self, reason: String) -> EdgeError {
        EdgeError::Connection {
            address: self.address,
            reason,
        }
    }
}

/// Lets the system find out when the other end of a connection is gone without a word.
fn probe_silence(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_TIME)
        .with_interval(PROBE_TIME)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNTAKEN_TIMEOUT))
}
