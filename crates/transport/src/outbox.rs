//! The outgoing message queue of one link's control stream.

use {
    crate::link::{Error, Sender},
    filbertbend_protocol::message::Control,
    std::sync::Arc,
    tokio::sync::{mpsc, Notify},
};

/// Maximum number of messages queued for a control stream. A stream with a
/// longer backlog is treated like one that does not respond: further messages
/// are dropped, and their senders repeat them.
const QUEUE_LIMIT: usize = 1024;

/// The sending end of the queue, which never waits for the link.
#[derive(Clone, Debug)]
pub struct Outbox {
    messages: mpsc::Sender<Control>,
    retired: Arc<Notify>,
}

/// The receiving end of the queue, held by the task that writes to the stream.
#[derive(Debug)]
pub struct Queue {
    messages: mpsc::Receiver<Control>,
    retired: Arc<Notify>,
}

/// Creates the two ends of a queue.
pub fn channel() -> (Outbox, Queue) {
    let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
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
    /// Queues a message, or drops it if the queue is full. Every message of a
    /// control stream is repeated until it is answered, so dropping one only
    /// delays the answer.
    pub fn send(&self, message: Control) {
        let _ = self.messages.try_send(message);
    }

    /// Requests that the link is closed once its requests have ended.
    pub fn retire(&self) {
        self.retired.notify_one();
    }
}

impl Queue {
    /// Writes messages to `sender` until all clones of the [`Outbox`] have been
    /// dropped.
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

    /// Returns a handle that is notified when [`Outbox::retire`] is called.
    pub fn retired(&self) -> Arc<Notify> {
        self.retired.clone()
    }
}
