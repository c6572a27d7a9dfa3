//! Everything that the control thread knows.

use crate::{FleetView, SharedState};
use indexmap::{IndexMap, IndexSet};
use nutmegspread_platform::{
    ObjectKind, StoreObject, decode_configuration, decode_record, decode_target,
};
use nutmegspread_tier::{
    FailureDomain, MemberRecord, MemberSettings, MemberView, RegistryChange, RegistrySettings,
    RouteTable, TargetId, TargetRecord, TargetRegistry,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Entries that cannot be read are logged once each, for this many at most.
const LOGGED_UNREADABLE: usize = 64;

/// Everything that the control thread knows.
#[derive(Debug)]
pub struct ControlState {
    shared: Arc<SharedState>,
    table: Option<Arc<RouteTable>>,
    registry: TargetRegistry,
    evacuated: IndexSet<FailureDomain>,
    members: MemberView,
    own: MemberRecord,
    /// Addresses found in the store, which are greeted until they are heard.
    roster: IndexSet<SocketAddr>,
    unreadable: IndexMap<String, u64>,
    has_targets: bool,
    views: u64,
}

impl ControlState {
    /// Starts with nothing known.
    pub fn new(shared: Arc<SharedState>, own: MemberRecord, now: Instant) -> Self {
        Self {
            shared,
            table: None,
            registry: TargetRegistry::new(RegistrySettings::default()),
            evacuated: IndexSet::new(),
            members: MemberView::new(MemberSettings::default(), now),
            own,
            roster: IndexSet::new(),
            unreadable: IndexMap::new(),
            has_targets: false,
            views: 0,
        }
    }

    /// Takes a complete list of the objects of a kind.
    pub fn take_list(&mut self, now: Instant, kind: ObjectKind, objects: &[StoreObject]) {
        match kind {
            ObjectKind::Configuration => {
                for object in objects {
                    self.take_configuration(object);
                }
            }
            ObjectKind::Targets => {
                let entries: Vec<(TargetId, Option<Arc<TargetRecord>>)> = objects
                    .iter()
                    .map(|object| (object.name.as_str().into(), self.read_target(object)))
                    .collect();
                self.registry.replace(now, entries.into_iter());
                self.has_targets = true;
            }
            ObjectKind::Evacuations => {
                let evacuated: IndexSet<FailureDomain> = objects
                    .iter()
                    .map(|object| object.name.as_str().into())
                    .collect();
                if evacuated != self.evacuated {
                    log::info!(event = "evacuations", domains:? = evacuated; "evacuations listed");
                }
                self.evacuated = evacuated;
            }
            ObjectKind::Members => {
                for object in objects {
                    match decode_record::<MemberRecord>(&object.contents) {
                        Ok(record) => {
                            self.roster.insert(record.peers);
                        }
                        Err(error) => self.note_unreadable(object, &error.to_string()),
                    }
                }
            }
        }
        self.publish(now);
    }

    /// Takes one change of an object.
    pub fn take_change(
        &mut self,
        now: Instant,
        kind: ObjectKind,
        object: &StoreObject,
        is_removed: bool,
    ) {
        match kind {
            ObjectKind::Configuration if !is_removed => self.take_configuration(object),
            ObjectKind::Configuration | ObjectKind::Members => {}
            ObjectKind::Targets => {
                let id: TargetId = object.name.as_str().into();
                let change = if is_removed {
                    RegistryChange::Remove(id)
                } else {
                    RegistryChange::Put(id, self.read_target(object))
                };
                log_target(&change, object.revision);
                self.registry.apply(now, change);
            }
            ObjectKind::Evacuations => {
                let domain: FailureDomain = object.name.as_str().into();
                log::info!(event = "evacuation", domain:% = domain, revision = object.revision,
                    active = !is_removed; "evacuation changed");
                if is_removed {
                    self.evacuated.shift_remove(&domain);
                } else {
                    self.evacuated.insert(domain);
                }
            }
        }
    }

    /// Notes that the registrations can be read again after they could not.
    pub fn store_returned(&mut self, now: Instant) {
        self.registry.store_returned(now);
    }

    /// Drops what has been missing or silent for too long.
    pub fn expire(&mut self, now: Instant) {
        let sharing = self.members.sharing(now);
        self.members.expire(now);
        let has_expired = self.registry.expire(now);
        let divided = self.shared.view.load().sharing;
        if has_expired || sharing != divided {
            self.publish(now);
        }
    }

    /// Notes a message of another node; returns whether the node is new.
    pub fn hear(&mut self, now: Instant, record: MemberRecord) -> bool {
        if record.node == self.own.node {
            return false;
        }
        let (node, peers) = (record.node.clone(), record.peers);
        let is_new = self.members.hear(now, record);
        if is_new {
            log::info!(event = "node_heard", node:% = node, peers:% = peers; "another node is heard");
        }
        is_new
    }

    /// The message of this node to the others.
    pub fn own_record(&mut self) -> MemberRecord {
        let leaving = self.shared.leaving.load(Ordering::Relaxed);
        self.own.ready = self.table.is_some() && self.has_targets && !leaving;
        self.own.version = self.table.as_ref().map_or(0, |table| table.version);
        self.own.clone()
    }

    /// Addresses of the other nodes that messages go to.
    pub fn peers(&self) -> IndexSet<SocketAddr> {
        let own = self.own.peers;
        let settings = self.shared.settings.load();
        let seeds = settings
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), settings.peer_port));
        self.members
            .peers()
            .chain(self.roster.iter().copied())
            .chain(seeds)
            .filter(|peer| *peer != own)
            .collect()
    }

    /// Whether callers should use this node.
    pub fn is_ready(&mut self) -> bool {
        self.own_record().ready
    }

    /// The nodes that callers in `domain` should use.
    pub fn addresses(&mut self, now: Instant, _domain: Option<&str>) -> Vec<SocketAddr> {
        let mut own = self.own_record();
        own.ready &= self.shared.serviceable.load(Ordering::Relaxed);
        self.members
            .named(now, &own)
            .iter()
            .map(|record| record.callers)
            .collect()
    }

    /// When something expires next.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.registry.next_expiry()
    }

    /// Makes the newest state visible to traffic.
    pub fn publish(&mut self, now: Instant) {
        self.views += 1;
        self.shared.view.store(Arc::new(FleetView {
            table: self.table.clone(),
            targets: self.registry.usable(),
            evacuated: self.evacuated.clone(),
            sharing: self.members.sharing(now),
            made: now,
            number: self.views,
        }));
        self.shared.view_changed.notify_one();
    }

    fn take_configuration(&mut self, object: &StoreObject) {
        match decode_configuration(&object.contents) {
            Ok(table) => {
                let held = self.table.as_ref().map_or(0, |held| held.version);
                if table.version > held {
                    log::info!(event = "configuration", version = table.version, before = held,
                        revision = object.revision; "configuration in force");
                    self.table = Some(Arc::new(table));
                }
            }
            Err(error) => self.note_unreadable(object, &error.to_string()),
        }
    }

    fn read_target(&mut self, object: &StoreObject) -> Option<Arc<TargetRecord>> {
        match decode_target(&object.name, &object.contents) {
            Ok(record) => Some(Arc::new(record)),
            Err(error) => {
                self.note_unreadable(object, &error.to_string());
                None
            }
        }
    }

    fn note_unreadable(&mut self, object: &StoreObject, reason: &str) {
        let known = self.unreadable.get(&object.name);
        if known == Some(&object.revision) || self.unreadable.len() >= LOGGED_UNREADABLE {
            return;
        }
        self.unreadable.insert(object.name.clone(), object.revision);
        log::warn!(event = "unreadable", object = object.name.as_str(), revision = object.revision,
            reason; "an object of the store cannot be read and is left out");
    }
}

fn log_target(change: &RegistryChange, revision: u64) {
    match change {
        RegistryChange::Put(id, Some(record)) => {
            log::info!(event = "target", target:% = id, service:% = record.service,
                draining = record.draining, started_ms = record.started_ms,
                cold_ms = millis(record.cold_left), revision; "target registered");
        }
        RegistryChange::Put(id, None) => {
            log::info!(event = "target", target:% = id, revision; "registration names no target");
        }
        RegistryChange::Remove(id) => {
            log::info!(event = "target", target:% = id, revision; "registration removed");
        }
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
