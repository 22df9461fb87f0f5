//! Sends a request body to an agent while the answer is awaited.

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

/// A body that is being sent. Dropping it aborts the request, so that the agent
/// does not work for a caller that has disconnected.
pub(crate) struct Upload {
    task: Option<JoinHandle<()>>,
    failed: Arc<AtomicBool>,
}

impl Upload {
    /// Starts sending `body` on a stream whose head has been sent.
    pub(crate) fn start<B>(mut sender: Sender, body: B) -> Self
    where
        B: Body<Data = Bytes, Error: Send> + Send + Unpin + 'static,
    {
        let failed = Arc::new(AtomicBool::new(false));
        let flag = failed.clone();
        // The flag is set before the agent sees the failure, because the agent may
        // answer at once.
        let body = body.map_err(move |_| flag.store(true, Ordering::SeqCst));
        let task = tokio::spawn(async move {
            let _ = send_body(&mut sender, body).await;
        });
        Self {
            task: Some(task),
            failed,
        }
    }

    /// Tells whether reading the caller's body failed.
    pub(crate) fn body_failed(&self) -> bool {
        self.failed.load(Ordering::SeqCst)
    }

    /// Lets the upload continue in the background if `response` is the head of an
    /// endpoint's answer: an endpoint may answer before it has read the body.
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
