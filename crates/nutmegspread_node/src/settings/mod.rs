//! Settings of a node process, which it reads once when it starts.

mod node_settings;
mod platform_access;

pub use node_settings::NodeSettings;
pub use platform_access::PlatformAccess;
