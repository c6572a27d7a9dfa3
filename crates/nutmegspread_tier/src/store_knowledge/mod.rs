//! What a node decides on its knowledge of the store.

mod evidence_bounds;
mod store_position;

pub use evidence_bounds::{EvidenceBounds, EvidenceUse};
pub use store_position::StorePosition;
