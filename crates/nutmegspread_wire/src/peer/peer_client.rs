//! Client for the calls that a node makes to one peer.

use super::{PeerEnvelope, PeerError, PeerServiceClient, SubOrder, SubOrderEnd};
use nutmegspread_model::{SubOutcome, SubSearch};
use std::time::{Duration, Instant};
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::timeout;

/// Connection to one peer; clones share it, and many calls can be in flight at once.
///
/// Dropping the future of a call cancels the call on the peer.
#[derive(Clone)]
pub struct PeerClient {
    client: PeerServiceClient,
}

impl PeerClient {
    /// Connects to the peer at `address`.
    ///
    /// # Errors
    /// [`PeerError::Connection`] if the connection cannot be opened within `connect_timeout`.
    pub async fn open(address: &str, connect_timeout: Duration) -> Result<Self, PeerError> {
        let connection_error = |source| PeerError::Connection {
            address: address.into(),
            source,
        };
        let transport = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        let transport = timeout(connect_timeout, transport)
            .await
            .map_err(|_| connection_error(std::io::ErrorKind::TimedOut.into()))?
            .map_err(connection_error)?;
        transport
            .get_ref()
            .set_nodelay(true)
            .map_err(connection_error)?;
        let config = tarpc::client::Config::default();
        Ok(Self {
            client: PeerServiceClient::new(config, transport).spawn(),
        })
    }

    /// Runs a sub-request, the search of one shard, on a target of which the peer owns a share.
    ///
    /// # Errors
    /// [`PeerError::Call`] if the connection breaks or the peer does not answer within `timeout`.
    pub async fn search(
        &self,
        search: SubSearch,
        timeout: Duration,
    ) -> Result<SubOutcome, PeerError> {
        Ok(self.client.search(call_context(timeout), search).await?)
    }

    /// Lets the peer send an order, once, to a target of which the peer owns a share.
    ///
    /// # Errors
    /// [`PeerError::Call`] if the connection breaks or the peer does not answer within `timeout`.
    /// In both cases the order may have run.
    pub async fn order(
        &self,
        order: SubOrder,
        timeout: Duration,
    ) -> Result<SubOrderEnd, PeerError> {
        Ok(self.client.order(call_context(timeout), order).await?)
    }

    /// Delivers a control message to the peer. Returns whether the peer accepted the message.
    ///
    /// # Errors
    /// [`PeerError::Call`] if the connection breaks or the peer does not answer within `timeout`.
    pub async fn deliver(
        &self,
        envelope: PeerEnvelope,
        timeout: Duration,
    ) -> Result<bool, PeerError> {
        Ok(self.client.deliver(call_context(timeout), envelope).await?)
    }
}

/// Returns the context of a call that must be answered within `timeout`.
fn call_context(timeout: Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + timeout;
    context
}
