//! Work for a target, from its submission to its end.

use nutmegspread_model::{
    MonotonicTime, OrderReply, RunState, SearchReply, SearchRequest, SubFailure, SubOutcome,
};
use nutmegspread_policy::target::TicketResult;
use nutmegspread_wire::target::{OrderCall, TargetConnection, TargetError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How an order at a target ended.
pub type OrderOutcome = Result<OrderReply, (SubFailure, RunState)>;

/// One piece of work and who waits for its end.
pub struct PendingWork {
    /// When it is no longer wanted.
    pub deadline: MonotonicTime,
    /// Whether it was handed to a connection at least once.
    pub handed: bool,
    /// What to ask the target.
    pub call: TargetCall,
    /// Who waits.
    pub waiter: WorkWaiter,
}

/// What to ask a target; kept until the end, so that a search can be sent anew.
#[derive(Clone)]
pub enum TargetCall {
    /// A search of one shard.
    Search(SearchRequest),
    /// An order.
    Order(OrderCall),
}

/// Channel to whoever waits for the end.
pub enum WorkWaiter {
    /// Waits for a search.
    Search(oneshot::Sender<SubOutcome>),
    /// Waits for an order.
    Order(oneshot::Sender<OrderOutcome>),
}

/// Reply of a target.
pub enum TargetReply {
    /// To a search.
    Search(SearchReply),
    /// To an order.
    Order(OrderReply),
}

impl TargetCall {
    /// Asks the target and waits for its whole reply.
    ///
    /// # Errors
    /// Those of [`TargetConnection::search`] and [`TargetConnection::order`].
    pub async fn run(
        self,
        connection: &mut TargetConnection,
        deadline: Instant,
    ) -> Result<TargetReply, TargetError> {
        match self {
            Self::Search(mut request) => {
                let remaining = deadline.saturating_duration_since(Instant::now());
                request.remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
                let reply = connection.search(&request, deadline).await?;
                Ok(TargetReply::Search(reply))
            }
            Self::Order(call) => {
                let reply = connection.order(&call, deadline).await?;
                Ok(TargetReply::Order(reply))
            }
        }
    }
}

impl PendingWork {
    /// Ends work that is not handed to a connection any more.
    pub fn refuse(self, failure: SubFailure) {
        let run = if self.handed {
            RunState::Unknown
        } else {
            RunState::NotRun
        };
        self.waiter.fail(failure, run);
    }

    /// Hands the end to whoever waits; nobody does after a cancellation.
    pub fn finish(self, ending: Result<TargetReply, TargetError>) {
        match (ending, self.waiter) {
            (Ok(TargetReply::Search(reply)), WorkWaiter::Search(sender)) => {
                let _ = sender.send(SubOutcome::Reply(reply));
            }
            (Ok(TargetReply::Order(reply)), WorkWaiter::Order(sender)) => {
                let _ = sender.send(Ok(reply));
            }
            (Ok(_), waiter) => waiter.fail(SubFailure::BadReply, RunState::Unknown),
            (Err(error), waiter) => waiter.fail(error.failure(), error.run()),
        }
    }
}

impl WorkWaiter {
    fn fail(self, failure: SubFailure, run: RunState) {
        match self {
            Self::Search(sender) => {
                let _ = sender.send(SubOutcome::Failure { failure, run });
            }
            Self::Order(sender) => {
                let _ = sender.send(Err((failure, run)));
            }
        }
    }
}

/// The end of work as the policy sees it.
pub fn ticket_result(ending: &Result<TargetReply, TargetError>, latency: Duration) -> TicketResult {
    match ending {
        Ok(TargetReply::Search(reply)) => TicketResult::Replied {
            state: reply.state,
            incarnation: reply.incarnation,
            latency,
        },
        Ok(TargetReply::Order(reply)) => TicketResult::Replied {
            state: reply.state,
            incarnation: 0,
            latency,
        },
        Err(error) => TicketResult::Failed(error.failure()),
    }
}
