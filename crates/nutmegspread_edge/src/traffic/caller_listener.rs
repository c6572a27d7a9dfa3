//! Takes connections of callers.

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

/// Shortest idle time that callers get; an operator may raise the limit while connections are open.
const LEAST_IDLE: Duration = Duration::from_secs(60);
/// Pause after a connection could not be taken, which mostly means that descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Takes connections of callers until it is closed.
#[derive(Debug)]
pub struct CallerListener {
    traffic: Rc<TrafficState>,
    finish: watch::Sender<bool>,
    connections: Rc<Cell<usize>>,
    accepting: tokio::task::JoinHandle<()>,
}

impl CallerListener {
    /// Starts to take connections.
    pub fn new(listener: TcpListener, traffic: Rc<TrafficState>) -> Self {
        let (finish, finishing) = watch::channel(false);
        let connections = Rc::new(Cell::new(0));
        let accepting = tokio::task::spawn_local(accept(
            listener,
            Rc::clone(&traffic),
            finishing,
            Rc::clone(&connections),
        ));
        Self {
            traffic,
            finish,
            connections,
            accepting,
        }
    }

    /// Stops taking connections, ends idle ones, and waits for the others up to `last_moment`.
    pub async fn close(self, last_moment: Instant) {
        self.accepting.abort();
        // Every connection may be gone already.
        let _ = self.finish.send(true);
        while (self.connections.get() > 0 || self.traffic.open.get() > 0)
            && Instant::now() < last_moment
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn accept(
    listener: TcpListener,
    traffic: Rc<TrafficState>,
    finishing: watch::Receiver<bool>,
    connections: Rc<Cell<usize>>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept_failed", reason:% = error; "no connection taken");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "nodelay_failed", reason:% = error; "small writes may wait");
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
        let mut finishing = finishing.clone();
        let counter = Rc::clone(&connections);
        counter.set(counter.get() + 1);
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(limits.idle.max(LEAST_IDLE))
                .max_buf_size(limits.head_bytes.max(8 * 1024) + 4 * 1024)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                // An error means that the listener is gone, which ends connections just the same.
                _ = finishing.wait_for(|finishing| *finishing) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = ended {
                log::debug!(event = "caller_connection_ended", reason:% = error; "broken off");
            }
            counter.set(counter.get() - 1);
        });
    }
}
