//! Inputs and outputs of the fleet policy.

use super::GossipMessage;
use nutmegspread_model::{MonotonicTime, NodeId, NodeRecord, Revision, RosterRecord};

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetInput {
    /// The platform's list of nodes, which lags.
    NodeList(Vec<NodeRecord>),
    /// The roster as the platform stores it.
    Roster(RosterRecord),
    /// A call to the platform succeeded.
    PlatformSeen,
    /// A message came from another node.
    Message(Box<GossipMessage>),
    /// The configuration in force on this node, and when the platform last confirmed it.
    ConfigurationRevision {
        /// Its revision.
        revision: Revision,
        /// Time on this node's clock.
        confirmed_at: Option<MonotonicTime>,
    },
    /// The node begins to stop.
    Leave,
    /// The time asked for by `wake_at` has come.
    Tick,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Send a message; a loss is made good by the next heartbeat.
    Send {
        /// Receiver, empty when only its address is known.
        node: NodeId,
        /// IP address and port of its listener for other nodes.
        address: String,
        /// The message.
        message: Box<GossipMessage>,
    },
    /// Close the stream to a node and open a new one.
    ReplaceStream {
        /// The node that is silent.
        node: NodeId,
        /// IP address and port of its listener for other nodes.
        address: String,
    },
    /// Store a roster, on condition that the stored version is the one before (0 when absent).
    ProposeRoster(RosterRecord),
    /// Tell the configuration policy what another node applies.
    ConfigurationDigest {
        /// The node.
        node: NodeId,
        /// Revision that it applies.
        revision: Revision,
        /// When the platform confirmed that revision at the latest, on this node's clock.
        confirmed_at: Option<MonotonicTime>,
    },
}

/// Result of one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetOutput {
    /// What to do, in order.
    pub actions: Vec<FleetAction>,
    /// When to step with [`FleetInput::Tick`] at the latest.
    pub wake_at: MonotonicTime,
}
