//! A body that tells how it ended.

use {
    axum::body::Bytes,
    http_body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{ready, Context, Poll},
    },
};

/// Calls a function once: with true when the body was complete, with false
/// when it broke or was dropped before its end.
pub(crate) struct Watched<B, F: FnOnce(bool)> {
    body: B,
    ended: Option<F>,
}

impl<B, F: FnOnce(bool)> Watched<B, F> {
    /// Watches `body`.
    pub(crate) fn new(body: B, ended: F) -> Self {
        Self {
            body,
            ended: Some(ended),
        }
    }

    fn end(&mut self, complete: bool) {
        if let Some(ended) = self.ended.take() {
            ended(complete);
        }
    }
}

impl<B, F> Body for Watched<B, F>
where
    B: Body<Data = Bytes> + Unpin,
    F: FnOnce(bool) + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            None => self.end(true),
            Some(Err(_)) => self.end(false),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B, F: FnOnce(bool)> Drop for Watched<B, F> {
    fn drop(&mut self) {
        self.end(false);
    }
}
