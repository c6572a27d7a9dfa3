//! Simulations in virtual time, generated histories and scenario scripts for queries and targets.
#![allow(dead_code, reason = "each test file uses only some of the items")]

pub mod query_history;
pub mod query_script;
pub mod query_world;
pub mod target_history;
pub mod target_script;
pub mod tier_world;
