//! Connections of callers, within limits.

use super::TrafficState;
use super::order_check::KEY_HEADER;
use axum::Router;
use hyper::header::{HeaderMap, HeaderName};
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper::{Request, body::Incoming};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use nutmegspread_caller::{CallerGate, CallerStream, HeadLimits, MOST_HEADERS};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Delay after a failed accept, which mostly means that the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Largest read buffer of a connection in bytes, which a whole head has to fit into.
const READ_BUFFER: usize = 32 * 1024;

/// Connections of callers, within limits. They speak HTTP/1.1 only, as the limits are per connection.
pub struct CallerServer {
    /// Routes of the callers' interface.
    pub routes: Router,
    /// Limits on connections and bodies.
    pub gate: Arc<CallerGate>,
    /// Longest time from the first byte of a head until it is complete.
    pub head_time: Duration,
    /// Traffic state, for the metrics.
    pub traffic: Arc<TrafficState>,
}

impl CallerServer {
    /// Serves the connections that `listener` accepts until `stopped` is true, then finishes the
    /// requests that have arrived.
    pub async fn serve(self, listener: TcpListener, stopped: watch::Receiver<bool>) {
        if let Err(error) = CallerGate::bound_buffers(&listener) {
            log::warn!("cannot bound the buffers of callers' connections: {error}");
        }
        let mut connections = JoinSet::new();
        let mut stop = std::pin::pin!(wait_for_stop(stopped.clone()));
        loop {
            tokio::select! {
                () = &mut stop => break,
                Some(_) = connections.join_next() => {}
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        if let Some(stream) = self.admit(stream).await {
                            connections.spawn(self.serve_connection(stream, stopped.clone()));
                        }
                    }
                    Err(error) => {
                        log::warn!("accepting a connection of a caller failed: {error}");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    async fn admit(&self, stream: TcpStream) -> Option<CallerStream> {
        let limits = HeadLimits {
            time: self.head_time,
            bytes: 2 * READ_BUFFER,
        };
        let admitted = self.gate.admit(stream, limits).await;
        if admitted.is_none() {
            log::info!("closed a connection of a caller at the limit on connections");
            self.traffic.count("caller.connection_refused");
        }
        admitted
    }

    /// Serves the requests on one connection until it ends.
    fn serve_connection(
        &self,
        stream: CallerStream,
        stopped: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let caller = stream.connection();
        let routes = TowerToHyperService::new(self.routes.clone());
        let service = service_fn(move |mut request: Request<Incoming>| {
            keep_read_headers(request.headers_mut());
            request.extensions_mut().insert(Arc::clone(&caller));
            routes.call(request)
        });
        let connection = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .max_headers(MOST_HEADERS)
            .serve_connection(TokioIo::new(stream), service);
        async move {
            let mut connection = std::pin::pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                () = wait_for_stop(stopped) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = ended {
                log::debug!("connection of a caller ended: {error}");
            }
        }
    }
}

/// Drops the headers that no handler reads. A head of many short headers takes tens of times its bytes
/// as a [`HeaderMap`], which a request would keep while it waits for its body or for targets.
fn keep_read_headers(headers: &mut HeaderMap) {
    let key_name = HeaderName::from_static(KEY_HEADER);
    let mut kept = HeaderMap::new();
    // A second value shows that the key is given more than once.
    for value in headers.get_all(&key_name).iter().take(2) {
        kept.append(key_name.clone(), value.clone());
    }
    *headers = kept;
}

/// Returns once the node stops.
async fn wait_for_stop(mut stopped: watch::Receiver<bool>) {
    // An error means that the sender, which the node owns, was dropped; that stops it as well.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}
