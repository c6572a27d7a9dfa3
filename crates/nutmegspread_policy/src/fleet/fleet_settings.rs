//! Settings of the fleet policy.

use nutmegspread_model::{DomainName, Incarnation, NodeId};
use std::time::Duration;

/// Identity of the node, and the intervals, timeouts and limits of the fleet policy.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Id of this node.
    pub node: NodeId,
    /// Failure domain of this node.
    pub domain: DomainName,
    /// Name of this node's cell: the group of nodes among which the ownership of targets is
    /// divided.
    pub cell: String,
    /// IP address and port of this node's listener for callers.
    pub caller_address: String,
    /// IP address and port of this node's listener for peers.
    pub peer_address: String,
    /// Number of this process start; higher after each restart.
    pub incarnation: Incarnation,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// The fence: this node uses its shares only while a majority has acknowledged a heartbeat that
    /// it sent at most this long ago.
    pub fence_after: Duration,
    /// Time without a report of a node, received directly or through a peer, after which the node
    /// no longer counts as live.
    pub suspect_after: Duration,
    /// Time for which heartbeats to or from a peer fail to arrive before the stream to the peer is
    /// replaced.
    pub silent_after: Duration,
    /// Longest time that one attempt on a target takes.
    pub longest_work: Duration,
    /// Time after which this node refuses work if neither a majority has acknowledged its
    /// heartbeats nor the platform has answered.
    pub cut_off_after: Duration,
    /// Time for which a node must be missing from the platform's list, and not live, to count as
    /// gone; a node that is gone no longer votes.
    ///
    /// It must exceed the delay of that list, so that the VM of a node that is gone is certain to
    /// have stopped.
    pub gone_after: Duration,
    /// Minimum time between two roster proposals of this node, and the additional time that each
    /// member waits compared with the member ranked before it.
    pub proposal_interval: Duration,
    /// Maximum number of nodes that own shares of one target.
    pub owner_count: usize,
    /// Maximum number of randomly chosen nodes outside the cell to which a heartbeat is sent.
    pub outside_neighbors: usize,
    /// Time for which callers may use the node addresses that an answer advertises.
    pub keep_addresses_for: Duration,
    /// Maximum number of node addresses in an answer to a caller.
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
    /// Time for which all members must have held the same view before a share may increase.
    ///
    /// By then, a node that the view no longer contains must have stopped using its shares. The
    /// time is the sum of that node's fence, the age of its last acknowledgement (at most another
    /// `fence_after`) and its longest attempt, plus 1 % for clocks that run at different rates.
    pub fn settle_after(&self) -> Duration {
        let minimum_time = 2 * self.fence_after + self.longest_work;
        minimum_time + minimum_time / 100 + Duration::from_millis(1)
    }

    /// Time for which a leaving node must stay reachable for callers.
    ///
    /// A peer that receives no notice of the stop advertises the node's address until the node no
    /// longer counts as live. The view from which the peer answers can be one heartbeat old, and
    /// callers use an answer for `keep_addresses_for`.
    pub fn leave_duration(&self) -> Duration {
        self.suspect_after + self.keep_addresses_for + 2 * self.heartbeat_interval
    }
}
