//! Network protocols that nodes use with each other, with targets and with the platform.
//!
//! Each module implements one protocol and converts the errors of its libraries into its own error
//! type. Decisions such as limits, retries and routing are made in the policy crate.

pub mod peer;
pub mod platform;
pub mod target;
