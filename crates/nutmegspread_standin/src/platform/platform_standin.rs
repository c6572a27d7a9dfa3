//! Starts, runs and stops a platform stand-in.

use super::request_handlers::router;
use super::shared_state::SharedState;
use super::{CallCounts, FaultSettings, PlatformFaults, StandinError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Settings of a platform stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformStandinSettings {
    /// Address to listen on as `IP:PORT`; with port 0 the system chooses a free port.
    pub listen: String,
    /// Faults that are simulated from the start.
    pub faults: FaultSettings,
    /// Time between two bookmarks on a watch.
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

/// A running platform stand-in; its objects are lost when it is closed.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<SharedState>,
    stop: oneshot::Sender<()>,
    server: JoinHandle<()>,
}

impl PlatformStandin {
    /// Listens on the address of the settings and starts to serve calls.
    ///
    /// # Errors
    /// [`StandinError::Listen`] when the stand-in cannot listen on the address, and
    /// [`StandinError::LocalAddress`] when the listener's address cannot be read.
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
        let address = listener.local_addr().map_err(StandinError::LocalAddress)?;
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

    /// Address on which the stand-in listens, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that changes the stand-in's faults.
    pub fn faults(&self) -> PlatformFaults {
        PlatformFaults::new(Arc::clone(&self.state))
    }

    /// Numbers of calls since the stand-in started.
    pub fn calls(&self) -> CallCounts {
        self.state.lock().counts.clone()
    }

    /// Stops listening, ends all watches and waits until the calls in progress are answered.
    ///
    /// Calls that arrive in the meantime are answered with status 503.
    pub async fn close(self) {
        self.faults().set(FaultSettings {
            down: true,
            ..Default::default()
        });
        // Sending fails only if the server has already ended, and then it needs no signal.
        let _ = self.stop.send(());
        let _ = self.server.await;
    }
}

async fn serve(listener: TcpListener, state: Arc<SharedState>, stopped: oneshot::Receiver<()>) {
    let stopped = async {
        // The server also stops when the sender is dropped together with the stand-in.
        let _ = stopped.await;
    };
    let server = axum::serve(listener, router(state)).with_graceful_shutdown(stopped);
    if let Err(error) = server.await {
        eprintln!("platform stand-in stopped serving: {error}");
    }
}
