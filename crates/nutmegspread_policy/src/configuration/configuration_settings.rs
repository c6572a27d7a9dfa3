//! Settings of the configuration policy.

use nutmegspread_model::{DomainName, NodeId};
use std::time::Duration;

/// Who the node is, and the times by which it judges platform and peers.
#[derive(Clone, Debug)]
pub struct ConfigurationSettings {
    /// Identifier of this node.
    pub node: NodeId,
    /// Failure domain of this node.
    pub domain: DomainName,
    /// Nodes of each failure domain that watch the platform.
    pub watchers_per_domain: usize,
    /// Longest wait for platform and peers before a starting node serves what it has.
    pub boot_wait: Duration,
    /// Age of the last confirmation up to which things may grow.
    pub confirm_within: Duration,
    /// Silence after which a watch is opened anew; the platform's bookmarks must come sooner.
    pub watch_silent_after: Duration,
    /// Time after which a document asked of a peer is asked of another.
    pub fetch_timeout: Duration,
    /// First and least wait between reads of the platform.
    pub minimum_read_delay: Duration,
    /// Longest wait between reads of the platform.
    pub maximum_read_delay: Duration,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self {
            node: "".into(),
            domain: "".into(),
            watchers_per_domain: 2,
            boot_wait: Duration::from_secs(3),
            confirm_within: Duration::from_secs(15),
            watch_silent_after: Duration::from_secs(3),
            fetch_timeout: Duration::from_secs(1),
            minimum_read_delay: Duration::from_secs(1),
            maximum_read_delay: Duration::from_secs(30),
        }
    }
}
