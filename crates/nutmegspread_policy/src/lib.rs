//! The decision logic of nutmegspread, written as pure state machines.
//!
//! The crate does no I/O, reads no clock and uses no global random number generator. Each state
//! machine receives the current time and an input, and returns an output that lists actions. The
//! node process carries the actions out; tests run many nodes in one process in virtual time.

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
