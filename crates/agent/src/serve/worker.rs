//! The HTTP client of the worker beside the agent.

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

/// Commands that may wait for the worker.
const COMMANDS_LIMIT: usize = 4096;
/// How long one call may take, besides the wait for events.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a call waits for events.
const EVENTS_WAIT: Duration = Duration::from_secs(5);
/// How long to wait after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Largest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// A page of the worker's events.
#[derive(Debug, Deserialize)]
struct Page {
    next: u64,
    events: Vec<worker::Event>,
}

/// A failed call of the worker.
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
}

/// Commands on their way to the worker, sent one after another.
#[derive(Clone)]
pub(crate) struct Commands {
    queue: mpsc::Sender<Call>,
}

/// One call of the worker.
enum Call {
    Command(worker::Command),
    ReadTasks,
}

impl Commands {
    /// Leaves a command, dropping it if the worker is too far behind; the
    /// executor sends again what it gets no answer to.
    pub(crate) fn send(&self, command: worker::Command) {
        self.leave(Call::Command(command));
    }

    /// Asks for the list of running tasks, read after all commands so far.
    pub(crate) fn read_tasks(&self) {
        self.leave(Call::ReadTasks);
    }

    fn leave(&self, call: Call) {
        if self.queue.try_send(call).is_err() {
            warn!("worker is behind; call dropped");
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
    /// Makes a client of the worker at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        Self {
            address,
            pool: Pool::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Starts the tasks that carry commands to the worker and events back.
    pub(crate) fn start(self, control: Handle) -> Commands {
        let (queue, commands) = mpsc::channel(COMMANDS_LIMIT);
        tokio::spawn(self.clone().send_commands(commands, control.clone()));
        tokio::spawn(self.follow_events(control));
        Commands { queue }
    }

    async fn send_commands(self, mut calls: mpsc::Receiver<Call>, control: Handle) {
        while let Some(call) = calls.recv().await {
            let result = match call {
                Call::Command(command) => self.command(&command).await,
                Call::ReadTasks => self.read_tasks(&control).await,
            };
            if let Err(error) = result {
                warn!("worker not reached", kv: { error: });
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

    async fn command(&self, command: &worker::Command) -> Result<(), Error> {
        let body = serde_json::to_vec(command).map_err(|error| Error::Body(error.to_string()))?;
        let request = Request::post(format!("http://{}/v1/command", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::Body(error.to_string()))?;
        self.exchange(request, CALL_TIMEOUT).await.map(|_| ())
    }

    /// Reads the running tasks, then events, and reads the tasks again after
    /// every failure, because events may have been missed.
    async fn follow_events(self, control: Handle) {
        let mut after = None;
        loop {
            match self.step(&mut after, &control).await {
                Ok(()) => {}
                Err(error) => {
                    debug!("worker lost", kv: { error: });
                    after = None;
                    control
                        .send(Input::Executor(Event::WorkerUnreachable))
                        .await;
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn step(&self, after: &mut Option<u64>, control: &Handle) -> Result<(), Error> {
        let Some(position) = *after else {
            // The position is read before the list, so no event is missed.
            let page: Page = self.get("/v1/events?after=0&wait_ms=0".to_owned()).await?;
            self.read_tasks(control).await?;
            *after = Some(page.next);
            return Ok(());
        };
        let wait_ms = EVENTS_WAIT.as_millis();
        let page: Page = self
            .get(format!("/v1/events?after={position}&wait_ms={wait_ms}"))
            .await?;
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
        let body = self.exchange(request, CALL_TIMEOUT + EVENTS_WAIT).await?;
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
