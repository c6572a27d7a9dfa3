//! The node process. It runs the control actors, the traffic tasks and the listeners.
//!
//! The control state is confined to one thread, which publishes an immutable
//! [`nutmegspread_policy::routing::RoutingView`]. Traffic reads the view and never waits for control.

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
