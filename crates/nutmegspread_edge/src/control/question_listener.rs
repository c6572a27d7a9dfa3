//! Answers of the control thread: readiness, addresses, metrics, state dump.

use crate::SharedState;
use crate::control::control_state::ControlState;
use crate::control::relay_follower::relay_question;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use nutmegspread_platform::{READY_PATH, RESOLVE_PATH, encode_addresses};
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// How long callers keep an answer; they move on from a lost node this late.
const KEEP_TIME: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// What a listener is for; it answers nothing else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerPurpose {
    /// The platform's question whether callers should use the node.
    Readiness,
    /// Callers' questions where to connect.
    Addresses,
    /// Operators' questions for metrics and for a dump of the state.
    Metrics,
    /// Other nodes' questions for objects of the store.
    Nodes,
}

impl ListenerPurpose {
    /// The purpose in logs and errors.
    pub fn name(self) -> &'static str {
        match self {
            Self::Readiness => "readiness",
            Self::Addresses => "addresses",
            Self::Metrics => "metrics",
            Self::Nodes => "other nodes",
        }
    }
}

/// Answers questions on one listener.
pub async fn answer_questions(
    listener: TcpListener,
    purpose: ListenerPurpose,
    state: Rc<RefCell<ControlState>>,
    shared: Arc<SharedState>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept_failed", reason:% = error; "no connection taken");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let (state, shared) = (Rc::clone(&state), Arc::clone(&shared));
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let answer = answer(&request, purpose, &state, &shared);
                async move { Ok::<_, Infallible>(answer) }
            });
            // A caller that breaks off needs no answer.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .max_buf_size(8 * 1024)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn answer(
    request: &Request<Incoming>,
    purpose: ListenerPurpose,
    state: &Rc<RefCell<ControlState>>,
    shared: &SharedState,
) -> Response<Full<Bytes>> {
    match (purpose, request.uri().path()) {
        (ListenerPurpose::Readiness, READY_PATH) => {
            let is_ready = state.borrow_mut().is_ready();
            status(if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            })
        }
        (ListenerPurpose::Addresses, RESOLVE_PATH) => {
            let addresses = state.borrow_mut().addresses(Instant::now());
            if addresses.is_empty() {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            let longest = Duration::from_secs_f64(shared.settings.load().longest_keep_s);
            let body = encode_addresses(&addresses, KEEP_TIME.min(longest));
            let mut answer = Response::new(Full::new(Bytes::from(body)));
            answer
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            answer
        }
        (ListenerPurpose::Metrics, "/metrics") => {
            Response::new(Full::new(Bytes::from(shared.metrics.render())))
        }
        (ListenerPurpose::Metrics, "/dump") => {
            let view = shared.view.load();
            Response::new(Full::new(Bytes::from(format!(
                "{:#?}\n{:#?}\n",
                state.borrow(),
                view
            ))))
        }
        (ListenerPurpose::Nodes, path) => relayed(path, state),
        _ => status(StatusCode::NOT_FOUND),
    }
}

/// What another node asks for.
fn relayed(path: &str, state: &Rc<RefCell<ControlState>>) -> Response<Full<Bytes>> {
    let Some((kind, revision)) = relay_question(path) else {
        return status(StatusCode::NOT_FOUND);
    };
    let answer = state.borrow().relay(Instant::now(), kind, revision);
    match answer.map(|answer| serde_json::to_vec(&answer)) {
        Some(Ok(body)) => Response::new(Full::new(Bytes::from(body))),
        Some(Err(error)) => {
            log::error!(event = "relay_failed", kind = kind.name(), reason:% = error; "not encoded");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
        None => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}
