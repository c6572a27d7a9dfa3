//! What a simulated target says of itself.

use nutmegspread_platform_standin::{SearcherSettings, StoreStandin};
use std::net::SocketAddr;

/// What a simulated target says of itself.
#[derive(Clone, Debug)]
pub struct SimTarget {
    pub id: String,
    pub settings: SearcherSettings,
    pub address: SocketAddr,
    pub is_draining: bool,
    /// Number of times that the target has written its registration.
    pub reports: u64,
}

impl SimTarget {
    /// Writes the registration, as the target does at each heartbeat.
    pub fn register(&mut self, store: &StoreStandin) {
        self.reports += 1;
        store.report(
            &self.id,
            &self.settings,
            self.address,
            self.is_draining,
            self.reports,
        );
    }
}
