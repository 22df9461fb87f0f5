//! A response body that reports how it ended.

use {
    axum::body::Bytes,
    http_body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{ready, Context, Poll},
    },
};

/// Wraps a body and calls a function once: with true when the body is complete,
/// with false when it fails or is dropped early.
///
/// A server does not poll a body beyond its declared length, so the last byte
/// counts as the end.
pub(crate) struct Watched<B, F: FnOnce(bool)> {
    body: B,
    /// Remaining bytes, if the length is known.
    left: Option<u64>,
    ended: Option<F>,
}

impl<B, F: FnOnce(bool)> Watched<B, F> {
    /// Wraps `body`, which has `length` bytes if the length is known.
    pub(crate) fn new(body: B, length: Option<u64>, ended: F) -> Self {
        let mut watched = Self {
            body,
            left: length,
            ended: Some(ended),
        };
        watched.count(0);
        watched
    }

    fn count(&mut self, bytes: u64) {
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(bytes);
            if *left == 0 {
                self.end(true);
            }
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
            // Trailers are the last frame; a server may not poll any further.
            Some(Ok(frame)) if frame.is_trailers() => self.end(true),
            Some(Ok(frame)) => self.count(frame.data_ref().map_or(0, Bytes::len) as u64),
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
