//! The configuration in force.

use crate::control::configuration_intake::{ConfigurationIntake, take_configuration};
use crate::control::control_state::ControlState;
use crate::control::relay_answer::RelayAnswer;
use nutmegspread_platform::{MAIN_CONFIGURATION, ObjectKind, StoreObject};
use nutmegspread_tier::MemberRecord;
use std::time::Instant;

impl ControlState {
    /// Version of the configuration in force; 0 if none is known.
    pub(super) fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Applies a configuration if it is later than the one in force. If it is earlier, peers still get
    /// the contents in force: the store may have come back from an older copy.
    pub(super) fn apply_configuration(&mut self, object: &StoreObject) {
        if object.name != MAIN_CONFIGURATION {
            return;
        }
        let kept_version = match take_configuration(&self.shared, self.table.as_ref(), object) {
            Ok(ConfigurationIntake::Later(table)) => {
                self.table = Some(table);
                self.contents_in_force = Some(object.contents.clone());
                self.kept_version = 0;
                return;
            }
            Ok(ConfigurationIntake::Same) => 0,
            Ok(ConfigurationIntake::Earlier) => self.version(),
            Err(error) => {
                self.unreadable.record(object, &error.to_string());
                return;
            }
        };
        if kept_version > 0 && kept_version != self.kept_version {
            log::warn!(event = "configuration_kept", version = kept_version,
                revision = object.revision, era = self.era();
                "the store has an earlier configuration than the one in force, which stays");
        }
        self.kept_version = kept_version;
        if kept_version > 0 {
            self.relay_contents_in_force();
        }
    }

    /// Makes this node relay the contents in force in place of those that the store has.
    fn relay_contents_in_force(&mut self) {
        let known = self.objects.get_mut(&ObjectKind::Configuration);
        if let Some((known, contents)) = known.zip(self.contents_in_force.clone()) {
            known.keep_contents(MAIN_CONFIGURATION, contents);
        }
    }

    /// Whether a peer keeps a later configuration against the store than the one in force here.
    pub(super) fn is_kept_later(&self, record: &MemberRecord) -> bool {
        record.keeps_after(self.version())
    }

    /// Whether this node needs the configuration that peers keep against the store.
    pub fn needs_kept_configuration(&self, now: Instant, kind: ObjectKind) -> bool {
        kind == ObjectKind::Configuration
            && !self.members.peers_keeping(now, self.version()).is_empty()
    }

    /// Applies the configuration that a peer keeps against the store. It is later than the one of the
    /// store, at whatever position the peer has read that.
    pub(super) fn apply_kept_configuration(&mut self, now: Instant, answer: &RelayAnswer) {
        for kept in &answer.objects {
            let Some(contents) = &kept.contents else {
                continue;
            };
            let object = StoreObject {
                name: kept.name.clone(),
                revision: kept.revision,
                contents: contents.clone(),
                status: None,
            };
            let before = self.version();
            self.apply_configuration(&object);
            if self.version() > before {
                self.kept_version = self.version();
                self.relay_contents_in_force();
                self.publish(now);
            }
        }
    }
}
