//! Counts of all nodes.

use crate::TenantName;
use crate::usage::usage_message::{UsageAnswer, UsageMessage, UsageReceipt};
use crate::usage::usage_record::{FinalCounts, NodeRun, UsageCounts};
use crate::usage::usage_window::WindowNumber;
use indexmap::{IndexMap, IndexSet};
use std::ops::RangeInclusive;

/// Largest number of counts that are kept, with those of all nodes and windows. One takes some 60
/// bytes, and 64 MB are there for all of control.
const MAX_COUNTS: usize = 400_000;
/// Number of runs of nodes whose messages are remembered while they have no counts.
const MAX_IDLE_RUNS: usize = 2000;

#[derive(Clone, Debug, Default)]
struct RunCounts {
    /// Number of the last message that was taken.
    sequence: u64,
    windows: IndexMap<WindowNumber, UsageCounts>,
}

/// Latest counts of each run of a node, by window and tenant.
#[derive(Clone, Debug, Default)]
pub struct UsageMerge {
    runs: IndexMap<NodeRun, RunCounts>,
    /// Names of the tenants that have counts, each stored once.
    tenants: IndexSet<TenantName>,
    /// Number of counts.
    len: usize,
    /// Last finalized window that is known.
    finalized: Option<WindowNumber>,
}

impl UsageMerge {
    /// Applies a message. Counts of finalized windows and of those not in `accepted` are ignored, and
    /// so is a message that arrives after a later one of its sender.
    pub fn apply(
        &mut self,
        message: &UsageMessage,
        accepted: &RangeInclusive<WindowNumber>,
    ) -> UsageAnswer {
        let known = self.runs.get(&message.sender).map_or(0, |run| run.sequence);
        let receipt = if message.basis > known {
            UsageReceipt::BasisUnknown
        } else if self.len + message.len() > MAX_COUNTS {
            UsageReceipt::Full
        } else {
            if message.sequence > known {
                self.take_counts(message, accepted);
            }
            UsageReceipt::Taken
        };
        UsageAnswer {
            receipt,
            finalized: self.finalized,
        }
    }

    fn take_counts(&mut self, message: &UsageMessage, accepted: &RangeInclusive<WindowNumber>) {
        let first = self.finalized.map_or(0, |window| window.saturating_add(1));
        let run = self.runs.entry(message.sender.clone()).or_default();
        run.sequence = message.sequence;
        for (window, counts) in &message.windows {
            if *window < first || !accepted.contains(window) {
                continue;
            }
            let known = run.windows.entry(*window).or_default();
            self.len -= known.len();
            for (tenant, count) in counts {
                let (index, _) = self.tenants.insert_full(tenant.clone());
                known.insert(self.tenants[index].clone(), *count);
            }
            self.len += known.len();
        }
    }

    /// Sum of the counts of all nodes in a window, sorted by tenant; tenants without requests are
    /// left out.
    pub fn sum(&self, window: WindowNumber) -> FinalCounts {
        let mut counts = UsageCounts::new();
        let windows = self
            .runs
            .values()
            .filter_map(|run| run.windows.get(&window));
        for (tenant, count) in windows.flatten().filter(|(_, count)| **count > 0) {
            let sum = counts.entry(tenant.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        counts.sort_unstable_keys();
        FinalCounts { window, counts }
    }

    /// Counts of the runs that are not among `live` ones, as their messages. Such a run does not send
    /// them to the next node that reports, so a node that has them does.
    pub fn ended_runs(&self, live: &IndexSet<NodeRun>) -> Vec<UsageMessage> {
        let ended = self.runs.iter();
        let ended =
            ended.filter(|(run, counts)| !live.contains(*run) && !counts.windows.is_empty());
        ended
            .map(|(run, counts)| UsageMessage {
                sender: run.clone(),
                sequence: counts.sequence,
                basis: 0,
                windows: counts.windows.iter().map(listed).collect(),
            })
            .collect()
    }

    /// Oldest window with counts.
    pub fn first_window(&self) -> Option<WindowNumber> {
        let windows = self.runs.values().flat_map(|run| run.windows.keys());
        windows.min().copied()
    }

    /// Last finalized window that is known.
    pub fn finalized(&self) -> Option<WindowNumber> {
        self.finalized
    }

    /// Records that a window is finalized, and drops it and all before it.
    pub fn set_finalized(&mut self, window: WindowNumber) {
        self.finalized = self.finalized.max(Some(window));
        self.drop_before(window.saturating_add(1));
    }

    /// Drops the windows before `oldest`.
    pub fn drop_before(&mut self, oldest: WindowNumber) {
        for run in self.runs.values_mut() {
            run.windows.retain(|window, _| *window >= oldest);
        }
        let counts = self.runs.values().flat_map(|run| run.windows.values());
        self.len = counts.map(IndexMap::len).sum();
        if self.len == 0 {
            self.tenants.clear();
        }
        let mut surplus = self.runs.len().saturating_sub(MAX_IDLE_RUNS);
        self.runs.retain(|_, run| {
            let is_kept = surplus == 0 || !run.windows.is_empty();
            surplus -= usize::from(!is_kept);
            is_kept
        });
    }

    /// Number of counts, with those of all nodes and windows.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no counts.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

fn listed(
    (window, counts): (&WindowNumber, &UsageCounts),
) -> (WindowNumber, Vec<(TenantName, u64)>) {
    let counts = counts.iter();
    let counts = counts.map(|(tenant, count)| (tenant.clone(), *count));
    (*window, counts.collect())
}
