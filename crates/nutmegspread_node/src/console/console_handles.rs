//! Access to the node for the console.

use super::{ConsoleOutcome, ConsoleState};
use nutmegspread_model::{ConfigurationDocument, Revision};
use std::pin::Pin;
use std::sync::Arc;

/// Future that returns the state to show.
pub type StateFuture = Pin<Box<dyn Future<Output = ConsoleState> + Send>>;
/// Future that applies a document and returns the outcome.
pub type ApplyFuture = Pin<Box<dyn Future<Output = ConsoleOutcome> + Send>>;

/// Closures and values of the node that the console uses.
#[derive(Clone)]
pub struct ConsoleHandles {
    /// Returns the current state.
    pub state: Arc<dyn Fn() -> StateFuture + Send + Sync>,
    /// Applies a document, provided that the given revision is still in force.
    pub apply: Arc<dyn Fn(ConfigurationDocument, Revision) -> ApplyFuture + Send + Sync>,
    /// Token with which operators sign in.
    pub token: Arc<str>,
}
