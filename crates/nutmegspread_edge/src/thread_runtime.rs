//! The runtime of one thread.

use crate::EdgeError;
use tokio::runtime::{Builder, Runtime};

/// A runtime that runs on the calling thread alone.
///
/// # Errors
/// When the system gives no means to wait for events; `what` names the runtime.
pub fn thread_runtime(what: &'static str) -> Result<Runtime, EdgeError> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| EdgeError::Start { what, source })
}
