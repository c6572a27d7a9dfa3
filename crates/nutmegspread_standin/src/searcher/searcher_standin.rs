//! Starts, runs and stops a searcher stand-in.

use super::connection_limiter::ConnectionPermit;
use super::request_handler::handle_request;
use super::searcher_state::SearcherState;
use super::{SearcherCounters, SearcherError, SearcherFaults, SearcherSettings};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use nutmegspread_model::RequestId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// A running searcher stand-in, which serves requests until it is closed.
pub struct SearcherStandin {
    state: Arc<SearcherState>,
    address: SocketAddr,
    control_address: Option<SocketAddr>,
    listeners: Vec<JoinHandle<()>>,
}

impl SearcherStandin {
    /// Listens on the addresses of the settings and starts to serve requests.
    ///
    /// # Errors
    /// [`SearcherError::Listen`] when the stand-in cannot listen on an address.
    pub async fn start(settings: SearcherSettings) -> Result<Self, SearcherError> {
        let (listener, address) = bind(&settings.listen).await?;
        let control = match &settings.control_listen {
            Some(listen) => Some(bind(listen).await?),
            None => None,
        };
        let state = Arc::new(SearcherState::new(settings));
        let mut listeners = vec![tokio::spawn(accept_callers(listener, Arc::clone(&state)))];
        let mut control_address = None;
        if let Some((listener, address)) = control {
            control_address = Some(address);
            listeners.push(tokio::spawn(accept_control(listener, Arc::clone(&state))));
        }
        Ok(Self {
            state,
            address,
            control_address,
            listeners,
        })
    }

    /// IP address and port on which the stand-in serves requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// IP address and port of the second listener, for faults and records, if there is one.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control_address
    }

    /// Returns a handle that changes the stand-in's faults.
    pub fn faults(&self) -> SearcherFaults {
        SearcherFaults::new(Arc::clone(&self.state))
    }

    /// Returns a copy of the counters of requests and connections.
    pub fn counters(&self) -> SearcherCounters {
        self.state.counters()
    }

    /// Returns the longest time that a search of each request took, by request id.
    ///
    /// The time is zero until a search of the request is answered. Empty unless
    /// [`SearcherSettings::records_requests`] is set.
    pub fn requests(&self) -> IndexMap<RequestId, Duration> {
        self.state.work.requests()
    }

    /// Clears the recorded requests and resets the counters.
    ///
    /// Keeps the incarnation, the executions of orders, the numbers of running requests and open
    /// connections and the number of accepted connections.
    pub fn reset_records(&self) {
        self.state.work.reset();
        self.state.connections.reset();
    }

    /// Whether a search of the request was started and recorded.
    ///
    /// Always `false` unless [`SearcherSettings::records_requests`] is set.
    pub fn has_started(&self, request: &str) -> bool {
        self.state.work.has_started(request)
    }

    /// Stops at once: closes the listeners and all connections and cancels running requests.
    pub async fn close(self) {
        for listener in &self.listeners {
            listener.abort();
        }
        for listener in self.listeners {
            // An aborted task always ends with a cancellation error, which needs no handling.
            let _ = listener.await;
        }
    }
}

async fn bind(address: &str) -> Result<(TcpListener, SocketAddr), SearcherError> {
    let listen_error = |source| SearcherError::Listen {
        address: address.to_owned(),
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let local = listener.local_addr().map_err(listen_error)?;
    Ok((listener, local))
}

async fn accept_callers(listener: TcpListener, state: Arc<SearcherState>) {
    let mut connections = JoinSet::new();
    loop {
        let Some(stream) = accept_stream(&listener, &mut connections).await else {
            continue;
        };
        let Some(permit) = state.connections.admit(state.faults().refuse) else {
            continue;
        };
        connections.spawn(serve_caller(stream, Arc::new(permit), Arc::clone(&state)));
    }
}

async fn accept_control(listener: TcpListener, state: Arc<SearcherState>) {
    let mut connections = JoinSet::new();
    loop {
        if let Some(stream) = accept_stream(&listener, &mut connections).await {
            connections.spawn(serve_stream(stream, None, Arc::clone(&state)));
        }
    }
}

/// Removes ended connections from the set and accepts one stream; `None` if accepting fails.
async fn accept_stream(listener: &TcpListener, connections: &mut JoinSet<()>) -> Option<TcpStream> {
    while connections.try_join_next().is_some() {}
    let (stream, _) = listener.accept().await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

async fn serve_caller(stream: TcpStream, permit: Arc<ConnectionPermit>, state: Arc<SearcherState>) {
    permit.set_up().await;
    serve_stream(stream, Some(permit), state).await;
}

async fn serve_stream(
    stream: TcpStream,
    permit: Option<Arc<ConnectionPermit>>,
    state: Arc<SearcherState>,
) {
    let service =
        service_fn(move |request| handle_request(request, permit.clone(), Arc::clone(&state)));
    // An error here means that the client closed the connection early, which is expected.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
