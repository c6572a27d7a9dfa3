//! What a node decides on its knowledge of the store.

mod evidence_bounds;
mod known_rollouts;
mod store_position;

pub use evidence_bounds::{EvidenceBounds, EvidenceUse};
pub use known_rollouts::KnownRollouts;
pub use store_position::StorePosition;
