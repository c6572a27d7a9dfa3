//! Counts of the requests of tenants, which the traffic thread makes and the control thread sends.

use nutmegspread_tier::{
    CountChange, DutySettings, DutyTime, NodeRun, TenantName, TrueClock, UsageLedger, WindowNumber,
};
use rustix::time::{ClockId, clock_gettime};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[derive(Debug)]
struct CounterState {
    clock: TrueClock,
    ledger: UsageLedger,
}

/// Counts of the requests of tenants on this node, and the clock that assigns them to windows.
///
/// Both threads hold the lock only briefly.
#[derive(Debug)]
pub struct UsageCounter {
    settings: DutySettings,
    run: NodeRun,
    state: Mutex<CounterState>,
}

impl UsageCounter {
    /// Creates the counts of a node that started at `started_ms`, in milliseconds since 1970.
    pub fn new(node: &str, started_ms: u64, settings: DutySettings) -> Self {
        let wall = wall_time();
        let node = node.into();
        let run = NodeRun { node, started_ms };
        let state = CounterState {
            clock: TrueClock::new(boot_time(), wall),
            ledger: UsageLedger::new(run.clone()),
        };
        Self {
            settings,
            run,
            state: Mutex::new(state),
        }
    }

    /// The present window.
    pub fn present_window(&self) -> WindowNumber {
        let boot = boot_time();
        self.settings.schedule.number(self.state().clock.at(boot))
    }

    /// Applies a change of the counts of a tenant.
    pub fn apply(&self, change: CountChange, tenant: &TenantName) {
        let ledger = &mut self.state().ledger;
        if let Some(window) = change.take_back {
            ledger.take_back(window, tenant);
        }
        if let Some(window) = change.count {
            ledger.count(window, tenant);
        }
    }

    /// Calls `use_ledger` with the counts.
    pub fn with_ledger<R>(&self, use_ledger: impl FnOnce(&mut UsageLedger) -> R) -> R {
        use_ledger(&mut self.state().ledger)
    }

    /// Compares the system's clocks. Returns the change in milliseconds if a jump of the time of day
    /// is followed now.
    pub fn observe_clocks(&self) -> Option<i64> {
        let (boot, wall) = (boot_time(), wall_time());
        let change = self.state().clock.observe(boot, wall)?;
        i64::try_from(change / 1_000_000).ok()
    }

    /// Present time by the clocks that decide on reports.
    pub fn time(&self) -> DutyTime {
        let boot = boot_time();
        DutyTime {
            monotonic: tokio::time::Instant::now().into_std(),
            boot,
            true_time: self.state().clock.at(boot),
        }
    }

    /// This run of the process.
    pub fn run(&self) -> &NodeRun {
        &self.run
    }

    /// Times of the reports.
    pub fn settings(&self) -> &DutySettings {
        &self.settings
    }

    fn state(&self) -> MutexGuard<'_, CounterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time since boot, which includes suspensions.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}

/// Time of day since the start of 1970.
fn wall_time() -> Duration {
    let now = SystemTime::now();
    now.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)
}
