//! Messages to the control actor, and its replies.

use kameo::Reply;
use nutmegspread_model::{AddressAnswer, ConfigurationDocument};
use nutmegspread_policy::control::{ControlInput, StatusReport};
use serde_json::Value;

/// An input for the control state; has no reply.
#[derive(Debug)]
pub struct ControlEvent(pub ControlInput);

/// Requests the addresses that a caller may use.
#[derive(Debug)]
pub struct GetAddresses {
    /// Failure domain that the caller states, if any.
    pub domain: Option<String>,
}

/// Requests the state of control and traffic as JSON.
#[derive(Debug)]
pub struct GetDump;

/// Requests the status report of the node as JSON.
#[derive(Debug)]
pub struct GetStatus;

/// Requests the current configuration and the status report of the node.
#[derive(Debug)]
pub struct GetOverview;

/// Reply to [`GetOverview`].
#[derive(Debug, Default, Reply)]
pub struct OverviewReply {
    /// Current configuration.
    pub document: ConfigurationDocument,
    /// Status report of the node.
    pub report: StatusReport,
}

/// Requests the current configuration.
#[derive(Debug)]
pub struct GetConfiguration;

/// Reply to [`GetAddresses`].
#[derive(Debug, Reply)]
pub struct AddressReply {
    /// Addresses for the caller; `None` if none is known.
    pub answer: Option<AddressAnswer>,
}

/// Reply to [`GetDump`] and [`GetStatus`].
#[derive(Debug, Reply)]
pub struct JsonReply {
    /// The requested state or report.
    pub value: Value,
}

/// Reply to [`GetConfiguration`].
#[derive(Debug, Reply)]
pub struct DocumentReply {
    /// Current configuration.
    pub document: ConfigurationDocument,
}
