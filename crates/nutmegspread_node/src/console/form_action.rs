//! What a button asks for.

use super::ConsolePage;
use nutmegspread_model::ServingState;

/// Action of one button; its text form is the button's value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FormAction {
    /// Keep the edits and show a page.
    Show(ConsolePage),
    /// Add the entry that is named beside the button.
    Add(String),
    /// Remove an entry of a section.
    Remove(String, String),
    /// Add a step to a rollout.
    AddStep(String),
    /// Remove a step of a rollout.
    RemoveStep(String, usize),
    /// Give a target limits of its own.
    OwnLimits(String),
    /// Let a target have its service's limits.
    ServiceLimits(String),
    /// Drain or return a domain or target at once.
    Serve(ServingState, String, String),
    /// Take the revision in force as the base and keep the draft.
    Rebase,
    /// Forget the draft.
    Discard,
    /// Download the document.
    Download,
    /// Apply the document.
    Apply,
}

impl FormAction {
    /// Reads the value of a button.
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
                Self::Serve(ServingState::Drained, (*section).into(), (*name).into())
            }
            ["return", section, name] => {
                Self::Serve(ServingState::Active, (*section).into(), (*name).into())
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
