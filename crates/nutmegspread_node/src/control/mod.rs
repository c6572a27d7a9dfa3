//! The control thread, whose actor owns the control state of the node.

mod apply_configuration;
mod configuration_warnings;
mod control_actor;
mod control_handle;
mod control_request;
mod control_thread;
mod effect_runner;
mod platform_follower;
mod platform_writer;
mod rollout_caller;
mod unreadable_log;
mod watch_roles;

pub use apply_configuration::ApplyFailure;
pub use control_handle::ControlHandle;
pub use control_thread::{ControlDependencies, start_control};
