//! What a node keeps of its knowledge of the store when the store comes back from an older copy.

mod evacuation_set;
mod removed_targets;
mod target_registry;

pub use evacuation_set::{EvacuationSet, EvacuationSettings};
pub use target_registry::{RegistryChange, RegistrySettings, TargetRegistry};
