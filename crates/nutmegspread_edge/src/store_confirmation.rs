//! Time at which the store last confirmed the configuration, as the control thread tells the traffic
//! thread.

use arc_swap::ArcSwapOption;
use nutmegspread_tier::ConfirmationAge;
use std::sync::Arc;
use std::time::Instant;

/// Time at which the store last confirmed to this node or a peer that the configuration was current.
#[derive(Debug, Default)]
pub struct StoreConfirmation {
    /// The time, and whether this node had started by then; `None` before the first confirmation.
    last: ArcSwapOption<(Instant, bool)>,
}

impl StoreConfirmation {
    /// Records that the store confirmed the configuration at `confirmed`.
    pub fn record(&self, confirmed: Instant, is_since_start: bool) {
        self.last.store(Some(Arc::new((confirmed, is_since_start))));
    }

    /// Returns the last confirmation; `None` if there was none.
    pub fn age(&self, now: Instant) -> Option<ConfirmationAge> {
        let last = self.last.load();
        let (confirmed, is_since_start) = **last.as_ref()?;
        Some(ConfirmationAge {
            age: now.saturating_duration_since(confirmed),
            is_since_start,
        })
    }
}
