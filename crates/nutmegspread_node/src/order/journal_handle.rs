//! How other parts of the process reach the journal.

use super::journal_actor::{AskJournal, JournalActor, SubmitOrder};
use kameo::actor::ActorRef;
use nutmegspread_model::{MonotonicTime, ServiceName};
use nutmegspread_policy::order::OrderVerdict;
use nutmegspread_wire::target::OrderCall;
use serde_json::{Value, json};
use std::time::{Duration, SystemTime};
use tokio::sync::oneshot;

/// Longest time that a planned stop waits for outcomes to be recorded.
const SETTLE_LIMIT: Duration = Duration::from_secs(2);
/// Time between two looks at what is still to be recorded.
const SETTLE_POLL: Duration = Duration::from_millis(20);

/// A caller's order after its fields were checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedOrder {
    /// Service.
    pub service: ServiceName,
    /// What the target gets.
    pub call: OrderCall,
    /// When the caller made the key.
    pub issued_at: SystemTime,
    /// When the caller stops waiting.
    pub deadline: MonotonicTime,
}

/// Handle to the journal's actor; clones share it.
#[derive(Clone)]
pub struct JournalHandle {
    actor: ActorRef<JournalActor>,
}

impl JournalHandle {
    pub(super) fn new(actor: ActorRef<JournalActor>) -> Self {
        Self { actor }
    }

    /// Runs an order at most once; `None` when the journal stopped while the order was under way.
    pub async fn submit(&self, order: SubmittedOrder) -> Option<OrderVerdict> {
        let (sender, verdict) = oneshot::channel();
        self.actor.tell(SubmitOrder { order, sender }).await.ok()?;
        verdict.await.ok()
    }

    /// State for the dump.
    pub async fn dump(&self) -> Value {
        match self.actor.ask(AskJournal).await {
            Ok(report) => json!(report),
            Err(_) => json!({ "error": "the journal does not run" }),
        }
    }

    /// Waits a bounded time until every outcome is recorded.
    pub async fn settle(&self) {
        let settled = async {
            while self
                .actor
                .ask(AskJournal)
                .await
                .is_ok_and(|report| report.orders > 0)
            {
                tokio::time::sleep(SETTLE_POLL).await;
            }
        };
        if tokio::time::timeout(SETTLE_LIMIT, settled).await.is_err() {
            log::warn!("stopping with outcomes of orders that are not recorded");
        }
    }
}
