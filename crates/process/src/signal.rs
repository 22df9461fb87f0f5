//! Signals: the first one drains the process, the second one ends it at once.

use {
    spdlog::prelude::*,
    std::io,
    tokio::{
        signal::unix::{signal, SignalKind},
        sync::watch,
    },
};

/// Exit code of a process that a second signal ended.
const INTERRUPTED: i32 = 130;

/// Starts to listen; the receiver turns true at the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signals cannot be handled.
pub fn listen() -> io::Result<watch::Receiver<bool>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if stop.send_replace(true) {
                warn!("second signal; ending at once");
                std::process::exit(INTERRUPTED);
            }
            info!("signal received; draining");
        }
    });
    Ok(stopping)
}
