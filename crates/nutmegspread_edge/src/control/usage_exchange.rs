//! Sends the counts of this node to the node that reports usage, and receives those of others.

use crate::control::call_answer::CallAnswer;
use crate::control::call_connection::CallConnection;
use crate::control::control_clock;
use crate::control::control_node::ControlNode;
use crate::control::server_call::ServerCall;
use crate::control::usage_control::UsageControl;
use crate::control::usage_message::{
    decode_usage, decode_usage_answer, encode_usage, encode_usage_answer,
};
use crate::{EdgeError, UsageCounter};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use nutmegspread_tier::{
    NodeRun, UsageAnswer, UsageLedger, UsageMessage, UsageReceipt, WindowNumber,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Path of calls with counts.
pub const COUNTS_PATH: &str = "/usage-counts";
/// Largest body of such a call in bytes. A node has at most 2,000 counts of 40 bytes in a message; the
/// counts of a run that has ended are in one.
pub const MAX_COUNTS_BYTES: usize = 1024 * 1024;
/// Time between checks for counts to send.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Least time between messages while counts change.
const SEND_INTERVAL: Duration = Duration::from_secs(1);
/// The same after a message without an answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Longest wait for the answer to a message.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of messages that follow each other without a pause.
const MAX_MESSAGES: usize = 64;

/// Sending of the counts of this node.
#[derive(Debug, Default)]
struct UsageSender {
    connection: Option<CallConnection>,
    /// Window of the last messages.
    window: WindowNumber,
    /// Receiver of the last messages.
    receiver: Option<NodeRun>,
    /// Time before which no message is sent, unless a window has ended.
    next: Option<Instant>,
}

/// Sends the counts of this node for as long as the process runs: at most once a second while they
/// change, at the end of a window, and to a new receiver.
pub async fn send_counts(node: Rc<ControlNode>) {
    let mut sender = UsageSender::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if let (Some(usage), Some(counter)) = (&node.usage, &node.shared.usage) {
            sender.step(&node, usage, counter).await;
        }
    }
}

/// Sends the counts that are not sent yet, before the node stops.
pub async fn flush_counts(node: &ControlNode) {
    if let (Some(usage), Some(counter)) = (&node.usage, &node.shared.usage)
        && let Some((run, address)) = receiver(node)
    {
        let mut sender = UsageSender::default();
        sender.send_all(node, counter, &run, address).await;
        sender.send_ended(node, usage, address).await;
    }
}

impl UsageSender {
    async fn step(&mut self, node: &ControlNode, usage: &UsageControl, counter: &UsageCounter) {
        let time = counter.time();
        let schedule = counter.settings().schedule;
        let window = schedule.number(time.true_time);
        let receiver = receiver(node);
        let run = receiver.as_ref().map(|(run, _)| run);
        let is_new_receiver = run != self.receiver.as_ref();
        let is_due = self.next.is_none_or(|next| time.monotonic >= next);
        if !is_due && window == self.window && !is_new_receiver {
            return;
        }
        if window != self.window {
            let oldest = schedule.oldest(time.true_time);
            usage.drop_before(oldest);
            counter.with_ledger(|ledger| ledger.drop_before(oldest));
        }
        self.window = window;
        self.receiver = run.cloned();
        self.next = Some(time.monotonic + SEND_INTERVAL);
        let own = counter.with_ledger(UsageLedger::whole_message);
        usage.apply_counts(counter, &time, &own);
        if let Some((run, address)) = receiver {
            let is_taken = self.send_all(node, counter, &run, address).await;
            if is_new_receiver {
                self.send_ended(node, usage, address).await;
            }
            if !is_taken {
                self.next = Some(control_clock::now() + RETRY_INTERVAL);
            }
        }
    }

    /// Sends the counts of runs of nodes that have ended, which this node received as the first or the
    /// second watcher of the store.
    async fn send_ended(&mut self, node: &ControlNode, usage: &UsageControl, address: SocketAddr) {
        let live = node.state.borrow_mut().live_runs(control_clock::now());
        for message in usage.ended_runs(&live) {
            if let Err(error) = self.send(node, address, &message).await {
                log::info!(event = "usage_unsent", receiver:% = address,
                    sender:% = message.sender.node, reason:% = error;
                    "sending counts of usage of a node that has ended failed");
            }
        }
    }

    /// Sends the counts that the receiver does not have. Returns whether it took them.
    async fn send_all(
        &mut self,
        node: &ControlNode,
        counter: &UsageCounter,
        run: &NodeRun,
        address: SocketAddr,
    ) -> bool {
        for _ in 0..MAX_MESSAGES {
            let message = counter.with_ledger(|ledger| ledger.next_message(run));
            let Some(message) = message else {
                return true;
            };
            match self.send(node, address, &message).await {
                Ok(answer) => {
                    node.shared.metrics.count("usage_messages", "sent");
                    counter.with_ledger(|ledger| ledger.apply_answer(run, &message, answer));
                    let is_last =
                        answer.receipt == UsageReceipt::Taken && !UsageLedger::is_full(&message);
                    if is_last || answer.receipt == UsageReceipt::Full {
                        return is_last;
                    }
                }
                Err(error) => {
                    node.shared.metrics.count("usage_messages", "failed");
                    log::info!(event = "usage_unsent", receiver:% = run.node, reason:% = error;
                        "sending counts of usage failed; they are sent again");
                    return false;
                }
            }
        }
        true
    }

    async fn send(
        &mut self,
        node: &ControlNode,
        address: SocketAddr,
        message: &UsageMessage,
    ) -> Result<UsageAnswer, EdgeError> {
        let undecodable = |reason: String| EdgeError::Connection { address, reason };
        let body = encode_usage(message).map_err(|error| undecodable(error.to_string()))?;
        let known = self.connection.take();
        let known = known.filter(|known| known.address() == address);
        let connection = self
            .connection
            .insert(known.unwrap_or_else(|| node.connect(address)));
        let call = ServerCall {
            timeout: ANSWER_TIMEOUT,
            ..ServerCall::send(Method::POST, COUNTS_PATH.to_owned(), Bytes::from(body))
        };
        let answer = connection.call(call).await?;
        decode_usage_answer(&answer.body).map_err(|error| undecodable(error.to_string()))
    }
}

fn receiver(node: &ControlNode) -> Option<(NodeRun, SocketAddr)> {
    node.state.borrow_mut().usage_receiver(control_clock::now())
}

/// Answers counts of a peer.
pub fn answer_counts(node: &ControlNode, body: &[u8]) -> CallAnswer {
    let failure = |status| CallAnswer::new(status, Bytes::new());
    let (Some(usage), Some(counter)) = (&node.usage, &node.shared.usage) else {
        return failure(StatusCode::NOT_FOUND);
    };
    let message = match decode_usage(body) {
        Ok(message) => message,
        Err(error) => {
            node.shared.metrics.count("messages", "discarded");
            log::warn!(event = "bad_message", reason:% = error;
                "discarded counts of a node that cannot be decoded");
            return failure(StatusCode::BAD_REQUEST);
        }
    };
    let counted = usage.apply_counts(counter, &counter.time(), &message);
    if counted.receipt == UsageReceipt::Full {
        log::warn!(event = "usage_full", sender:% = message.sender.node, counts = message.len();
            "no room for counts of usage of a node; it sends them again");
    }
    match encode_usage_answer(&counted) {
        Ok(body) => CallAnswer::new(StatusCode::OK, Bytes::from(body)),
        Err(_) => failure(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
