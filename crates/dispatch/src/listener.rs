//! Accepts links, a bounded number of handshakes at a time.
//!
//! After a change of leader all agents dial at once. A handshake costs
//! milliseconds of processor time, so if all ran side by side, each would end
//! late, and those that end after their dialler has given up would be wasted.
//! For the same reason the newest is first, and those whose dialler is about to
//! give up are dropped.

use {
    crate::turns::{Turn, Turns},
    filbertbend_transport::link::{Handshake, Link, Socket},
    metrics::{counter, histogram},
    spdlog::prelude::*,
    std::{pin::pin, rc::Rc, time::Duration},
    tokio::time::{sleep_until, timeout, timeout_at, Instant},
};

/// How long a process that dials an entry waits for the link, and an agent then
/// for its session.
pub(crate) const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of handshakes in progress.
const MAX_CONCURRENT_HANDSHAKES: usize = 4;
/// How long a handshake counts towards [`MAX_CONCURRENT_HANDSHAKES`]. By then
/// the expensive part is done and the peer is slow or gone, which must not hold
/// up others. One whose dialler waits no longer than this is not begun.
const TURN_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an incoming link is kept after its dialler has given up. The
/// dialler's last packets, which may be late, would otherwise be taken for
/// another link.
const GONE_DELAY: Duration = Duration::from_secs(1);

/// A socket that accepts links.
pub(crate) struct Listener {
    socket: Socket,
    turns: Rc<Turns>,
}

/// An incoming link that waits for its handshake.
pub(crate) struct Incoming {
    handshake: Handshake,
    drop_at: Instant,
    turns: Rc<Turns>,
}

impl Listener {
    pub(crate) fn new(socket: Socket) -> Self {
        Self {
            socket,
            turns: Rc::new(Turns::new(MAX_CONCURRENT_HANDSHAKES)),
        }
    }

    /// Waits for the next incoming link; `None` once the socket is closed.
    pub(crate) async fn accept(&self) -> Option<Incoming> {
        let handshake = self.socket.accept().await?;
        Some(Incoming {
            handshake,
            drop_at: Instant::now() + OPEN_TIMEOUT,
            turns: self.turns.clone(),
        })
    }
}

impl Incoming {
    /// Completes the handshake when its turn comes. Returns `None` if it fails
    /// or the dialler has given up meanwhile.
    pub(crate) async fn complete(self) -> Option<Link> {
        let begin_by = self.drop_at - TURN_TIMEOUT;
        let turn = timeout_at(begin_by, self.turns.wait()).await;
        let in_time = |_: &Turn| Instant::now() < begin_by;
        // A turn that comes too late is free for others at once.
        let Some(turn) = turn.ok().and_then(Result::ok).filter(in_time) else {
            count("dropped");
            sleep_until(self.drop_at + GONE_DELAY).await;
            self.handshake.ignore();
            return None;
        };
        let begun = Instant::now();
        let waited = begun - (self.drop_at - OPEN_TIMEOUT);
        histogram!("filbertbend_handshake_wait_seconds").record(waited.as_secs_f64());
        let mut completing = pin!(self.handshake.complete());
        let completed = match timeout(TURN_TIMEOUT, &mut completing).await {
            Ok(completed) => Ok(completed),
            Err(_) => {
                drop(turn);
                timeout_at(self.drop_at, completing).await
            }
        };
        let (result, error) = match completed {
            Ok(Ok(link)) => {
                count("accepted");
                return Some(link);
            }
            Ok(Err(error)) => ("failed", error.to_string()),
            Err(_) => ("timed_out", "timed out".to_owned()),
        };
        count(result);
        let (waited, took) = (
            waited.as_millis() as u64,
            begun.elapsed().as_millis() as u64,
        );
        info!("link handshake failed", kv: { error: = error, waited_ms = waited, took_ms = took });
        None
    }
}

fn count(result: &'static str) {
    counter!("filbertbend_handshakes_total", "result" => result).increment(1);
}
