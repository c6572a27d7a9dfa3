//! Virtual time, hand-made deliveries and scenario scripts for queries and targets.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod query_history;
pub mod query_script;
pub mod query_world;
pub mod target_history;
pub mod target_script;
pub mod tier_world;
