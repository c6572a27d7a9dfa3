//! Requests that were submitted for a target and have not ended.

use nutmegspread_model::{
    MonotonicTime, OrderReply, RunState, SearchReply, SearchRequest, SubFailure, SubOutcome,
};
use nutmegspread_policy::target::TicketResult;
use nutmegspread_wire::target::{OrderCall, TargetConnection, TargetError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Result of an order that was submitted for a target: its reply, or the failure and whether the
/// target may have run the order.
pub type OrderOutcome = Result<OrderReply, (SubFailure, RunState)>;

/// A submitted request, with the channel for its result.
pub struct PendingWork {
    /// Time after which the result is no longer wanted.
    pub deadline: MonotonicTime,
    /// Whether the request was sent on a connection at least once.
    pub sent: bool,
    /// The request.
    pub call: TargetCall,
    /// Channel for the result.
    pub sender: ResultSender,
}

/// A request to a target. It is kept until it has ended, so that a search can be resent.
#[derive(Clone)]
pub enum TargetCall {
    /// Search of one shard.
    Search(SearchRequest),
    /// Order, which is sent at most once.
    Order(OrderCall),
}

/// Channel for the result of a submitted request.
pub enum ResultSender {
    /// For a search.
    Search(oneshot::Sender<SubOutcome>),
    /// For an order.
    Order(oneshot::Sender<OrderOutcome>),
}

/// Reply from a target.
pub enum TargetReply {
    /// Reply to a search.
    Search(SearchReply),
    /// Reply to an order.
    Order(OrderReply),
}

impl TargetCall {
    /// Sends the request on a connection and waits for the whole reply.
    ///
    /// # Errors
    /// The errors of [`TargetConnection::search`] and [`TargetConnection::order`].
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
    /// Ends a request that the policy refused. Whether the target may have run it is unknown if it was
    /// sent before.
    pub fn refuse(self, failure: SubFailure) {
        let run = if self.sent {
            RunState::Unknown
        } else {
            RunState::NotRun
        };
        self.sender.fail(failure, run);
    }

    /// Sends the result to its receiver, which is gone if the request was cancelled.
    pub fn finish(self, result: Result<TargetReply, TargetError>) {
        match (result, self.sender) {
            (Ok(TargetReply::Search(reply)), ResultSender::Search(sender)) => {
                let _ = sender.send(SubOutcome::Reply(reply));
            }
            (Ok(TargetReply::Order(reply)), ResultSender::Order(sender)) => {
                let _ = sender.send(Ok(reply));
            }
            (Ok(_), sender) => sender.fail(SubFailure::BadReply, RunState::Unknown),
            (Err(error), sender) => sender.fail(error.failure(), error.run()),
        }
    }
}

impl ResultSender {
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

/// Converts the result of a request for [`nutmegspread_policy::target::OwnedTarget`].
pub fn ticket_result(result: &Result<TargetReply, TargetError>, latency: Duration) -> TicketResult {
    match result {
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
