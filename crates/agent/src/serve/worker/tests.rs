//! Tests of the client with a scripted worker.

use {
    super::*,
    std::sync::{Arc, Mutex},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// The time limit of every wait; a test that reaches it fails.
const LIMIT: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(5);

/// A worker whose events can be numbered anew, as after a restart. Each answer
/// closes its connection.
#[derive(Clone, Default)]
struct Worker {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    events: u64,
    /// How often the running tasks were read.
    lists: usize,
}

impl Worker {
    async fn start(events: u64) -> (Self, SocketAddr) {
        let worker = Self::default();
        worker.restart(events);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let served = worker.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream));
            }
        });
        (worker, address)
    }

    /// Makes the worker one that has had `events` events.
    fn restart(&self, events: u64) {
        self.state.lock().unwrap().events = events;
    }

    fn lists(&self) -> usize {
        self.state.lock().unwrap().lists
    }

    async fn wait_for_list(&self, lists: usize) -> bool {
        let listed = async {
            while self.lists() < lists {
                sleep(POLL).await;
            }
        };
        tokio::time::timeout(LIMIT, listed).await.is_ok()
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            if stream.read_exact(&mut byte).await.is_err() {
                return;
            }
            head.push(byte[0]);
        }
        sleep(POLL).await;
        let body = {
            let mut state = self.state.lock().unwrap();
            if head.starts_with(b"GET /v1/tasks ") {
                state.lists += 1;
                "[]".to_owned()
            } else {
                format!("{{\"next\":{},\"events\":[]}}", state.events)
            }
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
            body.len()
        );
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

/// Guards against a task that is renewed for good although nothing runs it: the
/// worker restarts between two reads of its events, and those of the new process
/// count as read.
#[tokio::test]
async fn worker_that_restarts_between_two_reads_is_listed_again() {
    let (worker, address) = Worker::start(6).await;
    let (inbox, _inputs) = mpsc::channel(64);
    let _commands = Client::new(address).start(Handle::new(inbox));
    assert!(worker.wait_for_list(1).await);

    worker.restart(1);

    assert!(
        worker.wait_for_list(2).await,
        "the running tasks are not read again"
    );
}
