//! HTTP client of the agent's worker.

#[cfg(test)]
mod tests;

use {
    super::control::{Handle, Input},
    bytes::Bytes,
    filbertbend_coordination::{executor::Event, worker},
    http::{header, Request, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client as Pool},
        rt::TokioExecutor,
    },
    serde::{de::DeserializeOwned, Deserialize},
    spdlog::prelude::*,
    std::{net::SocketAddr, time::Duration},
    tokio::sync::mpsc,
};

/// Capacity of the queue of calls to the worker.
const QUEUE_LIMIT: usize = 4096;
/// How long one call may take, in addition to [`EVENT_WAIT`].
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the worker may hold a call for events until there are some.
const EVENT_WAIT: Duration = Duration::from_secs(5);
/// Pause after reading events has failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Largest answer that is accepted, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// A page of the worker's events.
#[derive(Debug, Deserialize)]
struct Page {
    next: u64,
    events: Vec<worker::Event>,
}

/// A failed call to the worker.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("worker cannot be reached: {0}")]
    Unreachable(String),
    #[error("worker answered {0}")]
    Status(StatusCode),
    #[error("worker's answer cannot be read: {0}")]
    Body(String),
    #[error("worker did not answer in time")]
    Timeout,
    /// The worker has had fewer events than were read.
    #[error("worker has restarted")]
    Restarted,
}

/// A queue of calls to the worker, which are made one after another.
#[derive(Clone)]
pub(crate) struct Commands {
    queue: mpsc::Sender<Call>,
}

/// One call to the worker.
enum Call {
    Command(worker::Command),
    ReadTasks,
}

impl Commands {
    /// Queues a command, or drops it if the queue is full: the executor repeats
    /// commands that are not answered.
    pub(crate) fn send(&self, command: worker::Command) {
        self.enqueue(Call::Command(command));
    }

    /// Queues a read of the running tasks, which happens after all commands queued
    /// so far.
    pub(crate) fn read_tasks(&self) {
        self.enqueue(Call::ReadTasks);
    }

    fn enqueue(&self, call: Call) {
        if self.queue.try_send(call).is_err() {
            warn!("queue of worker calls is full; call dropped");
        }
    }
}

/// A client of one worker.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client of the worker at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        Self {
            address,
            pool: Pool::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Starts the background tasks that send commands to the worker and read its
    /// events.
    pub(crate) fn start(self, control: Handle) -> Commands {
        let (queue, calls) = mpsc::channel(QUEUE_LIMIT);
        tokio::spawn(self.clone().run_calls(calls, control.clone()));
        tokio::spawn(self.follow_events(control));
        Commands { queue }
    }

    async fn run_calls(self, mut calls: mpsc::Receiver<Call>, control: Handle) {
        while let Some(call) = calls.recv().await {
            let result = match call {
                Call::Command(command) => self.send_command(&command).await,
                Call::ReadTasks => self.read_tasks(&control).await,
            };
            if let Err(error) = result {
                warn!("worker call failed", kv: { error: });
                control
                    .send(Input::Executor(Event::WorkerUnreachable))
                    .await;
            }
        }
    }

    async fn read_tasks(&self, control: &Handle) -> Result<(), Error> {
        let tasks = self.get("/v1/tasks".to_owned()).await?;
        control.send(Input::Executor(Event::Tasks(tasks))).await;
        Ok(())
    }

    async fn send_command(&self, command: &worker::Command) -> Result<(), Error> {
        let body = serde_json::to_vec(command).map_err(|error| Error::Body(error.to_string()))?;
        let request = Request::post(format!("http://{}/v1/command", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::Body(error.to_string()))?;
        self.exchange(request, CALL_TIMEOUT).await.map(|_| ())
    }

    /// Reads the running tasks and then events. Reads the tasks again after every
    /// failure, because events may have been missed.
    async fn follow_events(self, control: Handle) {
        let mut after = None;
        loop {
            match self.poll_events(&mut after, &control).await {
                Ok(()) => {}
                Err(error) => {
                    debug!("worker events cannot be read", kv: { error: });
                    after = None;
                    control
                        .send(Input::Executor(Event::WorkerUnreachable))
                        .await;
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn poll_events(&self, after: &mut Option<u64>, control: &Handle) -> Result<(), Error> {
        let Some(position) = *after else {
            // The position is read before the tasks, so no event is missed.
            let page: Page = self.get("/v1/events?after=0&wait_ms=0".to_owned()).await?;
            self.read_tasks(control).await?;
            *after = Some(page.next);
            return Ok(());
        };
        let wait_ms = EVENT_WAIT.as_millis();
        let page: Page = self
            .get(format!("/v1/events?after={position}&wait_ms={wait_ms}"))
            .await?;
        if page.next < position {
            return Err(Error::Restarted);
        }
        for event in page.events {
            if let worker::Event::Usage(usage) = &event {
                control.send(Input::Usage(usage.clone())).await;
            }
            control.send(Input::Executor(Event::Worker(event))).await;
        }
        *after = Some(page.next);
        Ok(())
    }

    async fn get<T: DeserializeOwned>(&self, path: String) -> Result<T, Error> {
        let request = Request::get(format!("http://{}{path}", self.address))
            .body(Full::default())
            .map_err(|error| Error::Body(error.to_string()))?;
        let body = self.exchange(request, CALL_TIMEOUT + EVENT_WAIT).await?;
        serde_json::from_slice(&body).map_err(|error| Error::Body(error.to_string()))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let call = async {
            let response = self
                .pool
                .request(request)
                .await
                .map_err(|error| Error::Unreachable(error.to_string()))?;
            let status = response.status();
            if !status.is_success() {
                return Err(Error::Status(status));
            }
            Limited::new(response.into_body(), ANSWER_LIMIT_BYTES)
                .collect()
                .await
                .map(|body| body.to_bytes())
                .map_err(|error| Error::Body(error.to_string()))
        };
        tokio::time::timeout(limit, call)
            .await
            .unwrap_or(Err(Error::Timeout))
    }
}
