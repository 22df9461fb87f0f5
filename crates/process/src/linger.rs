//! Lingering close: a connection that is read for a while after its answer.

use {
    crate::clients::{Client, Eviction},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::Arc,
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

/// What a connection holds of its listener's limit, until it is dropped.
pub(crate) struct Place {
    _permit: Option<OwnedSemaphorePermit>,
    /// The connection, if its place may be given to another.
    pub(crate) client: Option<Arc<Client>>,
    /// Tells when the place is given to another connection, if it may be.
    pub(crate) eviction: Option<Eviction>,
}

impl Place {
    /// A place that others wait for.
    pub(crate) fn permit(permit: OwnedSemaphorePermit) -> Self {
        Self {
            _permit: Some(permit),
            client: None,
            eviction: None,
        }
    }

    /// A place that may be given to another connection.
    pub(crate) fn client(client: Arc<Client>, eviction: Eviction) -> Self {
        Self {
            _permit: None,
            client: Some(client),
            eviction: Some(eviction),
        }
    }
}

/// A caller's connection, with its place within the connection limit.
///
/// Closing a socket that has unread bytes resets the connection. The caller may
/// then lose the answer that is in transit, such as a refusal of a body that it
/// is still sending. When this value is dropped, a task shuts down the sending
/// side, then reads and discards data until the caller closes its side or a
/// limit is reached.
pub(crate) struct Lingering {
    /// `Some` until the value is dropped.
    stream: Option<TcpStream>,
    place: Option<Place>,
}

impl Lingering {
    /// Wraps `stream`; `place` is released once the stream has been closed.
    pub(crate) fn new(stream: TcpStream, place: Place) -> Self {
        Self {
            stream: Some(stream),
            place: Some(place),
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
        let place = self.place.take();
        let mut eviction = place.as_ref().and_then(|place| place.eviction.clone());
        if eviction.as_ref().is_some_and(Eviction::is_due) {
            return;
        }
        runtime.spawn(async move {
            tokio::select! {
                biased;
                () = evicted(&mut eviction) => {}
                _ = timeout(LINGER_TIMEOUT, discard_input(stream)) => {}
            }
            drop(place);
        });
    }
}

/// Waits until a connection must be closed; forever if it need not.
pub(crate) async fn evicted(eviction: &mut Option<Eviction>) {
    match eviction {
        Some(eviction) => eviction.wait().await,
        None => std::future::pending().await,
    }
}

async fn discard_input(mut stream: TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    tokio::io::copy(&mut stream.take(LINGER_LIMIT_BYTES), &mut tokio::io::sink()).await?;
    Ok(())
}
