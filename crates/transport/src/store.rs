//! The client of the platform's key-value store.

use {
    bytes::Bytes,
    filbertbend_coordination::store::{Answer, Call},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{header::CONTENT_TYPE, Request, StatusCode},
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client as Pool},
        rt::TokioExecutor,
    },
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
};

/// How long a call may take before its answer counts as lost. The wait time of
/// a watch is added to it.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an answer, in bytes; the largest is a page of values as JSON.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// A client that sends calls to a store.
pub trait Client: Send + Sync {
    /// Sends one call and returns the answer. A failure is also an answer:
    /// [`Answer::Unavailable`] if the store certainly did not execute the call,
    /// otherwise [`Answer::Lost`].
    fn call(&self, call: Call) -> impl Future<Output = Answer> + Send;
}

impl<T: Client> Client for Arc<T> {
    fn call(&self, call: Call) -> impl Future<Output = Answer> + Send {
        (**self).call(call)
    }
}

/// A client of the store's HTTP interface.
#[derive(Clone, Debug)]
pub struct Http {
    addresses: Arc<[SocketAddr]>,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Http {
    /// Creates a client of the store at `addresses`, which are tried in order.
    pub fn new(addresses: impl Into<Arc<[SocketAddr]>>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        connector.set_nodelay(true);
        Self {
            addresses: addresses.into(),
            pool: Pool::builder(TokioExecutor::new()).build(connector),
        }
    }

    async fn exchange(&self, address: SocketAddr, call: &Call) -> Answer {
        let Ok(body) = serde_json::to_vec(call) else {
            return Answer::Unavailable;
        };
        let request = Request::post(format!("http://{address}/v1/call"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        let Ok(request) = request else {
            return Answer::Unavailable;
        };
        let response = match self.pool.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Answer::Unavailable,
            Err(_) => return Answer::Lost,
        };
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Answer::Unavailable;
        }
        if response.status() != StatusCode::OK {
            return Answer::Lost;
        }
        let Ok(body) = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES)
            .collect()
            .await
        else {
            return Answer::Lost;
        };
        serde_json::from_slice(&body.to_bytes()).unwrap_or(Answer::Lost)
    }
}

impl Client for Http {
    async fn call(&self, call: Call) -> Answer {
        let wait = match &call {
            Call::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        for address in self.addresses.iter() {
            let exchange = self.exchange(*address, &call);
            let answer = tokio::time::timeout(CALL_TIMEOUT + wait, exchange).await;
            match answer {
                // The next address is tried only if this one certainly did not
                // execute the call.
                Ok(Answer::Unavailable) => {}
                Ok(answer) => return answer,
                Err(_) => return Answer::Lost,
            }
        }
        Answer::Unavailable
    }
}
