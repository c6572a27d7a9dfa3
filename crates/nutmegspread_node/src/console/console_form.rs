//! A form that an operator submitted.

use super::ConsolePage;
use super::form_action::FormAction;

/// Names and values of the fields of a submitted form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConsoleForm {
    /// Pairs of a field name and its value, in the order of the form.
    pub pairs: Vec<(String, String)>,
}

impl ConsoleForm {
    /// Value of a field; `None` if the form has no field with this name.
    pub fn value(&self, name: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(field, _)| field == name);
        pair.map(|(_, value)| value.as_str())
    }

    /// Page from which the form was submitted; the status page if the form names no known page.
    pub(super) fn page(&self) -> ConsolePage {
        let name = self.value("page").unwrap_or_default();
        ConsolePage::from_name(name).unwrap_or_default()
    }

    /// Action of the button that submitted the form; `None` if the action is missing or unknown.
    pub(super) fn action(&self) -> Option<FormAction> {
        FormAction::parse(self.value("action")?)
    }
}
