//! A small HTTP client for tests, benches and the local example.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, StatusCode},
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client as Pool},
        rt::TokioExecutor,
    },
    std::{io, net::SocketAddr},
};

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status code.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the `x-filbertbend-outcome` header, or an empty string without it.
    pub fn outcome(&self) -> &str {
        self.headers
            .get("x-filbertbend-outcome")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A client of one entry, which keeps its connections alive.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates an HTTP/1.1 client of the entry at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self::build(address, false)
    }

    /// Creates a client that uses HTTP/2 with prior knowledge.
    pub fn http2(address: SocketAddr) -> Self {
        Self::build(address, true)
    }

    fn build(address: SocketAddr, http2: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            address,
            pool: Pool::builder(TokioExecutor::new())
                .http2_only(http2)
                .build(connector),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the response is incomplete.
    pub async fn send(
        &self,
        method: Method,
        path: impl AsRef<str>,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> io::Result<Answer> {
        let uri = format!("http://{}{}", self.address, path.as_ref());
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.into()))
            .map_err(io::Error::other)?;
        let response = self.pool.request(request).await.map_err(io::Error::other)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Sends a `GET` without a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the response is incomplete.
    pub async fn get(&self, path: impl AsRef<str>) -> io::Result<Answer> {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a `POST`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the response is incomplete.
    pub async fn post(
        &self,
        path: impl AsRef<str>,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> io::Result<Answer> {
        self.send(Method::POST, path, headers, body).await
    }
}
