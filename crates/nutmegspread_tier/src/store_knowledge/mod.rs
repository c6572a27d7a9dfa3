//! What a node knows of the store, and what holds when the store comes back from an older copy.

mod era_tracker;
mod evacuation_set;
mod evidence_bounds;
mod known_rollouts;
mod removed_targets;
mod stated_era;
mod store_position;
mod target_registry;

pub use era_tracker::{EraObservation, EraTracker};
pub use evacuation_set::{EvacuationSet, EvacuationSettings};
pub use evidence_bounds::{EvidenceBounds, EvidenceUse};
pub use known_rollouts::KnownRollouts;
pub use stated_era::StatedEra;
pub use store_position::StorePosition;
pub use target_registry::{RegistryChange, RegistrySettings, TargetRegistry};
