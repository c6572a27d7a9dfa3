//! Which nodes are live, and which node owns which share of a target.
//!
//! A share is the part of a target's limits that one of the target's owners may use. Ownership is
//! divided within a cell: a group of nodes with a roster of its own, which lists the nodes that
//! vote.
//!
//! Nodes exchange heartbeats, each of which carries the sender's report about itself and, for
//! receivers that miss them, the reports of other nodes. From the reports, each node computes its
//! view: the nodes that are members of the fleet. A node uses its shares only while a majority of
//! the roster has acknowledged heartbeats that it sent within a time limit, the fence. A share
//! increases only after the view has settled, which means that all its members have held the same
//! view for some time. The sum of the shares in use therefore stays within a target's limits even
//! while the views of nodes differ.

mod address_choice;
mod fleet_answers;
mod fleet_message;
mod fleet_policy;
mod fleet_settings;
mod fleet_view;
mod gossip_message;
mod heartbeat;
mod membership;
mod own_view;
mod peer_state;
mod received_heartbeat;
mod roster_state;
mod sent_log;
mod share_division;
mod share_holding;

pub use address_choice::choose_addresses;
pub use fleet_message::{FleetAction, FleetInput, FleetOutput};
pub use fleet_policy::FleetPolicy;
pub use fleet_settings::FleetSettings;
pub use fleet_view::{FleetView, NodeView};
pub use gossip_message::{GossipMessage, NodeReport, SeenNode, ViewDigest};
pub use share_division::{OwnerCandidate, choose_owners, divide_limits, share_of};

use membership::MembershipInput;
use own_view::{MemberEntry, OwnView};
use peer_state::PeerState;
use roster_state::RosterState;
use sent_log::SentLog;
use share_holding::ShareHolding;
