//! The commands of the `nutmegspread` binary, as a library so that tests can run them.
//!
//! [`command::DemoWorld`] starts stand-ins and nodes in one process:
//!
//! ```no_run
//! # async fn run() -> Result<(), nutmegspread::CommandError> {
//! let world = nutmegspread::command::DemoWorld::start().await?;
//! println!("{}", world.nodes[0].caller_address());
//! world.close().await;
//! # Ok(())
//! # }
//! ```

pub mod command;
mod command_error;
#[allow(missing_docs, reason = "the macro generates undocumented items")]
pub mod flags;

pub use command_error::CommandError;
