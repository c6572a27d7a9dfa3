//! HTTP/1.1 client connections to the store and to peers.

use crate::EdgeError;
use crate::control::call_answer::CallAnswer;
use crate::control::call_connection::CallConnection;
use crate::control::server_call::ServerCall;
use crate::traffic::{BodyFraming, ReplyError};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HeaderValue;
use hyper::{Request, Response, Version};
use hyper_util::rt::TokioIo;
use nutmegspread_platform::{decode_era, headers};
use socket2::{SockRef, TcpKeepalive};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
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
/// Time after which unacknowledged bytes of a call with a guard are discarded.
const GUARDED_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body of an answer in bytes. A page of the store's objects has about 1 MB, and a peer relays
/// all objects of a kind.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

type HttpSender = SendRequest<Full<Bytes>>;

/// Returns an HTTP/1.1 connection to `address` that is opened on the first call.
pub fn http_connection(address: SocketAddr) -> CallConnection {
    let idle: Rc<RefCell<Option<HttpSender>>> = Rc::default();
    let exchange = move |call| {
        let idle = Rc::clone(&idle);
        let sender = idle.borrow_mut().take();
        let exchange = async move {
            let mut sender = match sender {
                Some(sender) if !sender.is_closed() => sender,
                _ => connect(address, configure_socket).await?,
            };
            let answer = exchange_call(address, &mut sender, call).await?;
            // The sender is put back only after a complete response. After an error or a timeout,
            // the connection cannot return any further response and is dropped.
            idle.borrow_mut().replace(sender);
            Ok(answer)
        };
        Box::pin(exchange) as _
    };
    let exchange = move |call: ServerCall| {
        if call.guard.is_some() {
            Box::pin(exchange_guarded(address, call)) as _
        } else {
            exchange(call)
        }
    };
    CallConnection::new(address, Box::new(exchange))
}

/// Carries out a call with a guard on a connection of its own, so that neither the kernel nor the
/// server has bytes of it long after the guard was checked.
async fn exchange_guarded(address: SocketAddr, call: ServerCall) -> Result<CallAnswer, EdgeError> {
    let mut sender = connect(address, configure_guarded_socket).await?;
    exchange_call(address, &mut sender, call).await
}

async fn exchange_call(
    address: SocketAddr,
    sender: &mut HttpSender,
    call: ServerCall,
) -> Result<CallAnswer, EdgeError> {
    let error = |error: &dyn std::error::Error| connection_error(address, error.to_string());
    let timeout = call.timeout;
    let late = |_| EdgeError::no_response(address, &call.path, timeout);
    let mut request = Request::builder()
        .method(call.method)
        .uri(&call.path)
        .header("host", address.to_string())
        .header("content-type", "application/json");
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    let request = request
        .body(Full::new(call.body))
        .map_err(|cause| error(&cause))?;
    let response = async {
        sender.ready().await.map_err(|cause| error(&cause))?;
        if call.guard.is_some_and(|guard| !guard.allows()) {
            let path = call.path.clone();
            return Err(EdgeError::NotPermitted { path });
        }
        let response = sender.send_request(request).await;
        response.map_err(|cause| error(&cause))
    };
    let response = tokio::time::timeout(timeout, response)
        .await
        .map_err(late)??;
    check_framing(&response).map_err(|cause| error(&cause))?;
    let status = response.status();
    let era = response.headers().get(headers::STORE_ERA);
    let era = decode_era(era.map(HeaderValue::as_bytes));
    let mut received = response.into_body();
    let mut body = BytesMut::new();
    while let Some(frame) = tokio::time::timeout(timeout, received.frame())
        .await
        .map_err(late)?
    {
        if let Some(data) = frame.map_err(|cause| error(&cause))?.data_ref() {
            body.extend_from_slice(data);
        }
        if body.len() > MAX_BODY_BYTES {
            let reason = format!("the answer is larger than {MAX_BODY_BYTES} bytes");
            return Err(connection_error(address, reason));
        }
    }
    let body = body.freeze();
    Ok(CallAnswer { status, era, body })
}

/// Checks that the head states the end of the body as one of a target must. hyper accepts an unknown coding,
/// and reads such a body to the end of the connection.
fn check_framing(response: &Response<Incoming>) -> Result<(), ReplyError> {
    let mut headers: Vec<httparse::Header> = response
        .headers()
        .iter()
        .map(|(name, value)| httparse::Header {
            name: name.as_str(),
            value: value.as_bytes(),
        })
        .collect();
    let mut head = httparse::Response::new(&mut headers);
    head.code = Some(response.status().as_u16());
    head.version = Some(u8::from(response.version() == Version::HTTP_11));
    match BodyFraming::of_head(&head, false) {
        // These answers have a limit of their own.
        Ok(_) | Err(ReplyError::TooLarge { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

async fn connect(
    address: SocketAddr,
    configure: fn(&TcpStream) -> std::io::Result<()>,
) -> Result<HttpSender, EdgeError> {
    let error = |error: &dyn std::error::Error| connection_error(address, error.to_string());
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| {
            let reason = format!("TCP connection not established within {CONNECT_TIMEOUT:?}");
            connection_error(address, reason)
        })?
        .map_err(|cause| error(&cause))?;
    configure(&stream).map_err(|cause| error(&cause))?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|cause| error(&cause))?;
    tokio::task::spawn_local(async move {
        // The pending request reports the same error.
        let _ = connection.await;
    });
    Ok(sender)
}

fn connection_error(address: SocketAddr, reason: String) -> EdgeError {
    EdgeError::Connection { address, reason }
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

/// Makes the kernel discard what it has not delivered when the connection is closed, or after
/// `GUARDED_TIMEOUT`.
fn configure_guarded_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(GUARDED_TIMEOUT))
}
