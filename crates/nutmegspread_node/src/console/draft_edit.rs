//! Edits that add or remove entries of a draft.

use super::console_draft::{ConsoleDraft, pointer};
use super::form_action::FormAction;
use nutmegspread_model::{
    DomainSettings, Revision, RolloutSettings, RolloutStep, ServiceSettings, ServingState,
    TargetLimits, TargetSettings,
};
use serde::Serialize;
use serde_json::{Map, Value};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time from the start of a new rollout to the time by which it has to finish.
const NEW_ROLLOUT_TIME: Duration = Duration::from_secs(3_600);

impl ConsoleDraft {
    /// Performs an edit and validates the draft. `name` is the text of the field for the name of a new
    /// entry; a new rollout starts at the first full minute from `now` on.
    pub(super) fn edit(&mut self, action: &FormAction, name: &str, now: SystemTime) {
        match action {
            FormAction::Add(section) => {
                let added = self.add_entry(section, name.trim(), now);
                self.validate();
                if let Err(message) = added {
                    self.add_error(format!("new/{section}"), message.to_owned());
                }
                return;
            }
            FormAction::Remove(section, name) => self.remove_entry(section, name),
            FormAction::AddStep(name) => self.add_step(name),
            FormAction::RemoveStep(name, index) => self.remove_step(name, *index),
            FormAction::OwnLimits(name) => self.set_limits(name, Some(TargetLimits::default())),
            FormAction::ServiceLimits(name) => self.set_limits(name, None),
            _ => {}
        }
        self.validate();
    }

    /// Repeats in the draft a drain or return that was just accepted as the revision `revision`.
    ///
    /// A draft made from the revision directly before is then based on the new one, as the drain or
    /// return is the only change between them.
    pub(super) fn apply_serving_state(
        &mut self,
        serving: ServingState,
        section: &str,
        name: &str,
        revision: Revision,
    ) {
        if let Some(entry) = self.object_mut(&format!("{section}/{name}")) {
            entry.insert("state".into(), to_value(&serving));
        }
        if self.base + 1 == revision {
            self.base = revision;
        }
        self.validate();
    }

    fn add_entry(
        &mut self,
        section: &str,
        name: &str,
        now: SystemTime,
    ) -> Result<(), &'static str> {
        if name.is_empty() || name.contains('/') {
            return Err("expected a name without slashes");
        }
        if self.entries(section).iter().any(|entry| entry == name) {
            return Err("expected a name that is not in use");
        }
        let entry = match section {
            "domains" => to_value(&DomainSettings::default()),
            "services" => to_value(&ServiceSettings::default()),
            "targets" => to_value(&TargetSettings::default()),
            "rollouts" => to_value(&new_rollout(now)),
            _ => return Err("expected a section of the document"),
        };
        if let Some(entries) = self.object_mut(section) {
            entries.insert(name.to_owned(), entry);
        }
        Ok(())
    }

    fn remove_entry(&mut self, section: &str, name: &str) {
        if let Some(entries) = self.object_mut(section) {
            entries.remove(name);
        }
        let prefix = format!("{section}/{name}/");
        self.errors.retain(|path, _| !path.starts_with(&prefix));
    }

    fn set_limits(&mut self, target: &str, limits: Option<TargetLimits>) {
        if let Some(target) = self.object_mut(&format!("targets/{target}")) {
            match limits {
                Some(limits) => target.insert("limits".into(), to_value(&limits)),
                None => target.remove("limits"),
            };
        }
        let prefix = format!("targets/{target}/limits/");
        self.errors.retain(|path, _| !path.starts_with(&prefix));
    }

    fn add_step(&mut self, rollout: &str) {
        if let Some(steps) = self.steps_mut(rollout) {
            steps.push(to_value(&RolloutStep::default()));
        }
    }

    /// Removes a step. Texts of steps that could not be parsed are dropped, as the positions in their
    /// paths change.
    fn remove_step(&mut self, rollout: &str, index: usize) {
        if let Some(steps) = self.steps_mut(rollout)
            && index < steps.len()
        {
            steps.remove(index);
        }
        let prefix = format!("rollouts/{rollout}/steps/");
        self.errors.retain(|path, _| !path.starts_with(&prefix));
    }

    fn steps_mut(&mut self, name: &str) -> Option<&mut Vec<Value>> {
        let path = pointer(&format!("rollouts/{name}/steps"));
        self.value.pointer_mut(&path)?.as_array_mut()
    }

    fn object_mut(&mut self, path: &str) -> Option<&mut Map<String, Value>> {
        self.value.pointer_mut(&pointer(path))?.as_object_mut()
    }
}

/// Settings of a rollout that starts at the first full minute from `now` on.
fn new_rollout(now: SystemTime) -> RolloutSettings {
    let seconds = now.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let start = UNIX_EPOCH + Duration::from_secs(seconds.next_multiple_of(60));
    let step = |share| RolloutStep {
        share,
        ..RolloutStep::default()
    };
    RolloutSettings {
        start,
        finish_by: start + NEW_ROLLOUT_TIME,
        steps: [0.01, 0.1, 0.5, 1.0].map(step).to_vec(),
        ..RolloutSettings::default()
    }
}

fn to_value<T: Serialize>(settings: &T) -> Value {
    serde_json::to_value(settings).unwrap_or_default()
}
