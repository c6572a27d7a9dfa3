//! Stand-in for the platform's object API that keeps all objects in memory and simulates faults.

mod call_counts;
mod channel_body;
mod fault_settings;
mod object_store;
mod platform_faults;
mod platform_standin;
mod request_handlers;
mod shared_state;
mod standin_error;
mod watch_stream;

pub use call_counts::CallCounts;
pub use fault_settings::FaultSettings;
pub use platform_faults::PlatformFaults;
pub use platform_standin::{PlatformStandin, PlatformStandinSettings};
pub use standin_error::StandinError;
