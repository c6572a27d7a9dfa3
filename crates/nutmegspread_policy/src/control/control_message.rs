//! Inputs and outputs of the control state.

use super::{ObjectChange, PeerMessage, WatchedKind};
use crate::rollout::{RolloutAction, RolloutInput};
use crate::routing::RoutingView;
use crate::target::WarmthMark;
use nutmegspread_model::{
    ConfigurationDocument, MonotonicTime, NodeId, NodeRecord, RolloutId, RosterRecord, ServiceName,
    SnapshotMap, TargetId, VerdictRecord, VmRecord,
};

/// An event that the control state processes.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlInput {
    /// The node starts.
    Start,
    /// The configuration object was listed or changed.
    Configuration(ObjectChange<ConfigurationDocument>),
    /// Snapshot maps were listed or changed.
    Maps(ObjectChange<SnapshotMap>),
    /// Verdicts were listed or changed.
    Verdicts(ObjectChange<VerdictRecord>),
    /// Node records were listed or changed.
    Nodes(ObjectChange<NodeRecord>),
    /// The platform's VMs were listed or changed.
    Vms(ObjectChange<VmRecord>),
    /// The roster was listed or changed.
    Roster(ObjectChange<RosterRecord>),
    /// The platform accepted a configuration document that this node wrote.
    Applied(ConfigurationDocument),
    /// A message was received from a peer.
    Peer {
        /// Peer that sent the message.
        from: NodeId,
        /// The message received.
        message: PeerMessage,
    },
    /// This node measured how warm one of its owned targets is.
    Warmth {
        /// Id of the target.
        target: TargetId,
        /// Warmth that this node measured.
        mark: WarmthMark,
    },
    /// A query of a service whose traffic a rollout is moving started or ended.
    Query {
        /// Service of the query.
        service: ServiceName,
        /// Start or result of the query.
        input: RolloutInput,
    },
    /// A call to the platform for a rollout ended.
    Rollout {
        /// Id of the rollout.
        rollout: RolloutId,
        /// Result of the call.
        input: RolloutInput,
    },
    /// The time requested by [`ControlOutput::wake_at`] has been reached.
    Tick,
    /// The node begins a planned stop.
    Leave,
}

/// An action that the process has to run for the control state.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Send a control message without waiting for an answer; if it is lost, a later message carries
    /// the newer state.
    Send {
        /// IP address and port of the receiver's listener for peers.
        address: String,
        /// The message to send.
        message: PeerMessage,
    },
    /// Close the stream to a peer; the next message opens a new one.
    ReplaceStream {
        /// IP address and port of the peer's listener for peers.
        address: String,
    },
    /// Watch all kinds of objects of the platform if `true`; if `false`, close the watches and read
    /// a kind only on [`ControlEffect::ReadKind`].
    Watch(bool),
    /// Read all objects of a kind from the platform, because a peer that watches reported a change.
    ReadKind(WatchedKind),
    /// Read the configuration from the platform and return the answer as
    /// [`ObjectChange::Listed`].
    ReadConfiguration,
    /// Write this node's record to the platform.
    StoreRecord(NodeRecord),
    /// Write a roster to the platform, on condition that the version stored there is the preceding
    /// one.
    ProposeRoster(RosterRecord),
    /// Call the platform for a rollout.
    Rollout {
        /// Id of the rollout.
        rollout: RolloutId,
        /// Call to make.
        action: RolloutAction,
    },
    /// Pass the warmth that another owner measured to the policy of an owned target.
    RecordWarmth {
        /// Id of the target.
        target: TargetId,
        /// Warmth that the other owner measured.
        mark: WarmthMark,
    },
}

/// Result of one step of the control state.
#[derive(Clone, Debug, Default)]
pub struct ControlOutput {
    /// Actions to run, in order.
    pub effects: Vec<ControlEffect>,
    /// The view to publish for traffic; `None` if the step cannot have changed it.
    pub view: Option<RoutingView>,
    /// Latest time for the next step; without another input, it is a [`ControlInput::Tick`].
    pub wake_at: Option<MonotonicTime>,
}
