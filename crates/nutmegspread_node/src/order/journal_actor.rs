//! The actor that owns the order journal and runs its actions.

use super::journal_calls::call_platform;
use super::journal_handle::{JournalHandle, SubmittedOrder};
use super::order_sender::send_order;
use crate::ProcessClock;
use crate::traffic::TrafficState;
use indexmap::IndexMap;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use kameo::{Actor, Reply};
use nutmegspread_model::{IdempotencyKey, Incarnation, MonotonicTime};
use nutmegspread_policy::order::{
    ClaimIdentity, JournalAction, JournalEntry, JournalInput, JournalStep, OrderJournal,
    OrderJournalSettings, OrderSubmission, OrderVerdict, PartitionAction, PartitionId,
    SubmissionId, partition_of,
};
use nutmegspread_wire::platform::PlatformClient;
use rand::Rng;
use serde::Serialize;
use std::sync::Arc;
use std::time::SystemTime;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// Clock, traffic state and connections that the journal actor needs.
pub struct JournalContext {
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Number of this process start.
    pub incarnation: Incarnation,
    /// Traffic state, for the targets and the routing of orders.
    pub traffic: Arc<TrafficState>,
    /// Runtime that runs the tasks which send orders.
    pub traffic_runtime: Handle,
    /// Client of the platform.
    pub platform: PlatformClient,
}

/// Owns the order journal and processes one message at a time.
#[derive(Actor)]
pub struct JournalActor {
    context: JournalContext,
    journal: OrderJournal,
    pending: IndexMap<SubmissionId, PendingOrder>,
    next_submission: SubmissionId,
    timer: Option<(MonotonicTime, AbortHandle)>,
}

/// A submission that has no verdict yet.
struct PendingOrder {
    order: SubmittedOrder,
    sender: oneshot::Sender<OrderVerdict>,
}

/// Message that submits a caller's order.
pub struct SubmitOrder {
    /// Order to run.
    pub order: SubmittedOrder,
    /// Receives the verdict; dropped without one if the actor stops first.
    pub sender: oneshot::Sender<OrderVerdict>,
}

/// Message with the result of an action that a partition requested.
struct PartitionEvent {
    partition: PartitionId,
    input: JournalInput,
}

/// Message of the timer: the time that the journal requested has been reached.
struct JournalTick;

/// Message that requests the state of the journal for the dump.
pub struct GetJournalReport;

/// State of the journal, for the dump.
#[derive(Clone, Debug, Serialize, Reply)]
pub struct JournalReport {
    /// Number of orders that the journal is processing.
    pub orders: usize,
    /// Number of partitions that wait for the write budget.
    pub waiting_partitions: usize,
    /// State of each partition in use, by its number.
    pub partitions: IndexMap<PartitionId, PartitionReport>,
}

/// State of one partition, for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct PartitionReport {
    /// Number of orders that the partition is processing.
    pub orders: usize,
    /// Last known version of the partition's object; 0 if none is known.
    pub version: u64,
    /// Number of entries in that version, one for each key.
    pub entries: usize,
}

impl JournalActor {
    /// Starts the actor on the current runtime.
    pub fn start(context: JournalContext) -> JournalHandle {
        let mut random = rand::rng();
        let identity = ClaimIdentity {
            node: context.traffic.settings().node.clone(),
            incarnation: context.incarnation,
            process_token: format!("{:032x}", random.random::<u128>()).into(),
        };
        let now = context.clock.now();
        let settings = OrderJournalSettings::default();
        let journal = OrderJournal::new(settings, identity, random.random(), now);
        let actor = Self {
            context,
            journal,
            pending: IndexMap::new(),
            next_submission: 1,
            timer: None,
        };
        JournalHandle::new(Self::spawn(actor))
    }

    fn submit(&mut self, message: SubmitOrder, actor: &ActorRef<Self>) {
        let SubmitOrder { order, sender } = message;
        let submission = self.next_submission;
        self.next_submission += 1;
        let key = journal_key(&order);
        let partition = partition_of(&key);
        let input = JournalInput::Submit(OrderSubmission {
            submission,
            key,
            digest: JournalEntry::digest_of(&order.call.route, &order.call.body),
            issued_at: order.issued_at,
            deadline: order.deadline,
        });
        self.pending
            .insert(submission, PendingOrder { order, sender });
        self.step(partition, input, actor);
    }

    fn step(&mut self, partition: PartitionId, input: JournalInput, actor: &ActorRef<Self>) {
        let now = self.context.clock.now();
        let step = self.journal.step(now, SystemTime::now(), partition, input);
        self.run_actions(step, actor);
    }

