//! Simulated networks of nodes for the configuration and fleet tests.
#![allow(dead_code, unused_imports)]

mod configuration_network;
mod fleet_network;

pub use configuration_network::{ConfigurationNetwork, name};
pub use fleet_network::{FleetNetwork, LinkFaults, LoadLedger, message_size};
