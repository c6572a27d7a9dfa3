//! The whole node: start, reload, stop.

use crate::control::start_control;
use crate::thread_runtime::thread_runtime;
use crate::traffic::{CallerListener, TrafficState};
use crate::{EdgeError, NodeSettings, SharedState};
use nutmegspread_tier::MemberSettings;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// Part of the grace time for which requests on open connections are still taken, so that
/// callers learn of the stop before their connections end.
const SERVING_SHARE: f64 = 0.5;
/// Part of the grace time after which the process ends whatever is in flight.
const ENDING_SHARE: f64 = 0.8;
/// Time between looks at the settings file, which may change without a signal.
const SETTINGS_TIME: Duration = Duration::from_secs(2);

/// The signals that a node acts on.
#[derive(Debug)]
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl StopSignals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// A node before it runs.
#[derive(Debug)]
pub struct EdgeProcess {
    path: PathBuf,
    shared: Arc<SharedState>,
}

impl EdgeProcess {
    /// A node with settings read from `path`, where they are read again on changes.
    pub fn new(path: &Path, settings: NodeSettings) -> Self {
        let part = 1.0 / MemberSettings::default().assumed_nodes as f64;
        let shared = Arc::new(SharedState::new(settings, part));
        Self {
            path: path.to_owned(),
            shared,
        }
    }

    /// Serves until a stop signal, then finishes what is in flight.
    ///
    /// # Errors
    /// When an address cannot be listened on or a thread cannot be started.
    pub fn run(self) -> Result<(), EdgeError> {
        let runtime = thread_runtime("the traffic runtime")?;
        // Signals are taken from the first moment on; unhandled ones would end the process.
        let signals = runtime
            .block_on(async { StopSignals::new() })
            .map_err(|source| EdgeError::Start {
                what: "signal handling",
                source,
            })?;
        let settings = self.shared.settings.load_full();
        log::info!(event = "start", node = settings.node.as_str(), domain = settings.domain.as_str(),
            callers:% = settings.listen.callers; "node starts");
        let control = start_control(Arc::clone(&self.shared))?;
        let ended = LocalSet::new().block_on(&runtime, self.serve(signals));
        control.close();
        log::info!(event = "stop"; "node stops");
        ended
    }

    async fn serve(&self, signals: StopSignals) -> Result<(), EdgeError> {
        let address = self.shared.settings.load().listen.callers;
        let purpose = "callers";
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| EdgeError::Listen {
                address,
                purpose,
                source,
            })?;
        let traffic = Rc::new(TrafficState::new(Arc::clone(&self.shared)));
        let callers = CallerListener::new(listener, Rc::clone(&traffic));
        tokio::task::spawn_local(follow_views(Rc::clone(&traffic)));
        self.wait_for_stop(signals).await;
        let stop = Instant::now();
        let grace = Duration::from_secs_f64(self.shared.settings.load().stop_grace_s);
        self.shared.leaving.store(true, Ordering::Relaxed);
        self.shared.leaving_changed.notify_one();
        log::info!(event = "leaving", open = traffic.open.get(); "asked to stop");
        tokio::time::sleep(grace.mul_f64(SERVING_SHARE)).await;
        callers.close(stop + grace.mul_f64(ENDING_SHARE)).await;
        log::info!(event = "left", open = traffic.open.get(); "requests ended");
        Ok(())
    }

    /// Returns at a stop signal; reads settings again when asked to or when they changed.
    async fn wait_for_stop(&self, mut signals: StopSignals) {
        let mut look = tokio::time::interval(SETTINGS_TIME);
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => return,
                _ = signals.interrupt.recv() => return,
                _ = signals.hangup.recv() => self.reload("signal"),
                _ = look.tick() => self.reload("look"),
            }
        }
    }

    fn reload(&self, cause: &'static str) {
        match NodeSettings::load(&self.path) {
            Ok(settings) if settings == **self.shared.settings.load() => {}
            Ok(settings) => {
                log::info!(event = "reload", cause; "settings changed");
                self.shared.settings.store(Arc::new(settings));
            }
            Err(error) => log::error!(event = "reload_failed", cause, reason:% = error;
                "the settings before stay in force"),
        }
    }
}

/// Takes new views over without waiting for a request, so that left targets lose connections.
async fn follow_views(traffic: Rc<TrafficState>) {
    loop {
        traffic.shared.view_changed.notified().await;
        traffic.newest_view(Instant::now());
    }
}
