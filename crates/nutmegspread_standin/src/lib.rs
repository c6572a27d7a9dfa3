//! Stand-ins for the platform and for searchers, and the load command.

pub mod capacity;
pub mod load;
pub mod platform;
pub mod searcher;
