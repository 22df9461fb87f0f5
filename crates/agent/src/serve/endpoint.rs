//! HTTP client of the agent's endpoint.

use {
    super::orders::may_be_sent,
    bytes::Bytes,
    filbertbend_coordination::{
        attempt::{Output, Work},
        executor::Delivery,
    },
    filbertbend_protocol::message::Request,
    filbertbend_state::time::Instant,
    filbertbend_transport::http::headers,
    http::{header, uri::PathAndQuery, HeaderValue, Method, Uri},
    http_body::Body,
    http_body_util::{combinators::UnsyncBoxBody, BodyExt, Full, Limited},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client as Pool, Error as PoolError},
        rt::{TokioExecutor, TokioTimer},
    },
    spdlog::prelude::*,
    std::{io, net::SocketAddr, time::Duration},
};

/// How long a connection to the endpoint may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections are closed after this time, so that they do not exhaust the
/// endpoint's connection limit.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer to an order that is accepted, in bytes.
const ORDER_ANSWER_LIMIT_BYTES: usize = 1 << 20;

type RequestBody = UnsyncBoxBody<Bytes, io::Error>;

/// A failed request to the endpoint.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The request was not sent, so it did not run.
    #[error("endpoint cannot be reached: {0}")]
    Unreachable(String),
    /// The request may have run.
    #[error("endpoint gave no answer: {0}")]
    Broken(String),
    /// The request cannot be expressed in HTTP and was not sent, so it did not run.
    #[error("request is not valid HTTP: {0}")]
    Invalid(String),
}

impl From<PoolError> for Error {
    fn from(error: PoolError) -> Self {
        if error.is_connect() {
            Self::Unreachable(error.to_string())
        } else {
            Self::Broken(error.to_string())
        }
    }
}

/// A client with a pool of connections to one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    pool: Pool<HttpConnector, RequestBody>,
}

impl Client {
    /// Creates a client of the endpoint at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { address, pool }
    }

    /// Sends a quick check and returns the head of its answer.
    pub(crate) async fn check(
        &self,
        request: &Request,
        body: impl Body<Data = Bytes, Error = io::Error> + Send + 'static,
    ) -> Result<http::Response<Incoming>, Error> {
        let method = Method::from_bytes(request.method.as_bytes()).map_err(invalid)?;
        let mut message = http::Request::new(body.boxed_unsync());
        *message.method_mut() = method;
        *message.uri_mut() = self.uri(&request.path)?;
        *message.headers_mut() = headers(&request.headers);
        message.headers_mut().remove(header::HOST);
        // An endpoint omits trailers unless the request accepts them.
        let trailers = HeaderValue::from_static("trailers");
        message.headers_mut().insert(header::TE, trailers);
        Ok(self.pool.request(message).await?)
    }

    /// Sends an order unless `send_by` has passed, and reads its whole answer.
    pub(crate) async fn order(&self, work: &Work, send_by: Instant) -> Delivery {
        let message = match self.order_message(work) {
            Ok(message) => message,
            Err(error) => {
                error!("order cannot be sent", kv: { error: });
                return Delivery::NotSent;
            }
        };
        if !may_be_sent(send_by) {
            return Delivery::NotSent;
        }
        match self.pool.request(message).await {
            Ok(response) => read_delivery(response).await,
            Err(error) if error.is_connect() => Delivery::NotSent,
            Err(_) => Delivery::Lost,
        }
    }

    fn order_message(&self, work: &Work) -> Result<http::Request<RequestBody>, Error> {
        let Work::Order {
            service,
            customer,
            key,
            body,
        } = work
        else {
            return Err(invalid("a batch task is not for the endpoint"));
        };
        let uri = self.uri(&format!("/orders/{service}"))?;
        let body = Full::new(Bytes::from(body.clone())).map_err(|never| match never {});
        http::Request::post(uri)
            .header("x-customer", customer.as_str())
            .header("idempotency-key", key.as_str())
            .body(body.boxed_unsync())
            .map_err(invalid)
    }

    fn uri(&self, path: &str) -> Result<Uri, Error> {
        let path: PathAndQuery = path.parse().map_err(invalid)?;
        Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(path)
            .build()
            .map_err(invalid)
    }
}

fn invalid(error: impl std::fmt::Display) -> Error {
    Error::Invalid(error.to_string())
}

async fn read_delivery(response: http::Response<Incoming>) -> Delivery {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .into();
    match Limited::new(response.into_body(), ORDER_ANSWER_LIMIT_BYTES)
        .collect()
        .await
    {
        Ok(body) => Delivery::Answered(Output {
            status,
            content_type,
            body: body.to_bytes().to_vec(),
        }),
        Err(_) => Delivery::Lost,
    }
}
