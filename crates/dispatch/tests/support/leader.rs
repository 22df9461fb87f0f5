//! A leader whose behaviour is given by the test.

use {
    super::Memory,
    filbertbend_dispatch::key,
    filbertbend_transport::{
        link::{Link, Receiver, Sender, Socket},
        tls::Identity,
    },
    filbertbend_workload::{id::Epoch, message::Request, record::Leader},
    std::{cell::Cell, future::Future, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Returns an address of this machine with a port that the system chooses.
pub(crate) fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// A leader whose behaviour on each link is given by the test. Counts the links.
pub(crate) struct FakeLeader {
    links: Rc<Cell<usize>>,
    pub(crate) address: SocketAddr,
}

impl FakeLeader {
    /// Starts the leader, which serves its links with `serve`. `serve` gets the
    /// number of the link, from 1.
    pub(crate) fn start<F: Future<Output = ()> + 'static>(
        identity: &Identity,
        serve: impl Fn(usize, Link) -> F + 'static,
    ) -> Self {
        Self::start_late(identity, Duration::ZERO, serve)
    }

    /// Starts a leader like [`FakeLeader::start`] that begins each handshake
    /// `delay` after it was dialled.
    pub(crate) fn start_late<F: Future<Output = ()> + 'static>(
        identity: &Identity,
        delay: Duration,
        serve: impl Fn(usize, Link) -> F + 'static,
    ) -> Self {
        let socket = Socket::listen(loopback(), identity).unwrap();
        let address = socket.address().unwrap();
        let links = Rc::new(Cell::new(0));
        let count = links.clone();
        tokio::task::spawn_local(async move {
            while let Some(handshake) = socket.accept().await {
                sleep(delay).await;
                let Ok(link) = handshake.complete().await else {
                    continue;
                };
                count.set(count.get() + 1);
                tokio::task::spawn_local(serve(count.get(), link));
            }
        });
        Self { links, address }
    }

    pub(crate) fn links(&self) -> usize {
        self.links.get()
    }
}

/// Accepts the stream of a link and reads its first message.
pub(crate) async fn open(link: &Link) -> Option<(Sender, Receiver)> {
    let (sender, mut receiver) = link.accept().await.ok()?;
    receiver.receive::<Request>().await.ok()??;
    Some((sender, receiver))
}

/// Names the process at `address` as the leader.
pub(crate) fn publish(store: &Memory, address: SocketAddr) {
    publish_successor(store, address, None);
}

/// Names the process at `address` as the leader, and the one at `former` as its
/// predecessor.
pub(crate) fn publish_successor(store: &Memory, address: SocketAddr, former: Option<SocketAddr>) {
    let leader = Leader {
        epoch: Epoch(1),
        node: "leader".into(),
        address,
        former,
    };
    store.put(key::LEADER, postcard::to_stdvec(&leader).unwrap());
}
