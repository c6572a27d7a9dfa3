//! Settings of the membership of nodes.

use std::time::Duration;

/// Times after which a node without messages is no longer used, and numbers of nodes in each role.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// A node from which no message was received for this long is not advertised to callers and
    /// takes no role.
    pub named_within: Duration,
    /// The same for a node that sends heartbeats less often.
    pub rare_within: Duration,
    /// A node from which no message was received for this long is forgotten and has no share of
    /// common limits.
    pub shares_within: Duration,
    /// Longest time that a message takes from one node to another. A message of an earlier start of
    /// a node counts as delayed if the node's last message was received less than this time ago.
    pub late_within: Duration,
    /// Smallest number of nodes among which common limits are divided during `named_within` after
    /// the start of this node, when messages of some nodes may not have been received yet.
    pub assumed_nodes: usize,
    /// Number of nodes that watch the store and relay its objects to all other nodes.
    pub watchers: usize,
    /// Number of nodes that are candidates for watching the store: those with the most cores of
    /// each failure domain. All other nodes only follow.
    pub candidates: usize,
    /// Largest number of live nodes that all hear each other. In a larger fleet, only the candidates
    /// for watching are heard by all; they are the hubs, and pass on which other nodes are live.
    pub mesh_nodes: usize,
    /// Number of hubs whose tables of live nodes each node follows.
    pub followed_hubs: usize,
    /// Time within which a message after another one of the same node may be an answer.
    pub answer_within: Duration,
    /// A node that heard no hub for this long searches for one.
    pub search_after: Duration,
    /// Time for which the tables of silent hubs are used while no hub is heard, so that the next
    /// nodes in rank become hubs.
    pub orphan_time: Duration,
    /// Time after which the first watcher has the store confirm again that nothing has changed. The
    /// other limits on the age of objects are based on it.
    pub confirm_interval: Duration,
    /// Age of its objects from which a candidate reads the store whatever its role: a confirmation
    /// of the first watcher and a heartbeat that carries it should have arrived well before.
    pub candidate_age: Duration,
    /// Age of its objects from which any other node reads the store; candidates come first.
    pub follower_age: Duration,
    /// Time over which these reads are spread by the rank of the nodes, so that the later ones
    /// mostly get what the earlier ones have read.
    pub age_spread: Duration,
    /// Time for which it is one of the other nodes' turn to read the store while no candidate
    /// reaches it; longer than the time between two checks of a node.
    pub turn_time: Duration,
    /// Time after the store has come back from an older copy in which the first candidate's list of a
    /// kind should have reached the other ones.
    pub list_time: Duration,
    /// Time by which each further candidate waits longer for that list.
    pub list_spread: Duration,
    /// Followers spread their calls to relays over this time multiplied by the number of live
    /// peers.
    pub spread_each: Duration,
    /// If at least this many nodes are large, only the large ones are advertised to callers. A
    /// large node has at least half as many cores as the ready node with the most cores.
    pub least_named: usize,
    /// Time after its start for which a node without any known peer waits for messages before it
    /// watches the store itself.
    pub greeting_time: Duration,
    /// Time after its start by which a node should have received messages from the nodes that
    /// started at the same time.
    pub settling_time: Duration,
    /// Fraction of each common limit, from 0 to 1, that is reserved for the nodes that are not
    /// advertised to callers; these nodes divide it evenly.
    pub unnamed_share: f64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            named_within: Duration::from_millis(1600),
            rare_within: Duration::from_millis(2800),
            shares_within: Duration::from_secs(10),
            late_within: Duration::from_secs(1),
            assumed_nodes: 8,
            watchers: 2,
            candidates: 6,
            mesh_nodes: 12,
            followed_hubs: 2,
            answer_within: Duration::from_millis(300),
            search_after: Duration::from_millis(600),
            orphan_time: Duration::from_secs(5),
            confirm_interval: Duration::from_secs(1),
            candidate_age: Duration::from_millis(1700),
            follower_age: Duration::from_millis(2000),
            age_spread: Duration::from_millis(200),
            turn_time: Duration::from_millis(200),
            list_time: Duration::from_millis(250),
            list_spread: Duration::from_millis(100),
            spread_each: Duration::from_millis(1),
            least_named: 5,
            greeting_time: Duration::from_millis(60),
            settling_time: Duration::from_millis(500),
            unnamed_share: 0.25,
        }
    }
}
