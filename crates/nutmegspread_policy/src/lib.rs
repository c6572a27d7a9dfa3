//! Every decision of nutmegspread as pure state machines.
//!
//! No I/O, no clock, no global randomness: each aggregate takes the time and an input and returns
//! an output with actions. A process turns actions into I/O; a test drives many nodes at once in
//! virtual time.

pub mod configuration;
pub mod control;
pub mod fleet;
pub mod order;
pub mod platform;
pub mod query;
pub mod rollout;
pub mod routing;
pub mod target;
pub mod verdict;
