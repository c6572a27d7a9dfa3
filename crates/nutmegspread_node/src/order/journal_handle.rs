//! Handle with which other parts of the process call the order journal.

use super::journal_actor::{GetJournalReport, JournalActor, SubmitOrder};
use kameo::actor::ActorRef;
use nutmegspread_model::{MonotonicTime, ServiceName};
use nutmegspread_policy::order::OrderVerdict;
use nutmegspread_wire::target::OrderCall;
use serde_json::{Value, json};
use std::time::{Duration, SystemTime};
use tokio::sync::oneshot;

/// Maximum time that a planned stop waits until the outcomes of orders are recorded.
const RECORDING_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two checks whether the outcomes are recorded.
const RECORDING_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A caller's order whose fields have been checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedOrder {
    /// Service that runs the order.
    pub service: ServiceName,
    /// Request for the target.
    pub call: OrderCall,
    /// When the caller issued the idempotency key, by the caller's wall clock.
    pub issued_at: SystemTime,
    /// The caller's deadline, by this process's monotonic clock.
    pub deadline: MonotonicTime,
}

/// Handle to the journal actor; all clones refer to the same actor.
#[derive(Clone)]
pub struct JournalHandle {
    actor: ActorRef<JournalActor>,
}

impl JournalHandle {
    pub(super) fn new(actor: ActorRef<JournalActor>) -> Self {
        Self { actor }
    }

    /// Submits an order, which runs at most once, and waits for its verdict; `None` if the journal
    /// actor stops first.
    pub async fn submit(&self, order: SubmittedOrder) -> Option<OrderVerdict> {
        let (sender, verdict) = oneshot::channel();
        self.actor.tell(SubmitOrder { order, sender }).await.ok()?;
        verdict.await.ok()
    }

    /// State of the journal as JSON, for the dump.
    pub async fn dump(&self) -> Value {
        match self.actor.ask(GetJournalReport).await {
            Ok(report) => json!(report),
            Err(_) => json!({ "error": "the order journal is not running" }),
        }
    }

    /// Waits a limited time until the outcome of every order is recorded.
    pub async fn wait_until_recorded(&self) {
        let all_recorded = async {
            while self
                .actor
                .ask(GetJournalReport)
                .await
                .is_ok_and(|report| report.orders > 0)
            {
                tokio::time::sleep(RECORDING_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(RECORDING_TIMEOUT, all_recorded)
            .await
            .is_err()
        {
            log::warn!("stopping although the outcomes of some orders are not recorded");
        }
    }
}
