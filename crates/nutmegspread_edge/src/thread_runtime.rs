//! Single-threaded async runtimes.

use crate::EdgeError;
use tokio::runtime::{Builder, Runtime};

/// Creates a runtime that runs all tasks on the calling thread.
///
/// # Errors
/// When the operating system cannot provide the event queue; `what` names the runtime in the error.
pub fn thread_runtime(what: &'static str) -> Result<Runtime, EdgeError> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| EdgeError::Start { what, source })
}
