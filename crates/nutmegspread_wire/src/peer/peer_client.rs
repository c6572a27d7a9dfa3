//! Calls on one other node.

use super::{PeerEnvelope, PeerError, PeerServiceClient, SubOrder, SubOrderEnd};
use nutmegspread_model::{SubOutcome, SubSearch};
use std::time::{Duration, Instant};
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::timeout;

/// One stream to another node, shared by all calls on it.
///
/// Dropping the future of a call cancels the call at the other side.
#[derive(Clone)]
pub struct PeerClient {
    client: PeerServiceClient,
}

impl PeerClient {
    /// Connects to a node.
    ///
    /// # Errors
    /// [`PeerError::Connection`] when the node refuses or `connect` runs out.
    pub async fn open(address: &str, connect: Duration) -> Result<Self, PeerError> {
        let failed = |source| PeerError::Connection {
            address: address.into(),
            source,
        };
        let transport = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        let transport = timeout(connect, transport)
            .await
            .map_err(|_| failed(std::io::ErrorKind::TimedOut.into()))?
            .map_err(failed)?;
        transport.get_ref().set_nodelay(true).map_err(failed)?;
        let config = tarpc::client::Config::default();
        Ok(Self {
            client: PeerServiceClient::new(config, transport).spawn(),
        })
    }

    /// Runs a sub-request on a target of the other node.
    ///
    /// # Errors
    /// [`PeerError::Call`] when the stream breaks or `within` runs out.
    pub async fn search(&self, sub: SubSearch, within: Duration) -> Result<SubOutcome, PeerError> {
        Ok(self.client.search(context_within(within), sub).await?)
    }

    /// Sends an order to a target of the other node, once.
    ///
    /// # Errors
    /// [`PeerError::Call`] when the stream breaks or `within` runs out; the order may have run.
    pub async fn order(&self, order: SubOrder, within: Duration) -> Result<SubOrderEnd, PeerError> {
        Ok(self.client.order(context_within(within), order).await?)
    }

    /// Delivers a control message.
    ///
    /// # Errors
    /// [`PeerError::Call`] when the stream breaks or `within` runs out.
    pub async fn deliver(
        &self,
        envelope: PeerEnvelope,
        within: Duration,
    ) -> Result<bool, PeerError> {
        Ok(self
            .client
            .deliver(context_within(within), envelope)
            .await?)
    }
}

fn context_within(within: Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + within;
    context
}
