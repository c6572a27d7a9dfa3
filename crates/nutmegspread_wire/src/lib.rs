//! Clients and services of the protocols between callers, nodes, targets and the platform.
//!
//! Each module speaks one protocol and turns library errors into its own. None of them decides
//! anything: limits, retries and routing belong to the policy crate.

pub mod peer;
pub mod platform;
pub mod target;
