//! Listener for the connections of callers.

use crate::traffic::request_handler::handle_request;
use crate::traffic::traffic_state::TrafficState;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Smallest idle timeout of a connection. The configured timeout is read only when a connection is
/// opened, so a value that an operator raises later has no effect on open connections.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
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

    /// Stops accepting connections, closes idle ones, and waits until `end_time` for requests in
    /// flight.
    pub async fn close(self, end_time: Instant) {
        self.accepting.abort();
        // Sending fails if no connection is open.
        let _ = self.shutdown.send(true);
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
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
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
        let view = traffic.shared.view.load();
        let limits = view
            .table
            .as_ref()
            .map(|table| table.limits.clone())
            .unwrap_or_default();
        drop(view);
        let handler = Rc::clone(&traffic);
        let service = service_fn(move |request| handle_request(Rc::clone(&handler), request));
        let mut shutdown_receiver = shutdown_receiver.clone();
        let counter = Rc::clone(&connections);
        counter.set(counter.get() + 1);
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(limits.idle.max(MIN_IDLE_TIMEOUT))
                .max_buf_size(limits.head_bytes.max(8 * 1024) + 4 * 1024)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                // `wait_for` also returns, with an error, if the listener was dropped; its
                // connections are then shut down as well.
                _ = shutdown_receiver.wait_for(|is_shutdown| *is_shutdown) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = ended {
                log::debug!(event = "caller_connection_ended", reason:% = error;
                    "connection of a caller ended with an error");
            }
            counter.set(counter.get() - 1);
        });
    }
}
