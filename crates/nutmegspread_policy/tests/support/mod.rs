//! Shared by the tests of the fleet.
#![allow(dead_code, unused_imports)]

mod fleet_network;

pub use fleet_network::{FleetNetwork, LinkFaults, LoadLedger, message_size};
