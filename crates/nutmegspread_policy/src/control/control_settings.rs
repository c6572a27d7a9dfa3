//! Settings of a node's control state.

use crate::configuration::ConfigurationSettings;
use crate::fleet::FleetSettings;
use nutmegspread_model::NodeRecord;

/// Settings from which those of each control policy of the node are derived.
#[derive(Clone, Debug, Default)]
pub struct ControlSettings {
    /// Settings of the fleet policy, which include the node's identity and addresses.
    pub fleet: FleetSettings,
}

impl ControlSettings {
    /// Settings of this node's configuration policy.
    pub fn configuration(&self) -> ConfigurationSettings {
        ConfigurationSettings {
            node: self.fleet.node.clone(),
            domain: self.fleet.domain.clone(),
            ..Default::default()
        }
    }

    /// The record about itself that this node writes to the platform.
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
