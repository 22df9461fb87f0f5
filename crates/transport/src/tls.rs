//! Keys and certificates for mutual TLS between filbertbend's processes.
//!
//! Every process has a certificate for the name [`SERVER_NAME`], issued by one
//! private authority. Addresses are discovered at run time, so certificates
//! cannot name them. A process without such a certificate cannot open a
//! connection.

use {
    quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig},
    rustls::{
        pki_types::{pem::PemObject, CertificateDer, PrivateKeyDer},
        server::WebPkiClientVerifier,
        RootCertStore,
    },
    std::{
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
};

/// Maximum number of incoming links that wait for their handshake. After a
/// change of leader, all agents of a deployment dial at once.
const MAX_INCOMING: usize = 8 << 10;
/// Memory for the packets of one incoming link, in bytes. Until its handshake, a
/// peer sends little more than one packet, and sends it again.
const INCOMING_BUFFER_BYTES: u64 = 16 << 10;
/// Memory for the packets of all incoming links together, in bytes.
const INCOMING_BUFFERS_BYTES: u64 = 8 << 20;
/// The DNS name in every certificate, which the dialling process verifies.
pub const SERVER_NAME: &str = "filbertbend";
/// The ALPN identifier of the links.
const ALPN: &[u8] = b"filbertbend/1";
/// Streams that a peer may have open at once until the process allows more.
/// The QUIC library allocates about 100 bytes for each allowed stream. At
/// thousands of connections, that is most of the memory of an entry.
const INITIAL_STREAM_LIMIT: u32 = 4;
/// A connection that receives no packet for this long is closed. It is longer
/// than the membership timeouts, which decide earlier whether the peer is usable.
const IDLE_TIMEOUT_MS: u32 = 15_000;
/// Flow-control window of a stream: data that a sender may have unacknowledged
/// on it, in bytes. It covers a 100 Mbit/s flow over an 80 ms round trip.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// A key or certificate that could not be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read as PEM.
    #[error("cannot read {path}: {source}")]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The I/O or PEM error.
        source: rustls::pki_types::pem::Error,
    },
    /// The key, certificate and authority are invalid or do not match.
    #[error("key, certificate and authority do not match: {0}")]
    Mismatch(Box<dyn std::error::Error + Send + Sync>),
}

/// Paths of the PEM files of the certificate, its key and the authority.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Files {
    /// The certificate of this process, followed by any intermediate ones.
    pub certificate: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
    /// The root certificates of the private authority.
    pub authority: PathBuf,
}

/// The QUIC configuration of a certificate, its key and its authority.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The configuration for accepted connections.
    pub server: quinn::ServerConfig,
    /// The configuration for dialled connections.
    pub client: quinn::ClientConfig,
}

impl Identity {
    /// Reads a certificate, its key and its authority from `files`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if a file cannot be read or they do not match.
    pub fn load(files: &Files) -> Result<Self, Error> {
        let chain = load_certificates(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key).map_err(|source| Error::File {
            path: files.key.clone(),
            source,
        })?;
        let mut roots = RootCertStore::empty();
        for root in load_certificates(&files.authority)? {
            roots.add(root).map_err(mismatch)?;
        }
        Self::new(chain, key, roots)
    }

    /// Reads a certificate, its key and its authority from PEM text.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if one cannot be parsed or they do not match.
    pub fn from_pem(certificate: &str, key: &str, authority: &str) -> Result<Self, Error> {
        let parse = |text: &str| -> Result<Vec<CertificateDer<'static>>, Error> {
            CertificateDer::pem_slice_iter(text.as_bytes())
                .map(|found| found.map_err(mismatch))
                .collect()
        };
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(mismatch)?;
        let mut roots = RootCertStore::empty();
        for root in parse(authority)? {
            roots.add(root).map_err(mismatch)?;
        }
        Self::new(parse(certificate)?, key, roots)
    }

    fn new(
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
        roots: RootCertStore,
    ) -> Result<Self, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::new(roots);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(mismatch)?;
        let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(mismatch)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(mismatch)?;
        server.alpn_protocols = vec![ALPN.to_vec()];
        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(mismatch)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(mismatch)?;
        client.alpn_protocols = vec![ALPN.to_vec()];
        let transport = Arc::new(transport_config());
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(
            QuicServerConfig::try_from(server).map_err(mismatch)?,
        ));
        server
            .transport_config(transport.clone())
            .max_incoming(MAX_INCOMING)
            .incoming_buffer_size(INCOMING_BUFFER_BYTES)
            .incoming_buffer_size_total(INCOMING_BUFFERS_BYTES);
        let mut client = quinn::ClientConfig::new(Arc::new(
            QuicClientConfig::try_from(client).map_err(mismatch)?,
        ));
        client.transport_config(transport);
        Ok(Self { server, client })
    }
}

fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let error = |source| Error::File {
        path: path.to_owned(),
        source,
    };
    CertificateDer::pem_file_iter(path)
        .map_err(error)?
        .collect::<Result<_, _>>()
        .map_err(error)
}

fn mismatch(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Error {
    Error::Mismatch(error.into())
}

fn transport_config() -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    config
        .max_concurrent_bidi_streams(INITIAL_STREAM_LIMIT.into())
        .max_concurrent_uni_streams(0_u8.into())
        .max_idle_timeout(Some(quinn::VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .keep_alive_interval(Some(Duration::from_secs(4)))
        .stream_receive_window(STREAM_WINDOW_BYTES.into())
        .initial_rtt(Duration::from_millis(20));
    config
}
