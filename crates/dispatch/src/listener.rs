//! Accepts links, a bounded number of handshakes at a time.
//!
//! After a change of leader all agents dial at once. A handshake costs
//! milliseconds of processor time, so if all ran side by side, each would end
//! late, and those that end after their dialler has given up would be wasted.

use {
    filbertbend_transport::link::{Handshake, Link, Socket},
    metrics::counter,
    spdlog::prelude::*,
    std::{pin::pin, rc::Rc, time::Duration},
    tokio::{
        sync::Semaphore,
        time::{timeout, timeout_at, Instant},
    },
};

/// How long a process that dials an entry waits for the link, and an agent for
/// its session. An entry drops handshakes that have waited for this long.
pub(crate) const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of handshakes in progress.
const MAX_CONCURRENT_HANDSHAKES: usize = 4;
/// How long a handshake counts towards [`MAX_CONCURRENT_HANDSHAKES`]. By then
/// the expensive part is done and the peer is slow or gone, which must not hold
/// up others.
const SLOT_TIMEOUT: Duration = Duration::from_millis(500);

/// A socket that accepts links.
pub(crate) struct Listener {
    socket: Socket,
    slots: Rc<Semaphore>,
}

/// An incoming link that waits for its handshake.
pub(crate) struct Incoming {
    handshake: Handshake,
    drop_at: Instant,
    slots: Rc<Semaphore>,
}

impl Listener {
    pub(crate) fn new(socket: Socket) -> Self {
        Self {
            socket,
            slots: Rc::new(Semaphore::new(MAX_CONCURRENT_HANDSHAKES)),
        }
    }

    /// Waits for the next incoming link; `None` once the socket is closed.
    pub(crate) async fn accept(&self) -> Option<Incoming> {
        let handshake = self.socket.accept().await?;
        Some(Incoming {
            handshake,
            drop_at: Instant::now() + OPEN_TIMEOUT,
            slots: self.slots.clone(),
        })
    }
}

impl Incoming {
    /// Completes the handshake when its turn comes. Returns `None` if it fails
    /// or the dialler has given up meanwhile.
    pub(crate) async fn complete(self) -> Option<Link> {
        // Permits are granted in the order of arrival.
        let permit = match timeout_at(self.drop_at, self.slots.acquire()).await {
            Ok(Ok(permit)) if Instant::now() < self.drop_at => permit,
            _ => {
                self.handshake.ignore();
                count("dropped");
                return None;
            }
        };
        let mut completing = pin!(self.handshake.complete());
        let completed = match timeout(SLOT_TIMEOUT, &mut completing).await {
            Ok(completed) => Ok(completed),
            Err(_) => {
                drop(permit);
                timeout_at(self.drop_at, completing).await
            }
        };
        match completed {
            Ok(Ok(link)) => {
                count("accepted");
                return Some(link);
            }
            Ok(Err(error)) => info!("link handshake failed", kv: { error: }),
            Err(_) => info!("link handshake failed", kv: { error: = "timed out" }),
        }
        count("failed");
        None
    }
}

fn count(result: &'static str) {
    counter!("filbertbend_handshakes_total", "result" => result).increment(1);
}
