//! Inputs and outputs of the configuration policy.

use super::DocumentReply;
use nutmegspread_model::{ConfigurationDocument, DomainName, MonotonicTime, NodeId, Revision};
use std::sync::Arc;

/// An event that the configuration policy processes.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationInput {
    /// A read or a watch of the platform returned a document, or the platform accepted a write.
    PlatformDocument {
        /// The document that the platform stores.
        document: Arc<ConfigurationDocument>,
        /// The earliest time at which the platform can have stored this document: the start of the
        /// call, or the time of the watch event.
        as_of: MonotonicTime,
    },
    /// The platform reported the revision that it stores without the document, for example in a
    /// bookmark: a periodic watch event without a change.
    PlatformRevision {
        /// Revision that the platform stores.
        revision: Revision,
        /// The earliest time at which the platform can have stored this revision.
        as_of: MonotonicTime,
    },
    /// The platform answered that it stores no document.
    PlatformEmpty,
    /// A read of the platform failed or timed out.
    PlatformFailed,
    /// This node wrote a document and does not know whether the platform accepted it, so the
    /// document has to be read again.
    WriteOutcomeUnknown,
    /// A watch of the platform ended.
    WatchClosed,
    /// The nodes of the roster, this one included.
    Nodes(Vec<WatchCandidate>),
    /// A peer reported the revision that it applies.
    PeerRevision {
        /// Peer that sent the report.
        node: NodeId,
        /// Revision that the peer applies.
        revision: Revision,
        /// When the platform last confirmed to the peer that it stores this revision, on this
        /// node's clock; `None` if unknown.
        confirmed_at: Option<MonotonicTime>,
    },
    /// A peer replied to a [`ConfigurationAction::FetchFromPeer`].
    PeerReply {
        /// Peer that replied.
        node: NodeId,
        /// Reply of the peer.
        reply: DocumentReply,
    },
    /// A [`ConfigurationAction::FetchFromPeer`] failed.
    FetchFailed {
        /// Peer from which the document was fetched.
        node: NodeId,
    },
    /// The time requested by [`ConfigurationOutput::wake_at`] has been reached.
    Tick,
}

/// A node that can watch the platform for its failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchCandidate {
    /// Id of the node.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Whether a recent heartbeat report of the node was received, directly or through a peer;
    /// only such nodes are chosen to watch.
    pub heard: bool,
}

/// An action that the caller of the configuration policy has to run.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationAction {
    /// Apply a document, whose revision is higher than that of any document applied before.
    Apply(Arc<ConfigurationDocument>),
    /// Read the document from the platform.
    ReadPlatform,
    /// Close the watch if one is open, read the document, and watch the platform for changes made
    /// after that read.
    OpenWatch,
    /// Close the watch of the platform.
    CloseWatch,
    /// Request from a peer what has changed since the revision that this node holds.
    FetchFromPeer {
        /// Peer to send the request to.
        node: NodeId,
        /// Revision that this node holds; 0 requests the whole document.
        have: Revision,
    },
}

/// Result of one step of the configuration policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationOutput {
    /// Actions to run, in order.
    pub actions: Vec<ConfigurationAction>,
    /// Latest time for the next step; without another input, it is a [`ConfigurationInput::Tick`].
    pub wake_at: MonotonicTime,
}
