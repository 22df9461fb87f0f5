//! A request body on its way to an agent, beside the wait for the answer.

use {
    axum::body::Bytes,
    filbertbend_protocol::message::Response,
    filbertbend_transport::{http::send_body, link::Sender},
    http_body::Body,
    http_body_util::BodyExt,
    std::sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    tokio::task::JoinHandle,
};

/// A body that is being sent; dropping it gives the request up, so that the
/// agent does not work for a caller that has gone.
pub(crate) struct Upload {
    task: Option<JoinHandle<()>>,
    failed: Arc<AtomicBool>,
}

impl Upload {
    /// Starts to send `body` after a head that has been sent.
    pub(crate) fn start<B>(mut sender: Sender, body: B) -> Self
    where
        B: Body<Data = Bytes, Error: Send> + Send + Unpin + 'static,
    {
        let failed = Arc::new(AtomicBool::new(false));
        let flag = failed.clone();
        // Set before the agent learns of it, because its answer may come at once.
        let body = body.map_err(move |_| flag.store(true, Ordering::SeqCst));
        let task = tokio::spawn(async move {
            let _ = send_body(&mut sender, body).await;
        });
        Self {
            task: Some(task),
            failed,
        }
    }

    /// Tells whether the caller's body broke off.
    pub(crate) fn body_failed(&self) -> bool {
        self.failed.load(Ordering::SeqCst)
    }

    /// Lets the upload go on after the head of the answer has arrived: an
    /// endpoint may answer while it still reads.
    pub(crate) fn release(mut self, response: &Response) {
        if matches!(response, Response::Head { .. }) {
            self.task = None;
        }
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}
