//! What the console needs of the node.

use super::{ConsoleOutcome, ConsoleState};
use nutmegspread_model::{ConfigurationDocument, Revision};
use std::pin::Pin;
use std::sync::Arc;

/// Brings the state to show.
pub type StateFuture = Pin<Box<dyn Future<Output = ConsoleState> + Send>>;
/// Brings the end of an application.
pub type ApplyFuture = Pin<Box<dyn Future<Output = ConsoleOutcome> + Send>>;

/// Closures by which the console reaches the node.
#[derive(Clone)]
pub struct ConsoleHandles {
    /// Reads the state.
    pub state: Arc<dyn Fn() -> StateFuture + Send + Sync>,
    /// Applies a document if the given revision is still in force.
    pub apply: Arc<dyn Fn(ConfigurationDocument, Revision) -> ApplyFuture + Send + Sync>,
    /// Token that operators present.
    pub token: Arc<str>,
}
