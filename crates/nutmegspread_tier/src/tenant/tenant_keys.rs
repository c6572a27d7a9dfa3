//! Lookup of the tenant that holds a key.

use crate::tenant::key_digest::KeyDigest;
use crate::tenant::key_secret::{ENTRY_BYTES, KeySecret};
use crate::tenant::tenant_fault::TenantFault;
use crate::tenant::tenant_record::TenantRecord;
use indexmap::{Equivalent, IndexMap};
use std::cell::Cell;
use std::fmt;
use std::hash::{BuildHasherDefault, DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Entry of the table for one key.
type KeyEntry = [u8; ENTRY_BYTES];
/// Tenants by entry. Entries depend on a secret already, so the hasher needs none.
type TenantTable = IndexMap<KeyEntry, Option<Arc<TenantRecord>>, BuildHasherDefault<DefaultHasher>>;

/// Table of the keys of all tenants, which holds no key.
///
/// The table has an entry for each key, computed with the secret of the process. The time of a lookup
/// depends on the received key alone: it grows neither with the number of tenants nor with what the
/// received key has in common with a stored one.
#[derive(Clone)]
pub struct TenantKeys {
    secret: KeySecret,
    /// Holder of each key; `None` if two tenants hold it.
    holders: TenantTable,
    /// Number of tenants.
    tenants: usize,
    faults: Vec<TenantFault>,
}

impl TenantKeys {
    /// Creates the table from the tenants with the digests of their keys. A key that two tenants hold
    /// belongs to neither. `unreadable` are the faults of entries that were left out.
    pub fn new(
        secret: &KeySecret,
        tenants: Vec<(TenantRecord, Vec<KeyDigest>)>,
        unreadable: Vec<TenantFault>,
    ) -> Self {
        let mut keys = Self {
            secret: secret.clone(),
            holders: TenantTable::default(),
            tenants: tenants.len(),
            faults: unreadable,
        };
        let mut first_holders: IndexMap<KeyDigest, Arc<TenantRecord>> = IndexMap::new();
        for (record, digests) in tenants {
            let record = Arc::new(record);
            for digest in digests {
                keys.add(&mut first_holders, &record, digest);
            }
        }
        keys
    }

    fn add(
        &mut self,
        first_holders: &mut IndexMap<KeyDigest, Arc<TenantRecord>>,
        record: &Arc<TenantRecord>,
        digest: KeyDigest,
    ) {
        let entry = self.secret.entry(&digest);
        let first = first_holders
            .entry(digest)
            .or_insert_with(|| Arc::clone(record));
        if first.name == record.name {
            self.holders
                .entry(entry)
                .or_insert_with(|| Some(Arc::clone(record)));
            return;
        }
        self.holders.insert(entry, None);
        self.faults.push(TenantFault::SharedKey {
            first: first.name.clone(),
            second: record.name.clone(),
        });
    }

    /// Returns the tenant that holds `key`; `None` if no tenant does, or more than one.
    pub fn find(&self, key: &str) -> Option<&Arc<TenantRecord>> {
        self.look_up(key).0
    }

    /// Number of entries that a lookup of `key` compares.
    pub fn comparisons(&self, key: &str) -> usize {
        self.look_up(key).1
    }

    fn look_up(&self, key: &str) -> (Option<&Arc<TenantRecord>>, usize) {
        let query = CountedEntry {
            entry: self.secret.entry(&KeyDigest::of(key)),
            comparisons: Cell::new(0),
        };
        let holder = self.holders.get(&query).and_then(Option::as_ref);
        (holder, query.comparisons.get())
    }

    /// Number of tenants.
    pub fn len(&self) -> usize {
        self.tenants
    }

    /// Whether there is no tenant, so that every key is refused.
    pub fn is_empty(&self) -> bool {
        self.tenants == 0
    }

    /// What is wrong in the list of tenants.
    pub fn faults(&self) -> &[TenantFault] {
        &self.faults
    }
}

/// Shows neither entries nor the secret.
impl fmt::Debug for TenantKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("TenantKeys");
        shown.field("tenants", &self.tenants);
        shown.field("keys", &self.holders.len());
        shown.finish_non_exhaustive()
    }
}

/// Two tables are equal if they have the same entries, which requires the same secret.
impl PartialEq for TenantKeys {
    fn eq(&self, other: &Self) -> bool {
        self.holders == other.holders && self.faults == other.faults
    }
}

/// Entry of a received key, with the number of comparisons of its lookup.
struct CountedEntry {
    entry: KeyEntry,
    comparisons: Cell<usize>,
}

impl Hash for CountedEntry {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.entry.hash(state);
    }
}

impl Equivalent<KeyEntry> for CountedEntry {
    fn equivalent(&self, entry: &KeyEntry) -> bool {
        self.comparisons.set(self.comparisons.get() + 1);
        self.entry == *entry
    }
}
