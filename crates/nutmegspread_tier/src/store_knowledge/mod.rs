//! What a node knows of the store, and what holds when the store comes back from an older copy.

mod era_tracker;
mod stated_era;
mod store_position;

pub use era_tracker::{EraObservation, EraTracker};
pub use stated_era::StatedEra;
pub use store_position::StorePosition;
