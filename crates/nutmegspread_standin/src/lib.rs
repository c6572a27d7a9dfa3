//! Stand-ins for the platform and for searchers, and the load command.

pub mod platform;
pub mod searcher;
