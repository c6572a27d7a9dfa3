//! Pool with one stream to each peer. A stream that is broken or stalled is dropped, and another one is
//! opened when it is needed.

use indexmap::IndexMap;
use nutmegspread_wire::peer::{PeerClient, PeerError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// One stream per address, opened on first use and again after it was dropped.
#[derive(Default)]
pub struct PeerPool {
    entries: Mutex<IndexMap<String, Arc<PeerEntry>>>,
}

#[derive(Default)]
struct PeerEntry {
    client: tokio::sync::Mutex<Option<(u64, PeerClient)>>,
}

/// A stream from the pool. The generation distinguishes it from a later stream to the same address, so
/// that [`PeerPool::discard`] does not drop a stream that has replaced the failed one.
#[derive(Clone)]
pub struct PeerStream {
    /// Client of the stream.
    pub client: PeerClient,
    address: String,
    generation: u64,
}

impl PeerPool {
    /// Returns the stream to an address and opens it if there is none.
    ///
    /// # Errors
    /// The error of [`PeerClient::open`].
    pub async fn stream(&self, address: &str) -> Result<PeerStream, PeerError> {
        let entry = self.entry(address);
        let mut client = entry.client.lock().await;
        let (generation, client) = match &*client {
            Some((generation, client)) => (*generation, client.clone()),
            None => {
                let opened = PeerClient::open(address, CONNECT_TIMEOUT).await?;
                let generation = self.next_generation();
                *client = Some((generation, opened.clone()));
                (generation, opened)
            }
        };
        Ok(PeerStream {
            client,
            address: address.into(),
            generation,
        })
    }

    /// Drops a stream that failed, so that the next call of [`Self::stream`] opens a new one.
    pub async fn discard(&self, stream: &PeerStream) {
        let entry = self.entry(&stream.address);
        let mut client = entry.client.lock().await;
        if client
            .as_ref()
            .is_some_and(|(generation, _)| *generation == stream.generation)
        {
            *client = None;
        }
    }

    /// Drops the stream to an address, also if it works.
    pub async fn disconnect(&self, address: &str) {
        *self.entry(address).client.lock().await = None;
    }

    fn entry(&self, address: &str) -> Arc<PeerEntry> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(entries.entry(address.into()).or_default())
    }

    fn next_generation(&self) -> u64 {
        use std::sync::atomic::{AtomicU64, Ordering};
        static GENERATION: AtomicU64 = AtomicU64::new(1);
        GENERATION.fetch_add(1, Ordering::Relaxed)
    }
}

/// Time within which a stream has to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
