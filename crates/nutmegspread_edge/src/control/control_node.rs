//! What the tasks of one node's control thread share.

use crate::SharedState;
use crate::control::call_answer::CallAnswer;
use crate::control::call_connection::CallConnection;
use crate::control::confirmation_task::pass_on_confirmations;
use crate::control::control_clock;
use crate::control::control_network::ControlNetwork;
use crate::control::control_state::{ControlState, FOLLOWED_KINDS};
use crate::control::member_exchange::{exchange_heartbeats, maintain_roster};
use crate::control::member_message::encode_table;
use crate::control::relay_follower::{follow_peers, parse_relay_path};
use crate::control::rollout_writer::write_rollouts;
use crate::control::store_client::StoreClient;
use crate::control::store_follower::follow_store;
use crate::control::table_follower::{follow_tables, parse_table_path};
use crate::control::usage_control::UsageControl;
use crate::control::usage_exchange::send_counts;
use crate::control::usage_reporter::report_usage;
use bytes::Bytes;
use hyper::StatusCode;
use indexmap::IndexMap;
use nutmegspread_platform::ObjectKind;
use nutmegspread_tier::MemberRecord;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// Task of the control thread that runs until it is dropped.
pub type ControlTask = Pin<Box<dyn Future<Output = ()>>>;

/// What the tasks of one node's control thread share.
#[derive(Debug)]
pub struct ControlNode {
    /// Objects of the store, the other nodes, and the rollouts under way.
    pub state: RefCell<ControlState>,
    /// State that the control thread shares with the traffic thread.
    pub shared: Arc<SharedState>,
    /// Connections to the store and messages to the other nodes.
    pub network: ControlNetwork,
    /// Random numbers that spread calls over time and over peers.
    pub random: RefCell<SmallRng>,
    /// Notified when this node knows something new that its next heartbeat should announce at once.
    pub changed: Notify,
    /// Notified when this node has learned a later era from the store, which its peers should know before
    /// they ask the store too.
    pub era_risen: Notify,
    /// Notified when a peer knows more of a kind than this node.
    pub behind: IndexMap<ObjectKind, Notify>,
    /// Notified when a hub has a later table of live nodes than this node.
    pub tables_behind: Notify,
    /// Notified when the store answers a call after failed ones.
    pub regained: Notify,
    /// Reports of usage; `None` if the settings have none.
    pub usage: Option<UsageControl>,
}

impl ControlNode {
    /// Creates the state of a node that starts now; `own` is its record for the other nodes, and
    /// `seed` determines its random numbers.
    pub fn new(
        shared: Arc<SharedState>,
        own: MemberRecord,
        network: ControlNetwork,
        seed: u64,
    ) -> Self {
        let settings = shared.settings.load();
        let usage = settings.usage.as_ref().zip(shared.usage.as_ref());
        let usage = usage.map(|(settings, counter)| UsageControl::new(settings, counter));
        drop(settings);
        Self {
            usage,
            state: RefCell::new(ControlState::new(
                Arc::clone(&shared),
                own,
                control_clock::now(),
            )),
            shared,
            network,
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            changed: Notify::new(),
            era_risen: Notify::new(),
            behind: FOLLOWED_KINDS
                .into_iter()
                .map(|kind| (kind, Notify::new()))
                .collect(),
            tables_behind: Notify::new(),
            regained: Notify::new(),
        }
    }

    /// Returns the tasks that follow the store and the other nodes.
    pub fn followers(self: &Rc<Self>) -> Vec<ControlTask> {
        let mut tasks: Vec<ControlTask> = vec![
            Box::pin(exchange_heartbeats(Rc::clone(self))),
            Box::pin(maintain_roster(Rc::clone(self))),
            Box::pin(follow_tables(Rc::clone(self))),
            Box::pin(write_rollouts(Rc::clone(self))),
            Box::pin(pass_on_confirmations(Rc::clone(self))),
        ];
        if self.usage.is_some() {
            tasks.push(Box::pin(send_counts(Rc::clone(self))));
            tasks.push(Box::pin(report_usage(Rc::clone(self))));
        }
        for kind in FOLLOWED_KINDS {
            tasks.push(Box::pin(follow_store(kind, Rc::clone(self))));
            tasks.push(Box::pin(follow_peers(kind, Rc::clone(self))));
        }
        tasks
    }

    /// Answers a call of a peer for objects of the store, or for the live nodes.
    pub fn answer_relay(&self, path: &str) -> CallAnswer {
        let answer = CallAnswer::new;
        if let Some(version) = parse_table_path(path) {
            let changes = self.state.borrow().table_changes(version);
            return match encode_table(&changes) {
                Ok(body) => answer(StatusCode::OK, Bytes::from(body)),
                Err(error) => {
                    log::error!(event = "table_failed", reason:% = error;
                        "encoding the table of live nodes failed");
                    answer(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
                }
            };
        }
        let Some((kind, position)) = parse_relay_path(path) else {
            return answer(StatusCode::NOT_FOUND, Bytes::new());
        };
        let relayed = self
            .state
            .borrow()
            .answer_relay(control_clock::now(), kind, position);
        match relayed.map(|relayed| serde_json::to_vec(&relayed)) {
            Some(Ok(body)) => answer(StatusCode::OK, Bytes::from(body)),
            Some(Err(error)) => {
                log::error!(event = "relay_failed", kind = kind.name(), reason:% = error;
                    "encoding the answer to a relay call failed");
                answer(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
            None => answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    }

    /// Creates a connection to a peer, which is opened on its first call.
    pub fn connect(&self, address: SocketAddr) -> CallConnection {
        (self.network.connect)(address)
    }

    /// Creates a client of the store that is not connected yet.
    pub fn store_client(&self) -> StoreClient {
        let connection = self.connect(self.shared.settings.load().store);
        StoreClient::new(connection, Arc::clone(&self.shared))
    }
}
