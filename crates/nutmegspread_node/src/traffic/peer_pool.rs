//! One stream to each other node, replaced when it breaks or goes silent.

use indexmap::IndexMap;
use nutmegspread_wire::peer::{PeerClient, PeerError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Streams by address.
#[derive(Default)]
pub struct PeerPool {
    slots: Mutex<IndexMap<String, Arc<PeerSlot>>>,
}

#[derive(Default)]
struct PeerSlot {
    client: tokio::sync::Mutex<Option<(u64, PeerClient)>>,
}

/// A stream and its generation, by which a broken one is dropped once.
#[derive(Clone)]
pub struct PeerLease {
    /// The stream.
    pub client: PeerClient,
    address: String,
    generation: u64,
}

impl PeerPool {
    /// The stream to an address; opens one when there is none.
    ///
    /// # Errors
    /// Those of [`PeerClient::open`].
    pub async fn stream(&self, address: &str) -> Result<PeerLease, PeerError> {
        let slot = self.slot(address);
        let mut client = slot.client.lock().await;
        let (generation, client) = match &*client {
            Some((generation, client)) => (*generation, client.clone()),
            None => {
                let opened = PeerClient::open(address, CONNECT_TIMEOUT).await?;
                let generation = self.next_generation();
                *client = Some((generation, opened.clone()));
                (generation, opened)
            }
        };
        Ok(PeerLease {
            client,
            address: address.into(),
            generation,
        })
    }

    /// Drops a stream that failed, so that the next call opens a new one.
    pub async fn discard(&self, lease: &PeerLease) {
        let slot = self.slot(&lease.address);
        let mut client = slot.client.lock().await;
        if client
            .as_ref()
            .is_some_and(|(generation, _)| *generation == lease.generation)
        {
            *client = None;
        }
    }

    /// Drops the stream to an address, whatever its state.
    pub async fn replace(&self, address: &str) {
        *self.slot(address).client.lock().await = None;
    }

    fn slot(&self, address: &str) -> Arc<PeerSlot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(address.into()).or_default())
    }

    fn next_generation(&self) -> u64 {
        use std::sync::atomic::{AtomicU64, Ordering};
        static GENERATION: AtomicU64 = AtomicU64::new(1);
        GENERATION.fetch_add(1, Ordering::Relaxed)
    }
}

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
