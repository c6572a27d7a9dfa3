//! Settings of the configuration policy.

use nutmegspread_model::{DomainName, NodeId};
use std::time::Duration;

/// Identity of the node, and the timeouts and delays of its calls to the platform and peers.
#[derive(Clone, Debug)]
pub struct ConfigurationSettings {
    /// Id of this node.
    pub node: NodeId,
    /// Failure domain of this node.
    pub domain: DomainName,
    /// Number of nodes in each failure domain that watch the platform.
    pub watchers_per_domain: usize,
    /// Longest time that a starting node waits for the platform and all peers before it applies
    /// the highest revision received so far.
    pub boot_wait: Duration,
    /// Maximum age of the platform's last confirmation that it stores the applied revision. While
    /// the confirmation is older, a node's shares of targets, the traffic of a rollout and the
    /// traffic of returning failure domains do not increase.
    pub confirm_within: Duration,
    /// Time without any event after which a watch is reopened.
    ///
    /// It must exceed the interval of bookmarks, which the platform sends on a watch while nothing
    /// changes.
    pub watch_silent_after: Duration,
    /// Timeout of a fetch from a peer, after which another peer is chosen.
    pub fetch_timeout: Duration,
    /// Minimum and initial delay between reads of the platform.
    pub minimum_read_delay: Duration,
    /// Maximum delay between reads of the platform.
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
