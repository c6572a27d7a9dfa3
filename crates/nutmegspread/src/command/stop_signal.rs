//! Waits for the signal of a planned stop.

use tokio::signal::unix::{SignalKind, signal};

/// Returns on SIGTERM or SIGINT.
///
/// # Errors
/// When the handlers cannot be installed.
pub async fn wait_for_stop() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
