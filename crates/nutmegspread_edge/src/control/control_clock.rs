//! Clock of the control thread.

use std::time::Instant;

/// Current time of the runtime, which a test may pause and advance.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
