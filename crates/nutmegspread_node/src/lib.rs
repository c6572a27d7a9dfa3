//! The node process: control actors, traffic tasks and listeners.
//!
//! Control state lives on one thread and publishes an immutable
//! [`nutmegspread_policy::routing::RoutingView`]; traffic reads it and never waits for control.

pub mod console;

mod clock;
mod control;
mod node_error;
mod node_process;
mod operator;
mod order;
mod settings;
mod telemetry;
mod traffic;

pub use clock::ProcessClock;
pub use node_error::NodeError;
pub use node_process::NodeProcess;
pub use settings::{NodeSettings, PlatformAccess};
pub use telemetry::start_logging;
