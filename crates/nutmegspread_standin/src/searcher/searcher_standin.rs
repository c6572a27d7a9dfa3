//! A running searcher stand-in.

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

/// A searcher stand-in that listens until it is closed.
pub struct SearcherStandin {
    state: Arc<SearcherState>,
    address: SocketAddr,
    control_address: Option<SocketAddr>,
    listeners: Vec<JoinHandle<()>>,
}

impl SearcherStandin {
    /// Starts listening.
    ///
    /// # Errors
    /// [`SearcherError::Listen`] when an address is taken or malformed.
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

    /// IP address and port where it takes requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// IP address and port of the listener for faults and records.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control_address
    }

    /// Handle that changes its faults.
    pub fn faults(&self) -> SearcherFaults {
        SearcherFaults::new(Arc::clone(&self.state))
    }

    /// What it has seen.
    pub fn counters(&self) -> SearcherCounters {
        self.state.counters()
    }

    /// Time taken by each request of which it started a search; zero until it completes.
    pub fn requests(&self) -> IndexMap<RequestId, Duration> {
        self.state.work.requests()
    }

    /// Forgets all records but the executions of orders and the work in progress.
    pub fn reset_records(&self) {
        self.state.work.reset();
        self.state.connections.reset();
    }

    /// Whether it started a search of a request.
    pub fn has_started(&self, request: &str) -> bool {
        self.state.work.has_started(request)
    }

    /// Stops at once: the listeners and all connections close, work stops.
    pub async fn close(self) {
        for listener in &self.listeners {
            listener.abort();
        }
        for listener in self.listeners {
            // The only outcome of an aborted task is its cancellation.
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

/// Accepts one stream and forgets connections that have ended.
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
    // A connection that its client breaks off is an ordinary end here.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
