//! Startup, settings reload and graceful stop of a node.

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

/// Fraction of the grace time during which requests are still served, so that callers learn of the
/// stop before their connections are closed.
const SERVING_FRACTION: f64 = 0.5;
/// Fraction of the grace time after which requests in flight are answered with what has arrived.
const ANSWER_FRACTION: f64 = 0.87;
/// Fraction of the grace time after which the process ends, even with requests in flight.
const CLOSING_FRACTION: f64 = 0.93;
/// Fraction of the grace time after which the process no longer waits for its control thread. The rest is
/// for the end of the process: what is left at the grace time is killed.
const ENDING_FRACTION: f64 = 0.95;
/// Time between checks of the settings file, which may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Streams of the signals that stop a node or make it reload its settings.
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

/// A node that has been configured and can be run.
#[derive(Debug)]
pub struct EdgeProcess {
    path: PathBuf,
    shared: Arc<SharedState>,
}

impl EdgeProcess {
    /// Creates a node with `settings`, which were read from `path`. While the node runs, the file
    /// is read again when it changes; listeners and the address of the store stay as they were at
    /// the start.
    pub fn new(path: &Path, settings: NodeSettings) -> Self {
        let share = 1.0 / MemberSettings::default().assumed_nodes as f64;
        let shared = Arc::new(SharedState::new(settings, share));
        Self {
            path: path.to_owned(),
            shared,
        }
    }

    /// Serves requests until a stop signal, then finishes the requests in flight.
    ///
    /// # Errors
    /// When an address cannot be bound, or a thread, runtime or signal handler cannot be started.
    pub fn run(self) -> Result<(), EdgeError> {
        let runtime = thread_runtime("the traffic runtime")?;
        // Signal handlers are installed first, because an unhandled signal would end the process.
        let signals = runtime
            .block_on(async { StopSignals::new() })
            .map_err(|source| EdgeError::Start {
                what: "signal handling",
                source,
            })?;
        let settings = self.shared.settings.load_full();
        log::info!(event = "start", node = settings.node.as_str(),
            domain = settings.domain.as_str(), callers:% = settings.listen.callers;
            "node is starting");
        let control = start_control(Arc::clone(&self.shared))?;
        let outcome = LocalSet::new().block_on(&runtime, self.serve(signals));
        let closing = Instant::now();
        control.close(outcome.as_ref().map_or(closing, |end_time| *end_time));
        log::info!(event = "stop", control_ms = closing.elapsed().as_millis() as u64;
            "node has stopped");
        outcome.map(|_| ())
    }

    /// Serves requests until a stop signal, and returns the time by which the process has to end.
    async fn serve(&self, signals: StopSignals) -> Result<Instant, EdgeError> {
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
        tokio::task::spawn_local(apply_views(Rc::clone(&traffic)));
        tokio::task::spawn_local(Rc::clone(&traffic.admission).watch());
        self.wait_for_stop(signals).await;
        let stop = Instant::now();
        let grace = Duration::from_secs_f64(self.shared.settings.load().stop_grace_s);
        // The node stops only once, so the time is not set yet.
        let _ = self
            .shared
            .answer_by
            .set(stop + grace.mul_f64(ANSWER_FRACTION));
        traffic.stopping.notify_waiters();
        self.shared.leaving.store(true, Ordering::Relaxed);
        self.shared.leaving_changed.notify_one();
        log::info!(event = "leaving", open = traffic.open.get();
            "received a stop signal; draining this node");
        tokio::time::sleep(grace.mul_f64(SERVING_FRACTION)).await;
        callers.close(stop + grace.mul_f64(CLOSING_FRACTION)).await;
        log::info!(event = "left", open = traffic.open.get(); "stopped serving requests");
        Ok(stop + grace.mul_f64(ENDING_FRACTION))
    }

    /// Returns at a stop signal. Until then, reloads the settings on a hangup signal and when the
    /// file has changed.
    async fn wait_for_stop(&self, mut signals: StopSignals) {
        let mut interval = tokio::time::interval(SETTINGS_CHECK_INTERVAL);
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => return,
                _ = signals.interrupt.recv() => return,
                _ = signals.hangup.recv() => self.reload("signal"),
                _ = interval.tick() => self.reload("look"),
            }
        }
    }

    fn reload(&self, cause: &'static str) {
        match NodeSettings::load(&self.path) {
            Ok(settings) if settings == **self.shared.settings.load() => {}
            Ok(settings) => {
                log::info!(event = "reload", cause; "loaded changed settings");
                self.shared.settings.store(Arc::new(settings));
            }
            Err(error) => log::error!(event = "reload_failed", cause, reason:% = error;
                "reloading the settings failed; keeping the previous settings"),
        }
    }
}

/// Applies each new view at once, not only at the next request, so that connections to removed
/// targets are closed.
async fn apply_views(traffic: Rc<TrafficState>) {
    loop {
        traffic.shared.view_changed.notified().await;
        traffic.apply_newest_view(Instant::now());
    }
}
