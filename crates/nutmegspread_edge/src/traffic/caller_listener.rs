//! Listener for the connections of callers.

use crate::traffic::request_handler::handle_request;
use crate::traffic::traffic_state::TrafficState;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use nutmegspread_caller::{CallerGate, CallerStream, HeadLimits, MOST_HEADERS};
use nutmegspread_tier::CallerLimits;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Smallest idle timeout of a connection. The configured timeout is read only when a connection is
/// opened, so a value that an operator raises later has no effect on open connections.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which connections are still accepted when the node stops serving. Those that the kernel has
/// completed while a busy machine did not run this thread would be reset with the listener.
const LAST_ACCEPT_TIME: Duration = Duration::from_millis(20);
/// Time for the first request on a connection that is open when the node stops serving. The caller may
/// have sent it already, while a busy machine has not delivered it to the node.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(200);
/// Delay after a failed accept, which mostly means that the process has run out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of callers and serves their requests until it is closed.
#[derive(Debug)]
pub struct CallerListener {
    traffic: Rc<TrafficState>,
    shutdown: watch::Sender<bool>,
    /// Number of open connections.
    connections: Rc<Cell<usize>>,
    /// Task that accepts connections.
    accepting: tokio::task::JoinHandle<()>,
}

impl CallerListener {
    /// Starts to accept connections.
    pub fn new(listener: TcpListener, traffic: Rc<TrafficState>) -> Self {
        if let Err(error) = CallerGate::bound_buffers(&listener) {
            log::warn!(event = "buffer_size_failed", reason:% = error;
                "cannot bound the buffers of callers' connections");
        }
        let (shutdown, shutdown_receiver) = watch::channel(false);
        let connections = Rc::new(Cell::new(0));
        let accepting = tokio::task::spawn_local(accept(
            listener,
            Rc::clone(&traffic),
            shutdown_receiver,
            Rc::clone(&connections),
        ));
        Self {
            traffic,
            shutdown,
            connections,
            accepting,
        }
    }

    /// Accepts the connections that already wait in the kernel and no more, closes idle ones, and waits
    /// until `end_time` for requests in flight.
    pub async fn close(self, end_time: Instant) {
        // Sending fails if the accepting task has ended, and no connection is open.
        let _ = self.shutdown.send(true);
        let _ = tokio::time::timeout_at(end_time.into(), self.accepting).await;
        while (self.connections.get() > 0 || self.traffic.open.get() > 0)
            && Instant::now() < end_time
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn accept(
    listener: TcpListener,
    traffic: Rc<TrafficState>,
    shutdown_receiver: watch::Receiver<bool>,
    connections: Rc<Cell<usize>>,
) {
    let mut stop_receiver = shutdown_receiver.clone();
    let stopped = async move {
        // Also returns, with an error, if the listener was dropped.
        let _ = stop_receiver.wait_for(|is_shutdown| *is_shutdown).await;
        tokio::time::sleep(LAST_ACCEPT_TIME).await;
    };
    let mut stopped = std::pin::pin!(stopped);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut stopped => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(_) if *shutdown_receiver.borrow() => return,
            Err(error) => {
                log::warn!(event = "accept_failed", reason:% = error;
                    "accepting a connection failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "nodelay_failed", reason:% = error;
                "disabling Nagle's algorithm failed; small writes may be delayed");
        }
        let limits = caller_limits(&traffic);
        let gate = &traffic.shared.callers;
        let Some(stream) = gate.admit(stream, head_limits(&limits)).await else {
            log::info!(event = "caller_refused"; "closed a connection at the limit on connections");
            traffic
                .shared
                .metrics
                .count("caller_connections", "refused");
            continue;
        };
        traffic
            .shared
            .metrics
            .count("caller_connections", "admitted");
        let counter = Rc::clone(&connections);
        counter.set(counter.get() + 1);
        let connection = serve_connection(
            Rc::clone(&traffic),
            stream,
            limits,
            shutdown_receiver.clone(),
        );
        tokio::task::spawn_local(async move {
            connection.await;
            counter.set(counter.get() - 1);
        });
    }
}

/// Limits of the configuration in force, or the default ones.
fn caller_limits(traffic: &TrafficState) -> CallerLimits {
    let view = traffic.shared.view.load();
    let limits = view.table.as_ref().map(|table| table.limits.clone());
    limits.unwrap_or_default()
}

/// Largest read buffer of a connection, which a whole head has to fit into.
fn read_buffer_bytes(limits: &CallerLimits) -> usize {
    limits.head_bytes.max(8 * 1024) + 4 * 1024
}

/// Limits on heads. A head that does not fit into the read buffer is answered with 431 before it
/// reaches the limit here.
fn head_limits(limits: &CallerLimits) -> HeadLimits {
    HeadLimits {
        time: limits.head_time,
        bytes: 2 * read_buffer_bytes(limits),
    }
}

/// Serves the requests on one connection until it ends.
async fn serve_connection(
    traffic: Rc<TrafficState>,
    stream: CallerStream,
    limits: CallerLimits,
    mut shutdown_receiver: watch::Receiver<bool>,
) {
    let caller = stream.connection();
    let is_used = Cell::new(false);
    let service = service_fn(|request| {
        is_used.set(true);
        handle_request(Rc::clone(&traffic), Arc::clone(&caller), request)
    });
    let buffer_bytes = read_buffer_bytes(&limits);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle.max(MIN_IDLE_TIMEOUT))
        .max_buf_size(buffer_bytes)
        .max_headers(MOST_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        // `wait_for` also returns, with an error, if the listener was dropped; its
        // connections are then shut down as well.
        _ = shutdown_receiver.wait_for(|is_shutdown| *is_shutdown) => {
            // hyper closes a connection at once if it has read nothing from it.
            let mut ended = None;
            if !is_used.get() {
                let first_request = tokio::time::timeout(FIRST_REQUEST_TIME, connection.as_mut());
                ended = first_request.await.ok();
            }
            match ended {
                Some(ended) => ended,
                None => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    if let Err(error) = ended {
        log::debug!(event = "caller_connection_ended", reason:% = error;
                    "connection of a caller ended with an error");
    }
}
