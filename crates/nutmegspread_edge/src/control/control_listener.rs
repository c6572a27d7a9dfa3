//! HTTP listeners of the control thread: readiness, addresses, metrics, state dump, and store
//! objects for other nodes.

use crate::control::call_answer::CallAnswer;
use crate::control::control_clock;
use crate::control::control_node::ControlNode;
use crate::control::usage_exchange::{COUNTS_PATH, MAX_COUNTS_BYTES, answer_counts};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use nutmegspread_platform::{READY_PATH, RESOLVE_PATH, encode_addresses};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time for which callers may use a list of addresses; it is also the longest time until they stop
/// using a lost node.
const ADDRESS_KEEP_TIME: Duration = Duration::from_secs(1);
/// Longest time until the body of a call of another node has arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// What a listener serves; requests for other paths get status 404.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerPurpose {
    /// Requests of the platform that ask whether the node is ready for callers.
    Readiness,
    /// Requests of callers for the addresses of nodes.
    Addresses,
    /// Requests of operators for metrics and for a dump of the state.
    Metrics,
    /// Relay calls of peers for objects of the store.
    Nodes,
}

impl ListenerPurpose {
    /// Name of the purpose in logs and errors.
    pub fn name(self) -> &'static str {
        match self {
            Self::Readiness => "readiness",
            Self::Addresses => "addresses",
            Self::Metrics => "metrics",
            Self::Nodes => "other nodes",
        }
    }
}

/// Accepts connections on one listener and serves their requests for as long as the process runs.
pub async fn serve_listener(
    listener: TcpListener,
    purpose: ListenerPurpose,
    node: Rc<ControlNode>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept_failed", reason:% = error;
                    "accepting a connection failed");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let node = Rc::clone(&node);
                async move { Ok::<_, Infallible>(answer_call(request, purpose, &node).await) }
            });
            // An error means that the client closed the connection or violated the protocol, so
            // nobody waits for an answer.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .max_buf_size(8 * 1024)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer_call(
    request: Request<Incoming>,
    purpose: ListenerPurpose,
    node: &ControlNode,
) -> Response<Full<Bytes>> {
    if purpose != ListenerPurpose::Nodes || request.uri().path() != COUNTS_PATH {
        return answer(&request, purpose, node);
    }
    let body = Limited::new(request.into_body(), MAX_COUNTS_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => node_answer(answer_counts(node, &body.to_bytes())),
        Ok(Err(_)) | Err(_) => status(StatusCode::BAD_REQUEST),
    }
}

fn answer(
    request: &Request<Incoming>,
    purpose: ListenerPurpose,
    node: &ControlNode,
) -> Response<Full<Bytes>> {
    let ControlNode { state, shared, .. } = node;
    match (purpose, request.uri().path()) {
        (ListenerPurpose::Readiness, READY_PATH) => {
            let is_ready = state.borrow_mut().is_ready(control_clock::now());
            status(if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            })
        }
        (ListenerPurpose::Addresses, RESOLVE_PATH) => {
            let addresses = state.borrow_mut().addresses(control_clock::now());
            if addresses.is_empty() {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            let longest = Duration::from_secs_f64(shared.settings.load().longest_keep_s);
            let body = encode_addresses(&addresses, ADDRESS_KEEP_TIME.min(longest));
            let mut answer = Response::new(Full::new(Bytes::from(body)));
            answer
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            answer
        }
        (ListenerPurpose::Metrics, "/metrics") => {
            let (bytes, connections) = shared.callers.usage();
            shared.metrics.set("caller_body_bytes", bytes as f64);
            shared
                .metrics
                .set("caller_connections_open", connections as f64);
            Response::new(Full::new(Bytes::from(shared.metrics.render())))
        }
        (ListenerPurpose::Metrics, "/dump") => {
            let view = shared.view.load();
            let usage = node.usage.as_ref().map_or_else(String::new, |usage| {
                let line = usage.describe();
                format!("{line}\n")
            });
            Response::new(Full::new(Bytes::from(format!(
                "{usage}{:#?}\n{:#?}\n",
                state.borrow(),
                view
            ))))
        }
        (ListenerPurpose::Nodes, path) => node_answer(node.answer_relay(path)),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn node_answer(answer: CallAnswer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    response
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}
