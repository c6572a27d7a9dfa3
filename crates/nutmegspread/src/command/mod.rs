//! The commands of the binary: one function each, and the demo deployment that tests reuse.

mod capacity_command;
mod check_configuration_command;
mod checked_document;
mod configuration_command;
mod demo_command;
mod demo_world;
mod edge_command;
mod load_command;
mod operator_client;
mod operator_command;
mod serve_command;
mod standin_command;
mod stop_signal;

pub use capacity_command::capacity;
pub use check_configuration_command::check_configuration;
pub use configuration_command::{check, diff};
pub use demo_command::demo;
pub use demo_world::{DEMO_DOMAINS, DEMO_SERVICES, DEMO_TOKEN, DemoSearcher, DemoWorld};
pub use edge_command::edge;
pub use load_command::load;
pub use operator_client::OperatorClient;
pub use operator_command::{apply, dump, status, wait_until_applied};
pub use serve_command::serve;
pub use standin_command::{standin_platform, standin_searcher};
