//! Server for the calls that peers make to this node.

use super::{PeerEnvelope, PeerError, PeerService, SubOrder, SubOrderEnd};
use futures_util::StreamExt;
use nutmegspread_model::{SubOutcome, SubSearch};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Delay after a failed accept, so that an error which persists does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Closures that handle the calls of peers, one for each kind of call.
pub struct PeerHandlers<S, O, D> {
    /// Runs a sub-request, the search of one shard, on a target and returns the outcome.
    pub search: S,
    /// Sends an order to a target, once, and returns how it ended.
    pub order: O,
    /// Receives a control message and returns whether it was accepted.
    pub deliver: D,
}

/// A running server that accepts connections of peers until it is closed.
pub struct PeerServer {
    address: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl PeerServer {
    /// Starts a server on the address `listen`.
    ///
    /// # Errors
    /// [`PeerError::Connection`] if the server cannot listen on the address.
    pub async fn start<S, O, D, SF, OF, DF>(
        listen: &str,
        handlers: PeerHandlers<S, O, D>,
    ) -> Result<Self, PeerError>
    where
        S: Fn(SubSearch) -> SF + Send + Sync + 'static,
        O: Fn(SubOrder) -> OF + Send + Sync + 'static,
        D: Fn(PeerEnvelope) -> DF + Send + Sync + 'static,
        SF: Future<Output = SubOutcome> + Send + 'static,
        OF: Future<Output = SubOrderEnd> + Send + 'static,
        DF: Future<Output = bool> + Send + 'static,
    {
        let listen_error = |source| PeerError::Connection {
            address: listen.into(),
            source,
        };
        let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let dispatcher = PeerDispatcher {
            handlers: Arc::new(handlers),
        };
        let accept_task = tokio::spawn(accept_connections(listener, dispatcher));
        Ok(Self {
            address,
            accept_task,
        })
    }

    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and closes all its connections, which cancels the running calls.
    pub fn close(self) {
        self.accept_task.abort();
    }
}

/// Passes each call to its closure; every connection has a clone.
struct PeerDispatcher<S, O, D> {
    handlers: Arc<PeerHandlers<S, O, D>>,
}

impl<S, O, D> Clone for PeerDispatcher<S, O, D> {
    fn clone(&self) -> Self {
        Self {
            handlers: Arc::clone(&self.handlers),
        }
    }
}

impl<S, O, D, SF, OF, DF> PeerService for PeerDispatcher<S, O, D>
where
    S: Fn(SubSearch) -> SF + Send + Sync + 'static,
    O: Fn(SubOrder) -> OF + Send + Sync + 'static,
    D: Fn(PeerEnvelope) -> DF + Send + Sync + 'static,
    SF: Future<Output = SubOutcome> + Send + 'static,
    OF: Future<Output = SubOrderEnd> + Send + 'static,
    DF: Future<Output = bool> + Send + 'static,
{
    async fn search(self, _: tarpc::context::Context, search: SubSearch) -> SubOutcome {
        (self.handlers.search)(search).await
    }

    async fn order(self, _: tarpc::context::Context, order: SubOrder) -> SubOrderEnd {
        (self.handlers.order)(order).await
    }

    async fn deliver(self, _: tarpc::context::Context, envelope: PeerEnvelope) -> bool {
        (self.handlers.deliver)(envelope).await
    }
}

/// Accepts connections and serves each one in a task of its own.
async fn accept_connections<S, O, D, SF, OF, DF>(
    listener: TcpListener,
    dispatcher: PeerDispatcher<S, O, D>,
) where
    S: Fn(SubSearch) -> SF + Send + Sync + 'static,
    O: Fn(SubOrder) -> OF + Send + Sync + 'static,
    D: Fn(PeerEnvelope) -> DF + Send + Sync + 'static,
    SF: Future<Output = SubOutcome> + Send + 'static,
    OF: Future<Output = SubOrderEnd> + Send + 'static,
    DF: Future<Output = bool> + Send + 'static,
{
    // Aborting this task drops the set, which aborts the tasks in it and so closes all connections.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        connections.spawn(serve_connection(stream, dispatcher.clone()));
        while connections.try_join_next().is_some() {}
    }
}

/// Runs the calls that arrive on one connection, until the peer closes it.
async fn serve_connection<S, O, D, SF, OF, DF>(
    stream: TcpStream,
    dispatcher: PeerDispatcher<S, O, D>,
) where
    S: Fn(SubSearch) -> SF + Send + Sync + 'static,
    O: Fn(SubOrder) -> OF + Send + Sync + 'static,
    D: Fn(PeerEnvelope) -> DF + Send + Sync + 'static,
    SF: Future<Output = SubOutcome> + Send + 'static,
    OF: Future<Output = SubOrderEnd> + Send + 'static,
    DF: Future<Output = bool> + Send + 'static,
{
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    // When the connection ends, this set is dropped, which cancels the calls that still run for it.
    let mut calls = tokio::task::JoinSet::new();
    let mut requests = std::pin::pin!(channel.execute(dispatcher.serve()));
    while let Some(call) = requests.next().await {
        calls.spawn(call);
        while calls.try_join_next().is_some() {}
    }
}
