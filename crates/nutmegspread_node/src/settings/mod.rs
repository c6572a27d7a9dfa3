//! Settings of a node process, read once at its start.

mod node_settings;
mod platform_access;

pub use node_settings::NodeSettings;
pub use platform_access::PlatformAccess;