    fn run_actions(&mut self, step: JournalStep, actor: &ActorRef<Self>) {
        for PartitionAction { partition, action } in step.actions {
            match action {
                JournalAction::Read { .. } | JournalAction::Write { .. } => {
                    self.call(partition, action, actor);
                }
                JournalAction::Dispatch {
                    key,
                    attempt,
                    submission,
                    send_by,
                } => {
                    self.dispatch(partition, key, attempt, submission, send_by, actor);
                }
                JournalAction::Answer {
                    submission,
                    verdict,
                } => {
                    if let Some(pending) = self.pending.swap_remove(&submission) {
                        // Fails if the caller has stopped waiting.
                        let _ = pending.sender.send(verdict);
                    }
                }
            }
        }
        self.wake_at(step.wake_at, actor);
    }

    fn call(&self, partition: PartitionId, action: JournalAction, actor: &ActorRef<Self>) {
        let platform = self.context.platform.clone();
        let actor = actor.clone();
        tokio::spawn(async move {
            if let Some(input) = call_platform(platform, partition, action).await {
                // Fails only if the actor has stopped, because the process is stopping.
                let _ = actor.tell(PartitionEvent { partition, input }).await;
            }
        });
    }

    fn dispatch(
        &self,
        partition: PartitionId,
        key: IdempotencyKey,
        attempt: u64,
        submission: SubmissionId,
        send_by: MonotonicTime,
        actor: &ActorRef<Self>,
    ) {
        let Some(pending) = self.pending.get(&submission) else {
            return;
        };
        let SubmittedOrder { service, call, .. } = pending.order.clone();
        let traffic = Arc::clone(&self.context.traffic);
        let actor = actor.clone();
        self.context.traffic_runtime.spawn(async move {
            let end = send_order(traffic, service, call, send_by).await;
            let input = JournalInput::AttemptEnded { key, attempt, end };
            // Fails only if the actor has stopped, because the process is stopping.
            let _ = actor.tell(PartitionEvent { partition, input }).await;
        });
    }

    fn wake_at(&mut self, time: Option<MonotonicTime>, actor: &ActorRef<Self>) {
        if let Some((current_time, task)) = &self.timer {
            if Some(*current_time) == time && !task.is_finished() {
                return;
            }
            task.abort();
        }
        self.timer = time.map(|time| {
            let actor = actor.clone();
            let instant = self.context.clock.instant_at(time);
            let task = tokio::spawn(async move {
                tokio::time::sleep_until(instant).await;
                // Fails only if the actor has stopped, because the process is stopping.
                let _ = actor.tell(JournalTick).await;
            });
            (time, task.abort_handle())
        });
    }

    fn report(&self) -> JournalReport {
        let partitions = self.journal.partitions().iter().map(|(id, partition)| {
            let known = partition.known();
            let report = PartitionReport {
                orders: partition.order_count(),
                version: known.map_or(0, |known| known.version),
                entries: known.map_or(0, |known| known.document.entries.len()),
            };
            (*id, report)
        });
        JournalReport {
            orders: self.journal.order_count(),
            waiting_partitions: self.journal.waiting_count(),
            partitions: partitions.collect(),
        }
    }
}

/// Key of an order in the journal. Contains the service, as orders of different services may have
/// the same idempotency key.
fn journal_key(order: &SubmittedOrder) -> IdempotencyKey {
    format!("{}/{}", order.service, order.call.key).into()
}

impl Message<SubmitOrder> for JournalActor {
    type Reply = ();

    async fn handle(&mut self, message: SubmitOrder, context: &mut Context<Self, ()>) {
        self.submit(message, context.actor_ref());
    }
}

impl Message<PartitionEvent> for JournalActor {
    type Reply = ();

    async fn handle(&mut self, event: PartitionEvent, context: &mut Context<Self, ()>) {
        self.step(event.partition, event.input, context.actor_ref());
    }
}

impl Message<JournalTick> for JournalActor {
    type Reply = ();

    async fn handle(&mut self, _: JournalTick, context: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let step = self.journal.tick(now, SystemTime::now());
        self.run_actions(step, context.actor_ref());
    }
}

impl Message<GetJournalReport> for JournalActor {
    type Reply = JournalReport;

    async fn handle(
        &mut self,
        _: GetJournalReport,
        _: &mut Context<Self, JournalReport>,
    ) -> JournalReport {
        self.report()
    }
}
