//! Settings of a node's control state.

use crate::configuration::ConfigurationSettings;
use crate::fleet::FleetSettings;
use nutmegspread_model::NodeRecord;

/// Who the node is and the times by which it judges.
#[derive(Clone, Debug, Default)]
pub struct ControlSettings {
    /// Identity, addresses and times of the fleet.
    pub fleet: FleetSettings,
}

impl ControlSettings {
    /// Settings of the configuration policy of the same node.
    pub fn configuration(&self) -> ConfigurationSettings {
        ConfigurationSettings {
            node: self.fleet.node.clone(),
            domain: self.fleet.domain.clone(),
            ..Default::default()
        }
    }

    /// The record by which the platform knows the node.
    pub fn record(&self) -> NodeRecord {
        NodeRecord {
            node: self.fleet.node.clone(),
            domain: self.fleet.domain.clone(),
            cell: self.fleet.cell.clone(),
            caller_address: self.fleet.caller_address.clone(),
            peer_address: self.fleet.peer_address.clone(),
            incarnation: self.fleet.incarnation,
            leaving: false,
        }
    }
}
