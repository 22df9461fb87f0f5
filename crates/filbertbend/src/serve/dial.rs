//! Links that this entry opens to the other entries.

use {
    super::control::{Handle, Input},
    filbertbend_coordination::membership::{Connection, Hello, Member},
    filbertbend_protocol::message::Control,
    filbertbend_transport::{
        link::{Error, Receiver, Socket},
        outbox,
        tls::Identity,
    },
    spdlog::prelude::*,
    std::{net::SocketAddr, sync::Arc},
    tokio::{runtime, sync::watch},
};

/// Opens links on the traffic threads.
#[derive(Clone)]
pub(crate) struct Dialler {
    /// The runtime of the traffic threads.
    pub(crate) runtime: runtime::Handle,
    /// The current TLS identity.
    pub(crate) identity: watch::Receiver<Arc<Identity>>,
    /// What this entry announces about itself.
    pub(crate) own: Member,
    /// The control thread.
    pub(crate) control: Handle,
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
            dialler.control.post(Input::Closed { connection });
        });
    }

    async fn serve(&self, connection: Connection, address: SocketAddr) -> Result<(), Error> {
        let identity = self.identity.borrow().clone();
        let socket = Socket::dialler(&identity)?;
        let link = socket.dial(address).await?;
        let (mut sender, receiver) = link.open().await?;
        let hello = Control::Hello(Hello::Entry(self.own.clone()));
        sender.send(&hello).await?;
        let (outbox, mut queue) = outbox::channel();
        let retired = queue.retired();
        self.control.post(Input::Opened {
            connection,
            link: link.clone(),
            outbox,
        });
        let result = tokio::select! {
            result = queue.write(&mut sender) => result,
            result = self.read(connection, receiver) => result,
            () = retired.notified() => Ok(()),
            () = link.record_traffic() => Ok(()),
        };
        link.close();
        socket.close().await;
        result
    }

    async fn read(&self, connection: Connection, mut receiver: Receiver) -> Result<(), Error> {
        while let Some(message) = receiver.receive::<Control>().await? {
            match message {
                Control::Ack(ack) => self.control.post(Input::Ack { connection, ack }),
                Control::Welcome { .. } => {}
                _ => warn!("unexpected message from an entry", kv: { connection: }),
            }
        }
        Ok(())
    }
}
