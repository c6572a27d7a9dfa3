//! What a node keeps of its knowledge of the store when the store comes back from an older copy.

mod removed_targets;
mod target_registry;

pub use target_registry::{RegistryChange, RegistrySettings, TargetRegistry};
