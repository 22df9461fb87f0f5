//! Signal handling: the first signal drains the process, and the second one
//! ends it immediately.

use {
    spdlog::prelude::*,
    std::io,
    tokio::{
        signal::unix::{signal, SignalKind},
        sync::watch,
    },
};

/// Exit code after a second signal: 128 plus the number of SIGINT.
const EXIT_INTERRUPTED: i32 = 130;

/// Starts to handle SIGTERM and SIGINT. The value of the receiver becomes true
/// at the first one.
///
/// # Errors
///
/// Returns an error if a signal handler cannot be installed.
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
                warn!("second signal received; exiting immediately");
                std::process::exit(EXIT_INTERRUPTED);
            }
            info!("signal received; draining");
        }
    });
    Ok(stopping)
}
