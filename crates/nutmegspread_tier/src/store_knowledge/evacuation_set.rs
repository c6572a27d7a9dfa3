//! The failure domains that are evacuated, as far as a node knows.
//!
//! If the store comes back from an older copy, evacuations that were acknowledged since the copy was
//! made are missing in it until the operator writes them again.

use crate::FailureDomain;
use indexmap::{IndexMap, IndexSet};
use std::time::{Duration, Instant};

/// How long evacuations are held that an older copy of the store lacks.
#[derive(Clone, Copy, Debug)]
pub struct EvacuationSettings {
    /// Time for which an evacuation is held from the first list that lacks it. The evacuation may
    /// also have ended while this node did not know the store, and nothing will tell.
    pub hold_time: Duration,
}

impl Default for EvacuationSettings {
    fn default() -> Self {
        Self {
            hold_time: Duration::from_secs(10),
        }
    }
}

/// What the store says of an evacuation that is in force.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    /// The store has it in this era.
    Confirmed,
    /// It is known from an earlier era, and no list of this era was read.
    Unconfirmed,
    /// A list of this era lacks it; it is held until this time.
    Held(Instant),
}

/// The evacuated failure domains that this node knows.
#[derive(Clone, Debug, Default)]
pub struct EvacuationSet {
    settings: EvacuationSettings,
    domains: IndexMap<FailureDomain, Standing>,
}

impl EvacuationSet {
    /// Creates an empty set.
    pub fn new(settings: EvacuationSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that the store came back from an older copy. The known evacuations stay in force
    /// until a list is read, and for `hold_time` more if it lacks them. A further era during this
    /// time starts it anew.
    pub fn begin_era(&mut self) {
        for standing in self.domains.values_mut() {
            *standing = Standing::Unconfirmed;
        }
    }

    /// Applies a complete list of the evacuated domains in the store; returns whether the domains in
    /// force have changed. Those that are not in the list end, or are held if they are known from an
    /// earlier era.
    pub fn replace(&mut self, now: Instant, listed: impl Iterator<Item = FailureDomain>) -> bool {
        let listed: IndexSet<FailureDomain> = listed.collect();
        let before = self.domains.len();
        let hold_time = self.settings.hold_time;
        self.domains.retain(|domain, standing| {
            if listed.contains(domain) {
                return true;
            }
            if *standing == Standing::Unconfirmed {
                *standing = Standing::Held(now + hold_time);
            }
            matches!(standing, Standing::Held(until) if now < *until)
        });
        let mut has_changed = self.domains.len() != before;
        for domain in listed {
            has_changed |= self.put(domain);
        }
        has_changed
    }

    /// Applies that the store has an evacuation, written in this era; returns whether the domain was
    /// not evacuated before.
    pub fn put(&mut self, domain: FailureDomain) -> bool {
        self.domains.insert(domain, Standing::Confirmed).is_none()
    }

    /// Applies the removal of an evacuation in this era, at once; returns whether the domain was
    /// evacuated.
    pub fn remove(&mut self, domain: &FailureDomain) -> bool {
        self.domains.shift_remove(domain).is_some()
    }

    /// Ends the evacuations that were held for their whole time; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.domains.len();
        self.domains
            .retain(|_, standing| !matches!(standing, Standing::Held(until) if *until <= now));
        before != self.domains.len()
    }

    /// Returns the evacuated domains, including those that are held.
    pub fn domains(&self) -> IndexSet<FailureDomain> {
        self.domains.keys().cloned().collect()
    }

    /// Returns the domains that are held although the store of this era lacks their evacuations.
    pub fn held(&self) -> impl Iterator<Item = &FailureDomain> {
        self.domains
            .iter()
            .filter(|(_, standing)| matches!(standing, Standing::Held(_)))
            .map(|(domain, _)| domain)
    }
}
