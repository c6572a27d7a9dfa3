//! Listener for calls of other nodes.

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

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What a node does with each call; all are closures of the node.
pub struct PeerHandlers<S, O, D> {
    /// Runs a sub-request.
    pub search: S,
    /// Sends an order to a target.
    pub order: O,
    /// Takes a control message.
    pub deliver: D,
}

/// Accepts streams of other nodes until closed.
pub struct PeerServer {
    address: SocketAddr,
    accept: JoinHandle<()>,
}

impl PeerServer {
    /// Listens and serves calls.
    ///
    /// # Errors
    /// [`PeerError::Connection`] when the address cannot be listened on.
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
        let failed = |source| PeerError::Connection {
            address: listen.into(),
            source,
        };
        let listener = TcpListener::bind(listen).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let handler = PeerHandler {
            handlers: Arc::new(handlers),
        };
        let accept = tokio::spawn(accept_streams(listener, handler));
        Ok(Self { address, accept })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and closes every stream.
    pub fn close(self) {
        self.accept.abort();
    }
}

struct PeerHandler<S, O, D> {
    handlers: Arc<PeerHandlers<S, O, D>>,
}

impl<S, O, D> Clone for PeerHandler<S, O, D> {
    fn clone(&self) -> Self {
        Self {
            handlers: Arc::clone(&self.handlers),
        }
    }
}

impl<S, O, D, SF, OF, DF> PeerService for PeerHandler<S, O, D>
where
    S: Fn(SubSearch) -> SF + Send + Sync + 'static,
    O: Fn(SubOrder) -> OF + Send + Sync + 'static,
    D: Fn(PeerEnvelope) -> DF + Send + Sync + 'static,
    SF: Future<Output = SubOutcome> + Send + 'static,
    OF: Future<Output = SubOrderEnd> + Send + 'static,
    DF: Future<Output = bool> + Send + 'static,
{
    async fn search(self, _: tarpc::context::Context, sub: SubSearch) -> SubOutcome {
        (self.handlers.search)(sub).await
    }

    async fn order(self, _: tarpc::context::Context, order: SubOrder) -> SubOrderEnd {
        (self.handlers.order)(order).await
    }

    async fn deliver(self, _: tarpc::context::Context, envelope: PeerEnvelope) -> bool {
        (self.handlers.deliver)(envelope).await
    }
}

async fn accept_streams<S, O, D, SF, OF, DF>(listener: TcpListener, handler: PeerHandler<S, O, D>)
where
    S: Fn(SubSearch) -> SF + Send + Sync + 'static,
    O: Fn(SubOrder) -> OF + Send + Sync + 'static,
    D: Fn(PeerEnvelope) -> DF + Send + Sync + 'static,
    SF: Future<Output = SubOutcome> + Send + 'static,
    OF: Future<Output = SubOrderEnd> + Send + 'static,
    DF: Future<Output = bool> + Send + 'static,
{
    // Owned by this task: aborting it drops the set, which closes every stream.
    let mut streams = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        streams.spawn(serve_stream(stream, handler.clone()));
        while streams.try_join_next().is_some() {}
    }
}

async fn serve_stream<S, O, D, SF, OF, DF>(stream: TcpStream, handler: PeerHandler<S, O, D>)
where
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
    // Owned by this task: when the stream ends, what still runs for it is cancelled.
    let mut calls = tokio::task::JoinSet::new();
    let mut requests = std::pin::pin!(channel.execute(handler.serve()));
    while let Some(call) = requests.next().await {
        calls.spawn(call);
        while calls.try_join_next().is_some() {}
    }
}
