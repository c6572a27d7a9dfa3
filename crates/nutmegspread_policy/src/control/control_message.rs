//! Inputs and outputs of the control state.

use super::{ObjectChange, PeerMessage, WatchedKind};
use crate::rollout::{RolloutAction, RolloutInput};
use crate::routing::RoutingView;
use crate::target::WarmthMark;
use nutmegspread_model::{
    ConfigurationDocument, MonotonicTime, NodeId, NodeRecord, RolloutId, RosterRecord, ServiceName,
    SnapshotMap, TargetId, VerdictRecord, VmRecord,
};

/// Something that happened outside the control state.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlInput {
    /// The node starts.
    Start,
    /// A change of the configuration object.
    Configuration(ObjectChange<ConfigurationDocument>),
    /// A change of snapshot maps.
    Maps(ObjectChange<SnapshotMap>),
    /// A change of verdicts.
    Verdicts(ObjectChange<VerdictRecord>),
    /// A change of node records.
    Nodes(ObjectChange<NodeRecord>),
    /// A change of the platform's list of VMs.
    Vms(ObjectChange<VmRecord>),
    /// A change of the roster.
    Roster(ObjectChange<RosterRecord>),
    /// A document that this node itself has just applied through the platform.
    Applied(ConfigurationDocument),
    /// A message of another node.
    Peer {
        /// Node that sent it.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// How warm an owned target is.
    Warmth {
        /// The target.
        target: TargetId,
        /// How warm it is.
        mark: WarmthMark,
    },
    /// A query of a service that a rollout moves began or ended.
    Query {
        /// The service.
        service: ServiceName,
        /// What happened.
        input: RolloutInput,
    },
    /// A call for a rollout ended.
    Rollout {
        /// The rollout.
        rollout: RolloutId,
        /// How the call ended.
        input: RolloutInput,
    },
    /// The time asked for by `wake_at` has come.
    Tick,
    /// The node begins a planned stop.
    Leave,
}

/// Something to do for the control state.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Send a control message; a loss is made good later.
    Send {
        /// IP address and port of the receiver's listener for other nodes.
        address: String,
        /// The message.
        message: PeerMessage,
    },
    /// Close the stream to a node and open a new one at the next message.
    ReplaceStream {
        /// IP address and port of the node's listener for other nodes.
        address: String,
    },
    /// Watch the platform, or stop watching and read when told to.
    Watch(bool),
    /// Read a kind from the platform: another node saw it change.
    ReadKind(WatchedKind),
    /// Read the configuration from the platform and take the answer as a list.
    ReadConfiguration,
    /// Write the node's own record.
    StoreRecord(NodeRecord),
    /// Store a roster if the stored version is the one before.
    ProposeRoster(RosterRecord),
    /// Call the platform for a rollout.
    Rollout {
        /// The rollout.
        rollout: RolloutId,
        /// The call.
        action: RolloutAction,
    },
    /// Tell an owned target how warm another owner found it.
    NoteWarmth {
        /// The target.
        target: TargetId,
        /// How warm it is.
        mark: WarmthMark,
    },
}

/// Result of one step.
#[derive(Clone, Debug, Default)]
pub struct ControlOutput {
    /// What to do, in order.
    pub effects: Vec<ControlEffect>,
    /// A view to publish, when it may have changed.
    pub view: Option<RoutingView>,
    /// When to step with [`ControlInput::Tick`] at the latest.
    pub wake_at: Option<MonotonicTime>,
}
