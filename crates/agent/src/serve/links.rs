//! Links to the entries: dialling, the control stream and request streams.

use {
    super::{
        check,
        control::{Handle, Input},
        endpoint,
    },
    filbertbend_coordination::membership::{Announcement, Connection, Hello},
    filbertbend_protocol::message::{Control, Preamble},
    filbertbend_transport::{
        link::{Error, Link, Receiver, Sender, Socket},
        outbox,
        tls::Identity,
    },
    spdlog::prelude::*,
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::{
        runtime,
        sync::{watch, Notify},
    },
};

/// Longest time that a retired link stays open until its requests end.
const RETIRE_LIMIT: Duration = Duration::from_secs(60);
/// How often a closing link or process checks whether requests are in progress.
const FINISH_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Opens links on the traffic threads.
#[derive(Clone)]
pub(crate) struct Dialler {
    /// The runtime of the traffic threads.
    pub(crate) runtime: runtime::Handle,
    /// The current TLS identity.
    pub(crate) identity: watch::Receiver<Arc<Identity>>,
    /// What the agent announces to the entries.
    pub(crate) announcement: Announcement,
    /// The number of slices, which must be that of every entry.
    pub(crate) slices: u16,
    /// The control thread.
    pub(crate) control: Handle,
    /// The endpoint that requests go to.
    pub(crate) endpoint: endpoint::Client,
    /// The requests in progress on all links, including undelivered answers.
    pub(crate) requests: Requests,
}

impl Dialler {
    /// Dials `address` from a new socket, and reports to the control thread when
    /// the link is open and when it has ended.
    pub(crate) fn dial(&self, connection: Connection, address: SocketAddr) {
        let dialler = self.clone();
        self.runtime.spawn(async move {
            if let Err(error) = dialler.serve(connection, address).await {
                debug!("link ended", kv: { address:, connection:, error: });
            }
            dialler.control.send(Input::Closed { connection }).await;
        });
    }

    async fn serve(&self, connection: Connection, address: SocketAddr) -> Result<(), Error> {
        let identity = self.identity.borrow().clone();
        let socket = Socket::dialler(&identity)?;
        let link = socket.dial(address).await?;
        // The endpoint would refuse requests beyond its connection limit.
        link.allow_streams(self.announcement.connections.0.max(1));
        let (mut sender, receiver) = link.open().await?;
        let hello = Control::Hello(Hello::Agent(self.announcement.clone()));
        sender.send(&hello).await?;
        let (outbox, mut queue) = outbox::channel();
        let retired = queue.retired();
        self.control
            .send(Input::Opened { connection, outbox })
            .await;
        let requests = Requests::default();
        let result = tokio::select! {
            result = queue.write(&mut sender) => result,
            result = self.read(connection, receiver) => result,
            result = self.accept(&link, &requests) => result,
            () = finish_retired(&retired, &requests) => Ok(()),
            () = link.record_traffic() => Ok(()),
        };
        link.close();
        socket.close().await;
        result
    }

    async fn read(&self, connection: Connection, mut receiver: Receiver) -> Result<(), Error> {
        while let Some(message) = receiver.receive::<Control>().await? {
            if let Control::Welcome { member, slices } = &message {
                if *slices != self.slices {
                    error!(
                        "entry has another number of slices; link not used",
                        kv: { entry: = member.entry, slices:, own: = self.slices }
                    );
                    return Ok(());
                }
            }
            self.control
                .send(Input::Received {
                    connection,
                    message,
                })
                .await;
        }
        Ok(())
    }

    async fn accept(&self, link: &Link, requests: &Requests) -> Result<(), Error> {
        loop {
            let (sender, receiver) = link.accept().await?;
            let in_progress = (requests.begin(), self.requests.begin());
            let dialler = self.clone();
            tokio::spawn(async move {
                dialler.serve_stream(sender, receiver).await;
                drop(in_progress);
            });
        }
    }

    async fn serve_stream(&self, mut sender: Sender, mut receiver: Receiver) {
        match receiver.receive::<Preamble>().await {
            Ok(Some(Preamble::Check(request))) => {
                let control = self.control.clone();
                let endpoint = self.endpoint.clone();
                check::serve(request, sender, receiver, control, endpoint).await;
            }
            Ok(_) => {
                warn!("stream does not begin with a check");
                sender.abort();
            }
            Err(error) => {
                debug!("stream cannot be read", kv: { error: });
                sender.abort();
            }
        }
    }
}

/// A shared counter of requests in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct Requests(Arc<AtomicUsize>);

impl Requests {
    fn begin(&self) -> InProgress {
        self.0.fetch_add(1, Ordering::SeqCst);
        InProgress(self.0.clone())
    }

    /// Waits for at most `limit` until no request is in progress, and returns how
    /// many still are.
    pub(crate) async fn finish(&self, limit: Duration) -> usize {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let left = self.0.load(Ordering::SeqCst);
            if left == 0 || tokio::time::Instant::now() >= deadline {
                return left;
            }
            tokio::time::sleep(FINISH_CHECK_INTERVAL).await;
        }
    }
}

/// Counts a request as in progress until it is dropped.
struct InProgress(Arc<AtomicUsize>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Returns once the link is retired and its last request has ended.
async fn finish_retired(retired: &Notify, requests: &Requests) {
    retired.notified().await;
    requests.finish(RETIRE_LIMIT).await;
}
