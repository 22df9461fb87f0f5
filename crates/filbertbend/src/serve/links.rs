//! Links that agents and other entries open to this entry.

use {
    super::{
        control::{Handle, Input},
        dispatcher::Dispatcher,
    },
    filbertbend_coordination::membership::{Connection, Hello, Member},
    filbertbend_protocol::message::{Control, Forwarded, Preamble},
    filbertbend_state::id,
    filbertbend_transport::{
        clock,
        link::{Error, Handshake, Link, Receiver, Sender, Socket},
        outbox::{self, Outbox},
    },
    spdlog::prelude::*,
    std::{
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::time::timeout,
};

/// How long a peer may take to send its hello after the handshake.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);

/// How many calls another entry may forward at the same time. A submitted order
/// occupies its stream until it has run.
const MAX_FORWARDED_CALLS: u32 = 1024;

/// Accepts links and serves them.
#[derive(Clone)]
pub(crate) struct Acceptor {
    /// What this entry announces about itself.
    pub(crate) own: Member,
    /// The number of slices.
    pub(crate) slices: u16,
    /// Admission, routing and the directory.
    pub(crate) dispatcher: Arc<Dispatcher>,
    /// The control thread.
    pub(crate) control: Handle,
    /// The number of the next accepted connection. Dialled connections use other
    /// numbers.
    pub(crate) connections: Arc<AtomicU64>,
}

impl Acceptor {
    /// Accepts links until the socket is closed.
    pub(crate) async fn run(self, socket: Socket) {
        while let Some(handshake) = socket.accept().await {
            let acceptor = self.clone();
            tokio::spawn(async move { acceptor.serve(handshake).await });
        }
    }

    async fn serve(self, handshake: Handshake) {
        let accepted = clock::monotonic();
        let link = match handshake.complete().await {
            Ok(link) => link,
            Err(error) => {
                warn!("link refused", kv: { error: });
                return;
            }
        };
        let received = timeout(HELLO_TIMEOUT, receive_hello(&link)).await;
        let (mut sender, receiver, hello) = match received {
            Ok(Ok(parts)) => parts,
            Ok(Err(error)) => {
                warn!("no hello received on a link", kv: { peer: = link.peer(), error: });
                return;
            }
            Err(_) => {
                warn!("no hello received on a link", kv: { peer: = link.peer() });
                return;
            }
        };
        let welcome = Control::Welcome {
            member: self.own.clone(),
            slices: self.slices,
        };
        if sender.send(&welcome).await.is_err() {
            return;
        }
        let connection = Connection(self.connections.fetch_add(1, Ordering::Relaxed));
        let (outbox, mut queue) = outbox::channel();
        let peer = Peer {
            link: link.clone(),
            outbox,
        };
        let worker = self.register(connection, accepted, hello, peer);
        let ended = tokio::select! {
            result = queue.write(&mut sender) => result,
            result = self.read(connection, &worker, receiver) => result,
            result = self.serve_streams(&link) => result,
            () = link.record_traffic() => Ok(()),
        };
        if let Err(error) = ended {
            debug!("link ended", kv: { connection:, error: });
        }
        self.dispatcher.link_closed(connection);
        link.close();
    }

    /// Registers the link and returns the peer's worker if the peer is an agent.
    fn register(
        &self,
        connection: Connection,
        accepted: filbertbend_state::time::Instant,
        hello: Hello,
        peer: Peer,
    ) -> Option<id::Worker> {
        let worker = match &hello {
            Hello::Agent(announcement) => Some(announcement.worker.clone()),
            Hello::Entry(_) => None,
        };
        if worker.is_none() {
            peer.link.allow_streams(MAX_FORWARDED_CALLS);
        }
        self.dispatcher
            .link_opened(connection, accepted, hello, peer);
        worker
    }

    async fn read(
        &self,
        connection: Connection,
        worker: &Option<id::Worker>,
        mut receiver: Receiver,
    ) -> Result<(), Error> {
        while let Some(message) = receiver.receive::<Control>().await? {
            match (message, worker) {
                (Control::Heartbeat(heartbeat), worker) => {
                    self.dispatcher
                        .heartbeat(connection, worker.as_ref(), heartbeat);
                }
                (Control::Peaks(peaks), Some(_)) => self.control.post(Input::Peaks(peaks)),
                (
                    Control::Report {
                        slice,
                        attempt,
                        report,
                    },
                    Some(worker),
                ) => {
                    let input = Input::Report {
                        worker: worker.clone(),
                        slice,
                        attempt,
                        report,
                    };
                    self.control.post(input);
                }
                (
                    Control::Inventory {
                        slice,
                        epoch,
                        attempts,
                    },
                    Some(worker),
                ) => {
                    let input = Input::Inventory {
                        worker: worker.clone(),
                        slice,
                        epoch,
                        attempts,
                    };
                    self.control.post(input);
                }
                _ => warn!("unexpected message on a link", kv: { connection: }),
            }
        }
        Ok(())
    }

    /// Serves the calls that another entry forwards.
    async fn serve_streams(&self, link: &Link) -> Result<(), Error> {
        loop {
            let (sender, receiver) = link.accept().await?;
            let control = self.control.clone();
            tokio::spawn(async move {
                if let Err(error) = serve_forwarded(control, sender, receiver).await {
                    debug!("forwarded call failed", kv: { error: });
                }
            });
        }
    }
}

/// The sending side of a link.
#[derive(Clone)]
pub(crate) struct Peer {
    /// Opens request streams.
    pub(crate) link: Link,
    /// Queue of messages on the control stream.
    pub(crate) outbox: Outbox,
}

async fn receive_hello(link: &Link) -> Result<(Sender, Receiver, Hello), Error> {
    let (sender, mut receiver) = link.accept().await?;
    match receiver.receive::<Control>().await? {
        Some(Control::Hello(hello)) => Ok((sender, receiver, hello)),
        _ => Err(Error::Truncated),
    }
}

async fn serve_forwarded(
    control: Handle,
    mut sender: Sender,
    mut receiver: Receiver,
) -> Result<(), Error> {
    let Some(Preamble::Forward {
        slice,
        call,
        remaining,
    }) = receiver.receive::<Preamble>().await?
    else {
        sender.abort();
        return Ok(());
    };
    let answered = control.call_here(slice, call, remaining).await;
    let answer = answered.map_or(Forwarded::NotOwner, Forwarded::Answer);
    sender.send(&answer).await?;
    sender.finish();
    Ok(())
}
