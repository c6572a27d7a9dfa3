//! Clients and services of the protocols between callers, nodes, targets and the platform.

pub mod platform;
