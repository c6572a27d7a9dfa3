//! Simulates the rollout policies of several nodes in virtual time, with a stand-in for the
//! platform's store and simulated messages between the nodes.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some of the items"
)]

mod fake_store;
mod fleet_settings;
mod rollout_fleet;
mod run_report;
mod seeds;

pub use fake_store::FakeStore;
pub use fleet_settings::{
    FleetSettings, NodePause, NodeRestart, StoreFaults, VersionFault, example_rollout,
};
pub use rollout_fleet::RolloutFleet;
pub use run_report::{RouteReport, RunReport};
pub use seeds::{failing_seeds, run_each_seed, run_seeds};
