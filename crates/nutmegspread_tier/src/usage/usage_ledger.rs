//! Counts that a node makes, and which of them the node that reports still needs.

use crate::TenantName;
use crate::usage::usage_message::{UsageAnswer, UsageMessage, UsageReceipt};
use crate::usage::usage_record::NodeRun;
use crate::usage::usage_window::WindowNumber;
use indexmap::IndexMap;

/// Largest number of counts of a message; a count takes at most 40 bytes.
const MAX_MESSAGE_COUNTS: usize = 2000;

#[derive(Clone, Copy, Debug)]
struct LedgerEntry {
    count: u64,
    /// Count that the receiver has; `None` if it is not known.
    confirmed: Option<u64>,
}

type WindowEntries = IndexMap<TenantName, LedgerEntry>;

/// Counts that a node makes, by window and tenant, and which of them the node that reports still
/// needs.
///
/// Load pattern: up to 10,000 tenants, of which a node serves some in each window. Messages have only
/// the counts that changed, so that they grow with the requests and not with the tenants.
#[derive(Clone, Debug)]
pub struct UsageLedger {
    own: NodeRun,
    windows: IndexMap<WindowNumber, WindowEntries>,
    /// Oldest window that is kept.
    oldest: WindowNumber,
    /// The node whose confirmations are recorded.
    receiver: Option<NodeRun>,
    /// Number of the last message.
    sequence: u64,
    /// Number of the last message that the receiver has confirmed; 0 if none.
    basis: u64,
}

impl UsageLedger {
    /// Creates an empty ledger of the node `own`.
    pub fn new(own: NodeRun) -> Self {
        Self {
            own,
            windows: IndexMap::new(),
            oldest: 0,
            receiver: None,
            sequence: 0,
            basis: 0,
        }
    }

    /// Counts a request of a tenant in a window. It has no effect in a window that is dropped.
    pub fn count(&mut self, window: WindowNumber, tenant: &TenantName) {
        if window < self.oldest {
            return;
        }
        let entries = self.windows.entry(window).or_default();
        match entries.get_mut(tenant) {
            Some(entry) => entry.count += 1,
            None => {
                let (count, confirmed) = (1, None);
                entries.insert(tenant.clone(), LedgerEntry { count, confirmed });
            }
        }
    }

    /// Takes back a request that was counted in a window. It has no effect in a window that is
    /// dropped.
    pub fn take_back(&mut self, window: WindowNumber, tenant: &TenantName) {
        let entries = self.windows.get_mut(&window);
        if let Some(entry) = entries.and_then(|entries| entries.get_mut(tenant)) {
            entry.count = entry.count.saturating_sub(1);
        }
    }

    /// Count of a tenant in a window.
    pub fn counted(&self, window: WindowNumber, tenant: &TenantName) -> u64 {
        let entry = self
            .windows
            .get(&window)
            .and_then(|entries| entries.get(tenant));
        entry.map_or(0, |entry| entry.count)
    }

    /// Drops the windows before `oldest`.
    pub fn drop_before(&mut self, oldest: WindowNumber) {
        self.oldest = self.oldest.max(oldest);
        let oldest = self.oldest;
        self.windows.retain(|window, _| *window >= oldest);
    }

    /// Returns the next message to `receiver`; `None` if there is nothing that it does not know. A
    /// receiver that follows another one, or has started again, gets all counts.
    pub fn next_message(&mut self, receiver: &NodeRun) -> Option<UsageMessage> {
        if self.receiver.as_ref() != Some(receiver) {
            self.receiver = Some(receiver.clone());
            self.forget_confirmations();
        }
        let windows = self.take_unconfirmed();
        if windows.is_empty() {
            return None;
        }
        self.sequence += 1;
        Some(UsageMessage {
            sender: self.own.clone(),
            sequence: self.sequence,
            basis: self.basis,
            windows,
        })
    }

    /// Returns all counts, for the node itself. It does not change what the receiver is known to have.
    pub fn whole_message(&mut self) -> UsageMessage {
        self.sequence += 1;
        let windows = self.windows.iter().map(|(window, entries)| {
            let counts = entries.iter();
            let counts = counts.map(|(tenant, entry)| (tenant.clone(), entry.count));
            (*window, counts.collect())
        });
        UsageMessage {
            sender: self.own.clone(),
            sequence: self.sequence,
            basis: 0,
            windows: windows.collect(),
        }
    }

    /// Whether `message` has as many counts as one may have, so that another one follows at once.
    pub fn is_full(message: &UsageMessage) -> bool {
        message.len() >= MAX_MESSAGE_COUNTS
    }

    /// Applies the answer of `receiver` to `message`.
    pub fn apply_answer(
        &mut self,
        receiver: &NodeRun,
        message: &UsageMessage,
        answer: UsageAnswer,
    ) {
        if let Some(finalized) = answer.finalized {
            self.drop_before(finalized.saturating_add(1));
        }
        if self.receiver.as_ref() != Some(receiver) {
            return;
        }
        match answer.receipt {
            UsageReceipt::Taken => self.confirm(message),
            UsageReceipt::BasisUnknown => self.forget_confirmations(),
            UsageReceipt::Full => {}
        }
    }

    /// Takes the next counts that the receiver may not have. Until it confirms them, it is not known
    /// which counts it has.
    fn take_unconfirmed(&mut self) -> Vec<(WindowNumber, Vec<(TenantName, u64)>)> {
        let mut room = MAX_MESSAGE_COUNTS;
        let mut windows = Vec::new();
        for (window, entries) in &mut self.windows {
            let changed = entries
                .iter_mut()
                .filter(|(_, entry)| entry.confirmed != Some(entry.count))
                .take(room);
            let counts: Vec<(TenantName, u64)> = changed
                .map(|(tenant, entry)| {
                    entry.confirmed = None;
                    (tenant.clone(), entry.count)
                })
                .collect();
            room -= counts.len();
            if !counts.is_empty() {
                windows.push((*window, counts));
            }
        }
        windows
    }

    fn confirm(&mut self, message: &UsageMessage) {
        self.basis = self.basis.max(message.sequence);
        for (window, counts) in &message.windows {
            let Some(entries) = self.windows.get_mut(window) else {
                continue;
            };
            for (tenant, count) in counts {
                if let Some(entry) = entries.get_mut(tenant) {
                    entry.confirmed = Some(*count);
                }
            }
        }
    }

    fn forget_confirmations(&mut self) {
        self.basis = 0;
        for entries in self.windows.values_mut() {
            for entry in entries.values_mut() {
                entry.confirmed = None;
            }
        }
    }
}
