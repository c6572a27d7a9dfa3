//! Limit on the memory that bodies of callers' requests take in a node.

use crate::{BodyProgress, ProgressSettings};
use indexmap::IndexMap;
use std::time::Instant;

/// Identifies a body among those that a node has held since its start.
pub type BodyKey = u64;

/// Whether a body may take the memory that it asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemoryVerdict {
    /// It may, once the memory of the evicted bodies has been freed; their requests are refused.
    Granted {
        /// Bodies that no longer count.
        evicted: Vec<BodyKey>,
    },
    /// It may not: the limit is reached and too little of what is held has stalled. The body no
    /// longer counts.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct HeldBody {
    bytes: usize,
    /// `None` once the body is complete; it is then held until its request ends.
    progress: Option<BodyProgress>,
}

/// Limit on the memory that bodies of callers' requests take in a node.
///
/// Load pattern: many clients send bodies of allowed size, whole or in pieces or chunks, stop just
/// short of the end and stay open. What counts is the capacity of each body's buffer, which grows with
/// what has arrived; the sum never passes the limit.
#[derive(Clone, Debug)]
pub struct CallerMemory {
    limit: usize,
    settings: ProgressSettings,
    bodies: IndexMap<BodyKey, HeldBody>,
    next_key: BodyKey,
    total: usize,
}

impl CallerMemory {
    /// Creates the memory of a node that holds no body and may hold `limit` bytes.
    pub fn new(limit: usize, settings: ProgressSettings) -> Self {
        Self {
            limit,
            settings,
            bodies: IndexMap::new(),
            next_key: 0,
            total: 0,
        }
    }

    /// Bytes that all bodies take.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Number of bodies that are received or held.
    pub fn count(&self) -> usize {
        self.bodies.len()
    }

    /// Adds a body that starts to arrive and takes nothing yet.
    pub fn open(&mut self, now: Instant) -> BodyKey {
        self.next_key += 1;
        let progress = Some(BodyProgress::new(self.settings, now));
        self.bodies
            .insert(self.next_key, HeldBody { bytes: 0, progress });
        self.next_key
    }

    /// Time by which a body has to be complete; `None` if it is, or no longer counts.
    pub fn end_time(&self, key: BodyKey) -> Option<Instant> {
        let progress = self.bodies.get(&key)?.progress.as_ref()?;
        Some(progress.end_time())
    }

    /// Counts bytes of a body that were received; returns whether they make progress.
    pub fn record(&mut self, key: BodyKey, bytes: usize, now: Instant) -> bool {
        let body = self.bodies.get_mut(&key);
        let progress = body.and_then(|body| body.progress.as_mut());
        progress.is_some_and(|progress| progress.record(bytes, now))
    }

    /// Asks for a buffer of `bytes` for a body, in place of the one it has. At the limit, other bodies
    /// that have stalled are evicted, the longest stalled first. A body that no longer counts is
    /// refused.
    pub fn resize(&mut self, key: BodyKey, bytes: usize, now: Instant) -> MemoryVerdict {
        let Some(own) = self.bodies.get(&key).map(|body| body.bytes) else {
            return MemoryVerdict::Refused;
        };
        let needed = (self.total - own).saturating_add(bytes);
        let mut evicted = Vec::new();
        if needed > self.limit {
            let Some(victims) = self.choose_victims(key, needed - self.limit, now) else {
                self.close(key);
                return MemoryVerdict::Refused;
            };
            evicted = victims;
        }
        for victim in &evicted {
            self.close(*victim);
        }
        if let Some(body) = self.bodies.get_mut(&key) {
            body.bytes = bytes;
            self.total = self.total - own + bytes;
        }
        MemoryVerdict::Granted { evicted }
    }

    /// Marks a body as complete. It is not evicted any more, as its request may run.
    pub fn complete(&mut self, key: BodyKey) {
        if let Some(body) = self.bodies.get_mut(&key) {
            body.progress = None;
        }
    }

    /// Removes a body whose memory has been freed. A body that no longer counts is ignored.
    pub fn close(&mut self, key: BodyKey) {
        if let Some(body) = self.bodies.swap_remove(&key) {
            self.total -= body.bytes;
        }
    }

    /// Stalled bodies other than `key` that take at least `bytes`, the longest stalled first; `None`
    /// if all of them take less. Looks at each body once, and there is one a connection at most.
    fn choose_victims(&self, key: BodyKey, bytes: usize, now: Instant) -> Option<Vec<BodyKey>> {
        let mut stalled: Vec<_> = self
            .bodies
            .iter()
            .filter(|(other, body)| **other != key && body.bytes > 0)
            .filter_map(|(other, body)| Some((body.progress?.stalled(now)?, *other, body.bytes)))
            .collect();
        stalled.sort_unstable_by_key(|(waited, other, _)| (std::cmp::Reverse(*waited), *other));
        let mut freed = 0;
        let mut victims = Vec::new();
        for (_, other, taken) in stalled {
            freed += taken;
            victims.push(other);
            if freed >= bytes {
                return Some(victims);
            }
        }
        None
    }
}
