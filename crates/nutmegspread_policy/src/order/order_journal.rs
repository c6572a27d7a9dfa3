//! All partitions of the order journal, and the budget that limits the rate of their writes.

use super::{
    ClaimIdentity, JournalAction, JournalInput, JournalOutput, JournalPartition, JournalSettings,
};
use crate::platform::{BudgetSettings, CallBudget};
use indexmap::{IndexMap, IndexSet};
use nutmegspread_model::{MonotonicTime, rendezvous_weight};
use std::time::SystemTime;

/// Number of a partition, from 0.
pub type PartitionId = u32;

/// Number of partitions. Every node must use the same number; otherwise two nodes would look for the
/// same key in different partitions.
const JOURNAL_PARTITIONS: u64 = 16;

/// Partition that stores the order with this key.
pub fn partition_of(key: &str) -> PartitionId {
    let number = rendezvous_weight("order-journal", key) % JOURNAL_PARTITIONS;
    PartitionId::try_from(number).unwrap_or_default()
}

/// Name of the platform object that stores a partition.
pub fn partition_name(partition: PartitionId) -> String {
    format!("partition-{partition:03}")
}

/// Settings of the order journal.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderJournalSettings {
    /// Settings of each partition.
    pub partition: JournalSettings,
    /// Budget of the journal's writes in this process, separate from that of all other platform
    /// calls.
    pub writes: BudgetSettings,
}

impl Default for OrderJournalSettings {
    fn default() -> Self {
        Self {
            partition: JournalSettings::default(),
            writes: BudgetSettings {
                calls_per_second: 40.0,
                burst: 20.0,
            },
        }
    }
}

/// An action that one partition asks its process to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionAction {
    /// Partition that returned the action.
    pub partition: PartitionId,
    /// Action to carry out.
    pub action: JournalAction,
}

/// Result of a step of the journal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JournalStep {
    /// Actions to carry out, in this order.
    pub actions: Vec<PartitionAction>,
    /// When to call [`OrderJournal::tick`] at the latest; `None` if only an event can change the
    /// journal.
    pub wake_at: Option<MonotonicTime>,
}

/// Passes inputs to the partitions, and grants them writes within a common budget, first come first
/// served.
///
/// While the budget is used up, the changes of a partition accumulate, and its next write contains
/// all of them.
#[derive(Clone, Debug)]
pub struct OrderJournal {
    settings: OrderJournalSettings,
    identity: ClaimIdentity,
    seed: u64,
    partitions: IndexMap<PartitionId, JournalPartition>,
    /// Latest time for the next step of each partition that requested one.
    wake_times: IndexMap<PartitionId, MonotonicTime>,
    /// Partitions that wait for a write, longest wait first.
    waiting: IndexSet<PartitionId>,
    /// Budget of the writes of all partitions.
    budget: CallBudget,
}

impl OrderJournal {
    /// Creates a journal of which nothing has been read yet; `seed` determines the jitter of its
    /// backoff.
    pub fn new(
        settings: OrderJournalSettings,
        identity: ClaimIdentity,
        seed: u64,
        now: MonotonicTime,
    ) -> Self {
        let budget = CallBudget::new(settings.writes.clone(), now);
        Self {
            settings,
            identity,
            seed,
            partitions: IndexMap::new(),
            wake_times: IndexMap::new(),
            waiting: IndexSet::new(),
            budget,
        }
    }

    /// Number of orders that this process is working on, over all partitions.
    pub fn order_count(&self) -> usize {
        self.partitions
            .values()
            .map(JournalPartition::order_count)
            .sum()
    }

    /// Partitions that have had an input since the start, by number.
    pub fn partitions(&self) -> &IndexMap<PartitionId, JournalPartition> {
        &self.partitions
    }

    /// Number of partitions that wait for the write budget.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Applies an input to a partition. The caller must read `wall` from the wall clock after the
    /// input arrived, since this time decides whether a key has expired.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        partition: PartitionId,
        input: JournalInput,
    ) -> JournalStep {
        let mut step = JournalStep::default();
        self.step_partition(now, wall, partition, input, &mut step.actions);
        self.grant_writes(now, wall, &mut step.actions);
        step.wake_at = self.wake_at(now);
        step
    }

    /// Steps every partition whose wake-up time has passed.
    pub fn tick(&mut self, now: MonotonicTime, wall: SystemTime) -> JournalStep {
        let mut step = JournalStep::default();
        let is_due = |time: &MonotonicTime| *time <= now;
        let due: Vec<PartitionId> = self
            .wake_times
            .iter()
            .filter(|(_, time)| is_due(time))
            .map(|(id, _)| *id)
            .collect();
        for partition in due {
            self.step_partition(now, wall, partition, JournalInput::Tick, &mut step.actions);
        }
        self.grant_writes(now, wall, &mut step.actions);
        step.wake_at = self.wake_at(now);
        step
    }

    fn step_partition(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        partition: PartitionId,
        input: JournalInput,
        actions: &mut Vec<PartitionAction>,
    ) {
        let settings = &self.settings.partition;
        let identity = &self.identity;
        let seed = self.seed.wrapping_add(u64::from(partition));
        let journal_partition = self
            .partitions
            .entry(partition)
            .or_insert_with(|| JournalPartition::new(settings.clone(), identity.clone(), seed));
        let JournalOutput {
            actions: partition_actions,
            needs_write,
            wake_at,
        } = journal_partition.step(now, wall, input);
        actions.extend(
            partition_actions
                .into_iter()
                .map(|action| PartitionAction { partition, action }),
        );
        if needs_write {
            self.waiting.insert(partition);
        } else {
            self.waiting.shift_remove(&partition);
        }
        match wake_at {
            Some(time) => self.wake_times.insert(partition, time),
            None => self.wake_times.swap_remove(&partition),
        };
    }

    /// Grants a write to each waiting partition while the budget lasts.
    fn grant_writes(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        actions: &mut Vec<PartitionAction>,
    ) {
        while !self.waiting.is_empty() && self.budget.take(now) {
            if let Some(partition) = self.waiting.shift_remove_index(0) {
                self.step_partition(now, wall, partition, JournalInput::Commit, actions);
            }
        }
    }

    fn wake_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let budget_ready_at = (!self.waiting.is_empty()).then(|| self.budget.ready_at(now));
        self.wake_times
            .values()
            .copied()
            .chain(budget_ready_at)
            .min()
    }
}
