//! Runs the control thread's store calls on the traffic threads.

use {
    super::control::{Handle, Input, Source},
    filbertbend_coordination::{
        slices,
        store::{Answer, Call, Expect, Ticket},
    },
    filbertbend_state::id,
    filbertbend_transport::store::{Client, Http},
    metrics::counter,
    std::{sync::Arc, time::Duration},
    tokio::runtime,
};

/// Maximum number of tries to write a chunk.
const CHUNK_TRIES: usize = 5;
/// Pause between two tries to write a chunk.
const CHUNK_PAUSE: Duration = Duration::from_millis(200);

/// Runs store calls and sends their answers to the control thread.
#[derive(Clone)]
pub(crate) struct Calls {
    /// The runtime of the traffic threads.
    pub(crate) runtime: runtime::Handle,
    /// The client of the store.
    pub(crate) client: Http,
    /// The control thread, which receives the answers.
    pub(crate) control: Handle,
}

impl Calls {
    /// Starts a call of the state machine `source`.
    pub(crate) fn start(&self, source: Source, ticket: Ticket, call: Call) {
        let calls = self.clone();
        self.runtime.spawn(async move {
            let answer = calls.execute(call).await;
            calls.control.post(Input::Stored {
                source,
                ticket,
                answer,
            });
        });
    }
}

impl Calls {
    /// Writes a chunk of a result, and retries until it is known to be written or
    /// the store has failed [`CHUNK_TRIES`] times.
    pub(crate) fn store_chunk(
        &self,
        slice: id::Slice,
        ticket: Ticket,
        key: Arc<str>,
        value: Vec<u8>,
    ) {
        let calls = self.clone();
        let call = Call::Put {
            key,
            value,
            expect: Expect::Absent,
            lease: None,
        };
        self.runtime.spawn(async move {
            let mut answer = calls.execute(call.clone()).await;
            for _ in 1..CHUNK_TRIES {
                if !matches!(answer, Answer::Lost | Answer::Unavailable) {
                    break;
                }
                tokio::time::sleep(CHUNK_PAUSE).await;
                answer = calls.execute(call.clone()).await;
            }
            calls.control.post(Input::Stored {
                source: Source::Slices(slices::Source::Chunk(slice)),
                ticket,
                answer,
            });
        });
    }

    /// Deletes a chunk that is no longer referenced. If the call is lost, the
    /// chunk remains and only takes up space.
    pub(crate) fn delete_chunk(&self, key: Arc<str>) {
        let calls = self.clone();
        self.runtime.spawn(async move {
            let version = None;
            calls.execute(Call::Delete { key, version }).await;
        });
    }

    async fn execute(&self, call: Call) -> Answer {
        let kind = kind_label(&call);
        let answer = self.client.call(call).await;
        counter!("filbertbend_store_calls_total", "kind" => kind, "answer" => answer_label(&answer))
            .increment(1);
        answer
    }
}

fn kind_label(call: &Call) -> &'static str {
    match call {
        Call::Get { .. } => "get",
        Call::Put { .. } => "put",
        Call::Delete { .. } => "delete",
        Call::List { .. } => "list",
        Call::Grant { .. } => "grant",
        Call::Renew { .. } => "renew",
        Call::Revoke { .. } => "revoke",
        Call::Watch { .. } => "watch",
    }
}

fn answer_label(answer: &Answer) -> &'static str {
    match answer {
        Answer::Unavailable => "unavailable",
        Answer::Lost => "lost",
        Answer::Conflict(_) => "conflict",
        _ => "ok",
    }
}
