//! QUIC connections between filbertbend's processes, and framed messages on
//! their streams.

use {
    crate::tls::{Identity, SERVER_NAME},
    bytes::Bytes,
    filbertbend_protocol::wire::{self, Header, HEADER_BYTES},
    metrics::counter,
    serde::{de::DeserializeOwned, Serialize},
    std::{io, net::SocketAddr, time::Duration},
};

/// How long opening a connection may take before it counts as failed.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often the traffic of a link is added to the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// The stream error code that tells the peer to abort a request.
const ABORT_CODE: u32 = 1;

/// A failed connection or stream.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The UDP socket could not be opened.
    #[error("cannot open a socket at {address}: {source}")]
    Socket {
        /// The local address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// No connection to the peer could be opened.
    #[error("cannot dial {address}: {reason}")]
    Dial {
        /// The address of the peer.
        address: SocketAddr,
        /// Why the connection failed.
        reason: String,
    },
    /// The connection was lost or closed.
    #[error("connection lost: {0}")]
    Connection(#[from] quinn::ConnectionError),
    /// The stream was reset, or its connection lost, while writing.
    #[error("stream broken: {0}")]
    Write(#[from] quinn::WriteError),
    /// The stream was reset, or its connection lost, while reading.
    #[error("stream broken: {0}")]
    Read(#[from] quinn::ReadError),
    /// The stream ended in the middle of a frame.
    #[error("stream ended in the middle of a frame")]
    Truncated,
    /// A frame could not be encoded or decoded.
    #[error(transparent)]
    Frame(#[from] wire::Error),
}

/// A UDP socket that dials links and, if it listens, accepts them.
#[derive(Clone, Debug)]
pub struct Socket {
    endpoint: quinn::Endpoint,
}

impl Socket {
    /// Opens a socket that accepts links at `address`; it can also dial.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Socket`] if the address cannot be bound.
    pub fn listen(address: SocketAddr, identity: &Identity) -> Result<Self, Error> {
        let mut endpoint = quinn::Endpoint::server(identity.server.clone(), address)
            .map_err(|source| Error::Socket { address, source })?;
        endpoint.set_default_client_config(identity.client.clone());
        Ok(Self { endpoint })
    }

    /// Opens a socket that only dials. Each call binds a new port, because a
    /// network path that drops all packets may keep dropping those of the
    /// former port.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Socket`] if no port can be bound.
    pub fn dialler(identity: &Identity) -> Result<Self, Error> {
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut endpoint =
            quinn::Endpoint::client(address).map_err(|source| Error::Socket { address, source })?;
        endpoint.set_default_client_config(identity.client.clone());
        Ok(Self { endpoint })
    }

    /// Uses the keys of `identity` for links opened after this call.
    pub fn reload(&mut self, identity: &Identity) {
        self.endpoint
            .set_server_config(Some(identity.server.clone()));
        self.endpoint
            .set_default_client_config(identity.client.clone());
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket is closed.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Opens a link to the process at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Dial`] if no link is open within [`DIAL_TIMEOUT`].
    pub async fn dial(&self, address: SocketAddr) -> Result<Link, Error> {
        self.dial_within(address, DIAL_TIMEOUT).await
    }

    /// Opens a link to the process at `address`, which may be so busy that it
    /// completes the handshake late.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Dial`] if no link is open within `limit`.
    pub async fn dial_within(&self, address: SocketAddr, limit: Duration) -> Result<Link, Error> {
        let failed = |reason: String| Error::Dial { address, reason };
        let connecting = self
            .endpoint
            .connect(address, SERVER_NAME)
            .map_err(|error| failed(error.to_string()))?;
        match tokio::time::timeout(limit, connecting).await {
            Ok(Ok(connection)) => Ok(Link { connection }),
            Ok(Err(error)) => Err(failed(error.to_string())),
            Err(_) => Err(failed("timed out".to_owned())),
        }
    }

    /// Waits for the next incoming link, whose handshake is not complete yet;
    /// `None` once the socket is closed.
    pub async fn accept(&self) -> Option<Handshake> {
        self.endpoint.accept().await.map(Handshake)
    }

    /// Closes the socket and all its links, and waits until the peers are
    /// notified.
    pub async fn close(&self) {
        self.endpoint.close(0_u8.into(), b"closing");
        self.endpoint.wait_idle().await;
    }
}

/// An incoming link whose handshake is not complete yet.
pub struct Handshake(quinn::Incoming);

impl Handshake {
    /// Completes the handshake, which authenticates the peer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connection`] if the peer did not authenticate.
    pub async fn complete(self) -> Result<Link, Error> {
        let connection = self.0.await?;
        Ok(Link { connection })
    }

    /// Drops the incoming link without an answer to the peer, which is expected
    /// to have given up.
    pub fn ignore(self) {
        self.0.ignore();
    }
}

/// An authenticated connection to a peer.
#[derive(Clone, Debug)]
pub struct Link {
    connection: quinn::Connection,
}

impl Link {
    /// Opens a bidirectional stream.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connection`] if the connection is lost.
    pub async fn open(&self) -> Result<(Sender, Receiver), Error> {
        let (send, receive) = self.connection.open_bi().await?;
        Ok((Sender { stream: send }, Receiver { stream: receive }))
    }

    /// Waits for a stream that the peer opens.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connection`] if the connection is lost.
    pub async fn accept(&self) -> Result<(Sender, Receiver), Error> {
        let (send, receive) = self.connection.accept_bi().await?;
        Ok((Sender { stream: send }, Receiver { stream: receive }))
    }

    /// Sets how many streams the peer may have open at once.
    pub fn allow_streams(&self, count: u32) {
        self.connection.set_max_concurrent_bi_streams(count.into());
    }

    /// Returns the peer's address.
    pub fn peer(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    /// Returns a number that identifies this link within the process.
    pub fn id(&self) -> usize {
        self.connection.stable_id()
    }

    /// Returns the bytes sent and received so far, including QUIC packet headers
    /// but not those of UDP and IP.
    pub fn traffic(&self) -> (u64, u64) {
        let stats = self.connection.stats();
        (stats.udp_tx.bytes, stats.udp_rx.bytes)
    }

    /// Adds the link's traffic to the process's metrics until the link is
    /// closed.
    pub async fn record_traffic(&self) {
        let sent = counter!("filbertbend_link_bytes_total", "direction" => "sent");
        let received = counter!("filbertbend_link_bytes_total", "direction" => "received");
        let mut counted = (0, 0);
        loop {
            let closed = tokio::time::timeout(METRICS_INTERVAL, self.closed()).await;
            let now = self.traffic();
            sent.increment(now.0 - counted.0);
            received.increment(now.1 - counted.1);
            counted = now;
            if closed.is_ok() {
                return;
            }
        }
    }

    /// Waits until the link is closed by either side or lost.
    pub async fn closed(&self) {
        self.connection.closed().await;
    }

    /// Closes the link at once, with all its streams.
    pub fn close(&self) {
        self.connection.close(0_u8.into(), b"closing");
    }
}

/// The sending half of a stream.
#[derive(Debug)]
pub struct Sender {
    stream: quinn::SendStream,
}

impl Sender {
    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too large or the stream broken.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), Error> {
        self.send_frame(wire::encode(message)?).await
    }

    /// Sends one message that is already encoded as a frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is broken.
    pub async fn send_frame(&mut self, frame: Bytes) -> Result<(), Error> {
        Ok(self.stream.write_chunk(frame).await?)
    }

    /// Ends the stream after the data sent so far.
    pub fn finish(&mut self) {
        // Fails only if the stream has already been finished or reset.
        let _ = self.stream.finish();
    }

    /// Resets the stream, so that the peer does not take it as complete.
    pub fn abort(&mut self) {
        let _ = self.stream.reset(ABORT_CODE.into());
    }

    /// Waits until the peer stops reading the stream or has acknowledged all of
    /// it.
    pub async fn stopped(&self) {
        let _ = self.stream.stopped().await;
    }
}

/// The receiving half of a stream.
#[derive(Debug)]
pub struct Receiver {
    stream: quinn::RecvStream,
}

impl Receiver {
    /// Receives one message, or `None` if the stream ended between frames.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is broken, ends in the middle of a frame,
    /// or holds a frame that does not decode as a `T`.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        let mut header = [0; HEADER_BYTES];
        match self.stream.read_exact(&mut header).await {
            Ok(()) => {}
            Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
            Err(error) => return Err(read_error(error)),
        }
        let header = Header::decode(header)?;
        let mut body = vec![0; header.length];
        self.stream
            .read_exact(&mut body)
            .await
            .map_err(read_error)?;
        Ok(Some(wire::decode(&body)?))
    }

    /// Tells the peer to stop sending on this stream.
    pub fn stop(&mut self) {
        let _ = self.stream.stop(ABORT_CODE.into());
    }
}

fn read_error(error: quinn::ReadExactError) -> Error {
    match error {
        quinn::ReadExactError::FinishedEarly(_) => Error::Truncated,
        quinn::ReadExactError::ReadError(error) => Error::Read(error),
    }
}
