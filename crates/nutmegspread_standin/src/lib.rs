//! Stand-ins for the platform and the searchers, the load command and the capacity measurements.

pub mod capacity;
pub mod load;
pub mod platform;
pub mod searcher;
