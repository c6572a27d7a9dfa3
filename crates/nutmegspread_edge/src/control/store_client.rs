//! One connection to the platform's store.

use crate::EdgeError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use nutmegspread_platform::{
    ObjectAnswer, ObjectKind, StoreObject, WatchAnswer, decode_objects, decode_watch, list_path,
    object_path, watch_path,
};
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest wait for a connection; the store is a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait for an answer; a slow store takes some hundred milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after which a silent connection is probed, and between probes.
const PROBE_TIME: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead.
const PROBE_COUNT: u32 = 2;
/// Time after which bytes that were not taken end a connection.
const UNTAKEN_TIMEOUT: Duration = Duration::from_secs(3);

/// One connection to the platform's store, opened when it is needed.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl StoreClient {
    /// A client without a connection yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Reads all objects of a kind, and the revision that they stand for.
    ///
    /// # Errors
    /// When the store cannot be reached, refuses or answers with something else.
    pub async fn list(
        &mut self,
        kind: ObjectKind,
        stale: bool,
    ) -> Result<(Vec<StoreObject>, u64), EdgeError> {
        let mut objects: Vec<StoreObject> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = objects.last().map(|object| object.name.clone());
            let path = list_path(kind, after.as_deref(), stale);
            let body = self
                .call(Method::GET, &path, Bytes::new(), ANSWER_TIMEOUT)
                .await?;
            let page: ObjectAnswer = decode_objects(&body)?;
            objects.extend(page.objects);
            // Changes between pages are seen again by a watch from the first page's revision.
            let revision = *first_revision.get_or_insert(page.revision);
            if !page.has_more {
                return Ok((objects, revision));
            }
        }
    }

    /// Waits for changes of a kind after `revision`, for `wait` at most.
    ///
    /// # Errors
    /// As `list`, and `HistoryGone` when a new list is needed.
    pub async fn watch(
        &mut self,
        kind: ObjectKind,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchAnswer, EdgeError> {
        let path = watch_path(kind, revision, wait);
        let body = self
            .call(Method::GET, &path, Bytes::new(), wait + ANSWER_TIMEOUT)
            .await?;
        Ok(decode_watch(&body)?)
    }

    /// Creates an object of ours, or replaces it where one exists.
    ///
    /// # Errors
    /// When the store cannot be reached or refuses.
    pub async fn put(
        &mut self,
        kind: ObjectKind,
        name: &str,
        body: String,
    ) -> Result<(), EdgeError> {
        let body = Bytes::from(body);
        let path = list_path(kind, None, false);
        match self
            .call(Method::POST, &path, body.clone(), ANSWER_TIMEOUT)
            .await
        {
            Err(EdgeError::StoreStatus { status: 409, .. }) => {
                let path = object_path(kind, name);
                self.call(Method::PUT, &path, body, ANSWER_TIMEOUT)
                    .await
                    .map(drop)
            }
            other => other.map(drop),
        }
    }

    async fn call(
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
        EdgeError::StoreConnection {
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
