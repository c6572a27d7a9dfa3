//! Inputs and outputs of the fleet policy.

use super::GossipMessage;
use nutmegspread_model::{MonotonicTime, NodeId, NodeRecord, Revision, RosterRecord};

/// An event that the fleet policy processes.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetInput {
    /// The platform's list of nodes in all cells, which may be out of date.
    NodeList(Vec<NodeRecord>),
    /// The roster of this node's cell that the platform stores.
    Roster(RosterRecord),
    /// The platform has answered a call.
    PlatformAnswered,
    /// A heartbeat was received from a peer.
    Message(Box<GossipMessage>),
    /// The revision that this node applies has changed, or when the platform last confirmed that it
    /// stores this revision.
    ConfigurationRevision {
        /// Revision that this node applies.
        revision: Revision,
        /// When the platform last confirmed that revision, on this node's clock; `None` if it has
        /// not.
        confirmed_at: Option<MonotonicTime>,
    },
    /// This node begins a planned stop.
    Leave,
    /// The time requested by [`FleetOutput::wake_at`] has been reached.
    Tick,
}

/// An action that the caller of the fleet policy has to run.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Send a heartbeat without waiting for an answer; if it is lost, the next one replaces it.
    Send {
        /// Id of the receiver.
        node: NodeId,
        /// IP address and port of the receiver's listener for peers.
        address: String,
        /// The heartbeat to send.
        message: Box<GossipMessage>,
    },
    /// Close the stream to a peer and open a new one.
    ReplaceStream {
        /// Unresponsive peer.
        node: NodeId,
        /// IP address and port of the peer's listener for peers.
        address: String,
    },
    /// Store a roster, on condition that the stored version is the preceding one (0 if none is
    /// stored).
    ProposeRoster(RosterRecord),
    /// Pass the revision that a peer applies to the configuration policy.
    PeerRevision {
        /// Peer that reported the revision.
        node: NodeId,
        /// Revision that the peer applies.
        revision: Revision,
        /// When the platform last confirmed to the peer that it stores that revision, on this
        /// node's clock; `None` if unknown.
        confirmed_at: Option<MonotonicTime>,
    },
}

/// Result of one step of the fleet policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetOutput {
    /// Actions to run, in order.
    pub actions: Vec<FleetAction>,
    /// Latest time for the next step; without another input, it is a [`FleetInput::Tick`].
    pub wake_at: MonotonicTime,
}
