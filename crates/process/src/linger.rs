//! Lingering close: a connection that is read for a while after its answer.

use {
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
        net::TcpStream,
        runtime::Handle,
        sync::OwnedSemaphorePermit,
        time::timeout,
    },
};

/// How long a connection is read after its sending side was shut down.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum data read after the sending side was shut down, in bytes.
const LINGER_LIMIT_BYTES: u64 = 64 << 20;

/// A caller's connection, with its permit from the connection limit.
///
/// Closing a socket that has unread bytes resets the connection. The caller may
/// then lose the answer that is in transit, such as a refusal of a body that it
/// is still sending. When this value is dropped, a task shuts down the sending
/// side, then reads and discards data until the caller closes its side or a
/// limit is reached.
pub(crate) struct Lingering {
    /// `Some` until the value is dropped.
    stream: Option<TcpStream>,
    permit: Option<OwnedSemaphorePermit>,
}

impl Lingering {
    /// Wraps `stream`; `permit` is released once the stream has been closed.
    pub(crate) fn new(stream: TcpStream, permit: OwnedSemaphorePermit) -> Self {
        Self {
            stream: Some(stream),
            permit: Some(permit),
        }
    }

    fn stream(self: Pin<&mut Self>) -> io::Result<Pin<&mut TcpStream>> {
        let stream = self.get_mut().stream.as_mut();
        stream
            .map(Pin::new)
            .ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl AsyncRead for Lingering {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream()?.poll_read(context, buffer)
    }
}

impl AsyncWrite for Lingering {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream
            .as_ref()
            .is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_shutdown(context)
    }
}

impl Drop for Lingering {
    fn drop(&mut self) {
        let (Some(stream), Ok(runtime)) = (self.stream.take(), Handle::try_current()) else {
            return;
        };
        let permit = self.permit.take();
        runtime.spawn(async move {
            let _ = timeout(LINGER_TIMEOUT, discard_input(stream)).await;
            drop(permit);
        });
    }
}

async fn discard_input(mut stream: TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    tokio::io::copy(&mut stream.take(LINGER_LIMIT_BYTES), &mut tokio::io::sink()).await?;
    Ok(())
}
