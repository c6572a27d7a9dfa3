//! Data types of nutmegspread: identifiers, the configuration document, snapshot maps, objects of
//! the platform and messages.
//!
//! Most types are plain data with public fields and serde implementations. The crate does no I/O
//! and makes no decisions about traffic.
//!
//! ```
//! use nutmegspread_model::{TargetLimits, TargetSettings};
//!
//! let settings = TargetSettings {
//!     address: "127.0.0.1:9000".into(),
//!     limits: Some(TargetLimits { slots: 3, ..Default::default() }),
//!     ..Default::default()
//! };
//! assert_eq!(settings.limits.unwrap().slots, 3);
//! ```

mod configuration;
mod identifier;
mod message;
mod node_record;
mod platform_object;
mod rendezvous;
mod rollout_record;
mod serde_time;
mod snapshot_map;
mod verdict_record;

pub use configuration::*;
pub use identifier::*;
pub use message::*;
pub use node_record::{NodeRecord, RosterRecord, VmRecord};
pub use platform_object::{ObjectMetadata, PlatformObject};
pub use rendezvous::{rank_candidates, rendezvous_weight};
pub use rollout_record::{RolloutRecord, RolloutState};
pub use serde_time::{duration_ms, time_ms};
pub use snapshot_map::{ShardPlacement, SnapshotMap};
pub use verdict_record::{HealthVerdict, VerdictRecord};
