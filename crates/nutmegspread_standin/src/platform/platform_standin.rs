//! The running stand-in.

use super::request_handlers::router;
use super::shared_state::SharedState;
use super::{CallCounts, FaultSettings, PlatformFaults, StandinError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Settings of the platform stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformStandinSettings {
    /// Address to listen on as `IP:PORT`; port 0 takes a free one.
    pub listen: String,
    /// Faults in force from the start.
    pub faults: FaultSettings,
    /// Time between bookmarks of a watch.
    pub bookmark_interval: Duration,
}

impl Default for PlatformStandinSettings {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".into(),
            faults: FaultSettings::default(),
            bookmark_interval: Duration::from_secs(1),
        }
    }
}

/// An object API in memory; it forgets everything when closed.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<SharedState>,
    stop: oneshot::Sender<()>,
    server: JoinHandle<()>,
}

impl PlatformStandin {
    /// Starts listening.
    ///
    /// # Errors
    /// [`StandinError::Listen`] when the address cannot be taken.
    pub async fn start(settings: PlatformStandinSettings) -> Result<Self, StandinError> {
        let PlatformStandinSettings {
            listen,
            faults,
            bookmark_interval,
        } = settings;
        let listener = TcpListener::bind(&listen)
            .await
            .map_err(|source| StandinError::Listen {
                address: listen.clone(),
                source,
            })?;
        let address = listener.local_addr().map_err(StandinError::Serve)?;
        let state = SharedState::new(faults, bookmark_interval);
        let (stop, stopped) = oneshot::channel::<()>();
        let server = tokio::spawn(serve(listener, Arc::clone(&state), stopped));
        Ok(Self {
            address,
            state,
            stop,
            server,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Handle on the fault switches.
    pub fn faults(&self) -> PlatformFaults {
        PlatformFaults::new(Arc::clone(&self.state))
    }

    /// Calls since the start.
    pub fn calls(&self) -> CallCounts {
        self.state.lock().counts.clone()
    }

    /// Stops listening, ends every watch and waits for the calls under way.
    pub async fn close(self) {
        self.faults().set(FaultSettings {
            down: true,
            ..Default::default()
        });
        // A server that has ended already needs no signal.
        let _ = self.stop.send(());
        let _ = self.server.await;
    }
}

async fn serve(listener: TcpListener, state: Arc<SharedState>, stopped: oneshot::Receiver<()>) {
    let stopped = async {
        // A dropped handle stops the server as well.
        let _ = stopped.await;
    };
    let server = axum::serve(listener, router(state)).with_graceful_shutdown(stopped);
    if let Err(error) = server.await {
        eprintln!("platform stand-in: {error}");
    }
}
