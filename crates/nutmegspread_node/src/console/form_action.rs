//! Actions of the buttons of a form.

use super::ConsolePage;
use nutmegspread_model::ServingState;

/// Action of a button, parsed from the button's value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FormAction {
    /// Keep the draft and show a page.
    Show(ConsolePage),
    /// Add an entry to a section; the name is in the field `new` of the form.
    Add(String),
    /// Remove an entry: section and name.
    Remove(String, String),
    /// Add a step to the named rollout.
    AddStep(String),
    /// Remove a step: name of the rollout and position of the step.
    RemoveStep(String, usize),
    /// Give the named target limits of its own.
    OwnLimits(String),
    /// Let the named target use its service's limits.
    ServiceLimits(String),
    /// Drain a failure domain or target, or return it to service, at once: new state, section and name.
    SetServing(ServingState, String, String),
    /// Keep the draft and base it on the revision in force.
    Rebase,
    /// Discard the draft.
    Discard,
    /// Download the draft as a document.
    Download,
    /// Apply the draft.
    Apply,
}

impl FormAction {
    /// Parses the value of a button; `None` if the action is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        let parts: Vec<&str> = text.split('/').collect();
        let action = match parts.as_slice() {
            ["show", page] => Self::Show(ConsolePage::from_name(page)?),
            ["add", section] => Self::Add((*section).into()),
            ["remove", section, name] => Self::Remove((*section).into(), (*name).into()),
            ["add-step", name] => Self::AddStep((*name).into()),
            ["remove-step", name, index] => Self::RemoveStep((*name).into(), index.parse().ok()?),
            ["own-limits", name] => Self::OwnLimits((*name).into()),
            ["service-limits", name] => Self::ServiceLimits((*name).into()),
            ["drain", section, name] => {
                Self::SetServing(ServingState::Drained, (*section).into(), (*name).into())
            }
            ["return", section, name] => {
                Self::SetServing(ServingState::Active, (*section).into(), (*name).into())
            }
            ["rebase"] => Self::Rebase,
            ["discard"] => Self::Discard,
            ["download"] => Self::Download,
            ["apply"] => Self::Apply,
            _ => return None,
        };
        Some(action)
    }
}
