//! Settings of a node's part in the fleet.

use nutmegspread_model::{DomainName, Incarnation, NodeId};
use std::time::Duration;

/// Who the node is, and the times by which nodes judge each other.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Identifier of this node.
    pub node: NodeId,
    /// Failure domain of this node.
    pub domain: DomainName,
    /// Group of nodes among which the ownership of targets is divided.
    pub cell: String,
    /// IP address and port of the callers' listener.
    pub caller_address: String,
    /// IP address and port of the listener for other nodes.
    pub peer_address: String,
    /// Number of this process start.
    pub incarnation: Incarnation,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Age of an acknowledged heartbeat up to which shares may be used.
    pub fence_after: Duration,
    /// Silence after which a node counts as not heard.
    pub suspect_after: Duration,
    /// Silence after which the stream to a node is replaced.
    pub silent_after: Duration,
    /// Longest time that one piece of work on a target takes.
    pub longest_work: Duration,
    /// Time without a majority and without the platform after which work is refused.
    pub cut_off_after: Duration,
    /// Time for which a VM must be missing from the platform's list to count as gone.
    ///
    /// It must exceed the lag of that list: a VM missing for longer runs no more.
    pub gone_after: Duration,
    /// Least time between two proposals of a roster.
    pub proposal_interval: Duration,
    /// Nodes among which one target is divided, at most.
    pub owner_count: usize,
    /// Nodes outside the cell that get a digest at each heartbeat.
    pub outside_neighbors: usize,
    /// Time for which callers may keep an address answer.
    pub keep_addresses_for: Duration,
    /// Addresses in an answer, at most.
    pub answer_size: usize,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            node: "".into(),
            domain: "".into(),
            cell: "main".to_owned(),
            caller_address: String::new(),
            peer_address: String::new(),
            incarnation: 0,
            heartbeat_interval: Duration::from_millis(600),
            fence_after: Duration::from_millis(2000),
            suspect_after: Duration::from_millis(2500),
            silent_after: Duration::from_millis(3000),
            longest_work: Duration::from_millis(1000),
            cut_off_after: Duration::from_millis(3000),
            gone_after: Duration::from_secs(30),
            proposal_interval: Duration::from_secs(5),
            owner_count: 2,
            outside_neighbors: 2,
            keep_addresses_for: Duration::from_secs(5),
            answer_size: 3,
        }
    }
}

impl FleetSettings {
    /// Time for which a view must have been agreed before a share grows.
    ///
    /// It covers the fence of a node that is being dropped, the age of its last acknowledgement,
    /// its work in flight, and a hundredth for clocks of different rates.
    pub fn settle_after(&self) -> Duration {
        let bound = 2 * self.fence_after + self.longest_work;
        bound + bound / 100 + Duration::from_millis(1)
    }

    /// Time for which a leaving node must stay reachable for callers.
    ///
    /// A node that hears nothing of the leave names it until it counts as silent, and answers from
    /// a view up to a heartbeat old.
    pub fn linger(&self) -> Duration {
        self.suspect_after + self.keep_addresses_for + 2 * self.heartbeat_interval
    }
}
