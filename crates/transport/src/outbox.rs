//! The queue of messages for the control stream of one link.

use {
    crate::link::{Error, Sender},
    filbertbend_protocol::message::Control,
    std::sync::Arc,
    tokio::sync::{mpsc, Notify},
};

/// Messages that may wait for a control stream. A stream that is this far
/// behind is as good as silent, and what is dropped is sent again.
const LIMIT: usize = 1024;

/// Where messages for one link are left, without waiting for the link.
#[derive(Clone, Debug)]
pub struct Outbox {
    messages: mpsc::Sender<Control>,
    retired: Arc<Notify>,
}

/// The other end of an [`Outbox`], held by the task that writes.
#[derive(Debug)]
pub struct Queue {
    messages: mpsc::Receiver<Control>,
    retired: Arc<Notify>,
}

/// Makes the two ends of a queue.
pub fn channel() -> (Outbox, Queue) {
    let (sender, receiver) = mpsc::channel(LIMIT);
    let retired = Arc::new(Notify::new());
    let outbox = Outbox {
        messages: sender,
        retired: retired.clone(),
    };
    let queue = Queue {
        messages: receiver,
        retired,
    };
    (outbox, queue)
}

impl Outbox {
    /// Leaves a message, dropping it if the link is too far behind. Every
    /// message of a control stream is repeated until it is answered, so a
    /// dropped one costs time only.
    pub fn send(&self, message: Control) {
        let _ = self.messages.try_send(message);
    }

    /// Asks for the link to be closed once its requests have ended.
    pub fn retire(&self) {
        self.retired.notify_one();
    }
}

impl Queue {
    /// Writes messages to `sender` until the outbox is gone or the link broken.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is broken.
    pub async fn write(&mut self, sender: &mut Sender) -> Result<(), Error> {
        while let Some(message) = self.messages.recv().await {
            sender.send(&message).await?;
        }
        Ok(())
    }

    /// Returns a handle that is notified when the link is to be closed.
    pub fn retired(&self) -> Arc<Notify> {
        self.retired.clone()
    }
}
