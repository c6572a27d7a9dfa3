//! Messages to the control actor and its answers.

use kameo::Reply;
use nutmegspread_model::{AddressAnswer, ConfigurationDocument};
use nutmegspread_policy::control::{ControlInput, StatusReport};
use serde_json::Value;

/// Something that happened outside the control state.
#[derive(Debug)]
pub struct ControlEvent(pub ControlInput);

/// Asks which addresses a caller may use.
#[derive(Debug)]
pub struct AskAddresses {
    /// Failure domain that the caller states.
    pub domain: Option<String>,
}

/// Asks for the whole control state as JSON.
#[derive(Debug)]
pub struct AskDump;

/// Asks what is in force where.
#[derive(Debug)]
pub struct AskStatus;

/// Asks for the configuration in force and what is known of its nodes.
#[derive(Debug)]
pub struct AskOverview;

/// Answer to [`AskOverview`].
#[derive(Debug, Default, Reply)]
pub struct OverviewReply {
    /// Configuration in force.
    pub document: ConfigurationDocument,
    /// What is in force where.
    pub report: StatusReport,
}

/// Asks for the configuration in force.
#[derive(Debug)]
pub struct AskConfiguration;

/// Answer to [`AskAddresses`].
#[derive(Debug, Reply)]
pub struct AddressReply {
    /// Addresses; `None` while none is known.
    pub answer: Option<AddressAnswer>,
}

/// Answer to [`AskDump`] and [`AskStatus`].
#[derive(Debug, Reply)]
pub struct JsonReply {
    /// The answer.
    pub value: Value,
}

/// Answer to [`AskConfiguration`].
#[derive(Debug, Reply)]
pub struct DocumentReply {
    /// Configuration in force.
    pub document: ConfigurationDocument,
}
