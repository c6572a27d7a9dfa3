//! All control state of a node: its configuration, the fleet of nodes, verdicts on targets, drains,
//! snapshot maps, warmth of targets, and rollouts. From this state, the node publishes a view that
//! its query and order traffic reads.

mod control_message;
mod control_settings;
mod control_state;
mod object_change;
mod peer_message;
mod reply_text;
mod rollout_link;
mod status_report;
mod vm_table;
mod warmth_table;
mod watch_role;
mod watched_kind;

pub use control_message::{ControlEffect, ControlInput, ControlOutput};
pub use control_settings::ControlSettings;
pub use control_state::ControlState;
pub use object_change::ObjectChange;
pub use peer_message::PeerMessage;
pub use status_report::{NodeStatus, StatusReport};
pub use watch_role::is_watcher;
pub use watched_kind::WatchedKind;
