//! What this node relays to peers, and what it takes over from them.

use crate::control::control_state::{ControlState, FOLLOWED_KINDS, kind_index, millis};
use crate::control::relay_answer::{RelayAnswer, RelayObject};
use nutmegspread_platform::{ObjectChange, ObjectKind, StoreObject};
use nutmegspread_tier::{MemberRecord, StorePosition};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Contents of a removed object that are not known.
pub(super) const UNKNOWN_CONTENTS: &str = "null";

impl ControlState {
    /// Applies a peer's answer to a relay call, unless this node already knows at least its
    /// revision.
    pub fn apply_relay_answer(&mut self, now: Instant, kind: ObjectKind, answer: RelayAnswer) {
        self.observe_peer_era(now, answer.era);
        let (position, known) = (answer.position(), self.position(kind));
        // Changes continue only what is known of the same era.
        let is_usable = answer.is_complete || known.is_some_and(|known| known.era == position.era);
        // Objects of an earlier era are better than none.
        let is_past = known.is_some() && position.era < self.era();
        if is_past || known >= Some(position) || !is_usable {
            if kind == ObjectKind::Configuration && position.era == self.era() {
                self.apply_kept_configuration(now, &answer);
            }
            return;
        }
        let confirmed = answer
            .age_ms
            .and_then(|age| now.checked_sub(Duration::from_millis(age)));
        let was_away = kind == ObjectKind::Targets && self.is_store_away(now);
        if let Some(returned) = answer.returned_ms.map(Duration::from_millis)
            && let Some(returned) = now.checked_sub(returned)
            && was_away
        {
            self.registry.store_returned(returned);
            self.returned = Some(returned);
        }
        let (mut put, mut removed) = (Vec::new(), Vec::new());
        for object in answer.objects {
            let RelayObject {
                name,
                revision,
                contents,
                status,
                last,
            } = object;
            match contents {
                Some(contents) => put.push(StoreObject {
                    name,
                    revision,
                    contents,
                    status,
                }),
                None => removed.push(StoreObject {
                    name,
                    revision,
                    contents: last.unwrap_or_else(|| UNKNOWN_CONTENTS.to_owned()),
                    status: None,
                }),
            }
        }
        if let Some(known) = self.objects.get_mut(&kind)
            && let Some(confirmed) = confirmed
        {
            known.confirm_by_peer(confirmed);
        }
        if answer.is_complete {
            self.apply_list(now, kind, &put, position);
            return;
        }
        let removed = removed.into_iter().map(|object| ObjectChange {
            object,
            is_removed: true,
        });
        let put = put.into_iter().map(|object| ObjectChange {
            object,
            is_removed: false,
        });
        // Removals are applied first, because an object that was removed and created again occurs
        // in both lists.
        let changes: Vec<ObjectChange> = removed.chain(put).collect();
        self.apply_changes(now, kind, &changes, position);
    }

    /// Returns the objects of a kind that a peer lacks if it knows the kind up to `position`.
    /// Returns `None` if this node has not read the kind yet.
    pub fn answer_relay(
        &self,
        now: Instant,
        kind: ObjectKind,
        position: StorePosition,
    ) -> Option<RelayAnswer> {
        let known = self.objects.get(&kind)?;
        known.position()?;
        let reached = known.changed();
        let is_complete = !known.has_removals_since(position);
        let since = if is_complete { 0 } else { position.revision };
        let put = known.changed_since(since).map(|object| RelayObject {
            name: object.name.clone(),
            revision: object.revision,
            contents: Some(object.contents.clone()),
            status: object.status.clone(),
            last: None,
        });
        let removed = known
            .removed_since(position.revision)
            .map(|object| RelayObject {
                name: object.name.clone(),
                revision: reached.revision,
                contents: None,
                status: None,
                last: (reached.era > 0
                    && kind == ObjectKind::Targets
                    && object.contents != UNKNOWN_CONTENTS)
                    .then(|| object.contents.clone()),
            });
        let objects = if is_complete {
            put.collect()
        } else {
            put.chain(removed).collect()
        };
        let returned_ms = self
            .returned
            .map(|returned| now.saturating_duration_since(returned).as_millis() as u64);
        Some(RelayAnswer {
            era: reached.era,
            revision: reached.revision,
            is_complete,
            objects,
            age_ms: known.own_age(now).map(millis),
            returned_ms,
        })
    }

    /// Peers that know a later change of a kind than this node, the latest first.
    pub fn peers_ahead(&self, now: Instant, kind: ObjectKind) -> Vec<SocketAddr> {
        let known = self.position(kind).unwrap_or_default();
        let ahead = kind_index(kind).map_or_else(Vec::new, |index| {
            self.members.peers_ahead(now, index, known)
        });
        if ahead.is_empty() && self.position(kind).is_none() {
            return self.members.ready_peers(now);
        }
        if ahead.is_empty() && kind == ObjectKind::Configuration {
            return self.members.peers_keeping(now, self.version());
        }
        ahead
    }

    /// Longest random delay before this node sends a relay call; `None` if it should call at once
    /// because other nodes will follow it.
    pub fn relay_call_spread(&mut self, now: Instant) -> Option<Duration> {
        let own = self.own_record(now);
        self.members.relay_call_spread(now, &own)
    }

    /// Kinds of which the sender of a heartbeat knows a later change than this node.
    pub fn kinds_behind(&self, record: &MemberRecord) -> Vec<ObjectKind> {
        let known = FOLLOWED_KINDS.into_iter().zip(&record.revisions);
        known
            .filter(|(kind, revision)| {
                record.is_ahead(**revision, self.position(*kind).unwrap_or_default())
                    || (*kind == ObjectKind::Configuration && self.is_kept_later(record))
                    || (record.ready && record.era > 0 && self.position(*kind).is_none())
            })
            .map(|(kind, _)| kind)
            .collect()
    }
}
