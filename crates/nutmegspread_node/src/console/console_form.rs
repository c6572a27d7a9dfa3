//! A submitted form.

use super::ConsolePage;
use super::form_action::FormAction;

/// Names and values of a submitted form, in its order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConsoleForm {
    /// Pairs of name and value.
    pub pairs: Vec<(String, String)>,
}

impl ConsoleForm {
    /// Value of a field; `None` when the form has none of that name.
    pub fn value(&self, name: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(own, _)| own == name);
        pair.map(|(_, value)| value.as_str())
    }

    /// Page from which it was submitted.
    pub(super) fn page(&self) -> ConsolePage {
        let name = self.value("page").unwrap_or_default();
        ConsolePage::from_name(name).unwrap_or_default()
    }

    /// What its button asks for; `None` when no button is known.
    pub(super) fn action(&self) -> Option<FormAction> {
        FormAction::parse(self.value("action")?)
    }
}
