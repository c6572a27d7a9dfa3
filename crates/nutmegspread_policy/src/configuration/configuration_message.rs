//! Inputs and outputs of the configuration policy.

use super::DocumentReply;
use nutmegspread_model::{ConfigurationDocument, DomainName, MonotonicTime, NodeId, Revision};
use std::sync::Arc;

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationInput {
    /// A read or a watch of the platform brought a document, or a write of one was accepted.
    PlatformDocument {
        /// The document.
        document: Arc<ConfigurationDocument>,
        /// When the platform held it, at the earliest: the start of the call, or the event's time.
        as_of: MonotonicTime,
    },
    /// The platform stated the revision that it holds, by a bookmark for example.
    PlatformRevision {
        /// The revision.
        revision: Revision,
        /// When the platform held it, at the earliest.
        as_of: MonotonicTime,
    },
    /// The platform answered that it holds no document.
    PlatformEmpty,
    /// A read of the platform failed or timed out.
    PlatformFailed,
    /// The outcome of a write of a document is not known; it is found out by reading.
    WriteUnknown,
    /// A watch of the platform ended.
    WatchClosed,
    /// The nodes of the roster, this one included.
    Nodes(Vec<WatchCandidate>),
    /// Another node stated the revision that it applies.
    PeerDigest {
        /// The node.
        node: NodeId,
        /// The revision.
        revision: Revision,
        /// When the platform confirmed it at the latest, on this node's clock.
        confirmed_at: Option<MonotonicTime>,
    },
    /// Another node sent what was fetched.
    PeerReply {
        /// The node.
        node: NodeId,
        /// What it sent.
        reply: DocumentReply,
    },
    /// A fetch from another node failed.
    PeerFailed {
        /// The node.
        node: NodeId,
    },
    /// The time asked for by `wake_at` has come.
    Tick,
}

/// A node that can watch the platform for its failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchCandidate {
    /// Identifier.
    pub node: NodeId,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether it is heard lately; only such nodes watch.
    pub heard: bool,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationAction {
    /// Put a document in force; its revision is higher than any before.
    Apply(Arc<ConfigurationDocument>),
    /// Read the document from the platform.
    ReadPlatform,
    /// Close the watch if there is one, read the document, and watch from there.
    OpenWatch,
    /// Close the watch.
    CloseWatch,
    /// Ask another node for what changed since the revision held here.
    FetchFromPeer {
        /// The node.
        node: NodeId,
        /// Revision held here; 0 asks for the whole document.
        have: Revision,
    },
}

/// Result of one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationOutput {
    /// What to do, in order.
    pub actions: Vec<ConfigurationAction>,
    /// When to step with [`ConfigurationInput::Tick`] at the latest.
    pub wake_at: MonotonicTime,
}
