//! The link on which an entry asks the leader.
//!
//! A handshake is the most expensive message to a leader, so a link is kept
//! through slow answers, and a leader that fails is dialled again only after a
//! delay.

use {
    crate::{backoff::Backoff, listener::OPEN_TIMEOUT},
    filbertbend_transport::{
        link::{self, Receiver, Sender, Socket},
        tls::Identity,
    },
    filbertbend_workload::{
        id::Node,
        message::{Query, Reply, Request, Response},
        record::Leader,
    },
    spdlog::prelude::*,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::AbortHandle,
        time::{sleep, sleep_until, timeout_at, Instant},
    },
};

/// Maximum number of questions that wait to be sent, and of those that wait for
/// an answer.
const QUESTION_LIMIT: usize = 512;
/// A link on which a question waits and nothing is received for this long is
/// closed. A connection can go silent for good while new ones work.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// A link that ends sooner than this counts as a failure, which delays the next
/// dial.
const MIN_LIFETIME: Duration = Duration::from_secs(10);

/// A question, and where to send the answer.
struct Question {
    query: Query,
    reply: oneshot::Sender<Reply>,
}

/// Asks whichever entry leads. Keeps at most one link, and dials at most one at
/// a time.
pub(crate) struct LeaderLink {
    node: Node,
    identity: Identity,
    current: RefCell<Option<Current>>,
}

/// The task that keeps a link to one leader. It ends when this is dropped.
struct Current {
    leader: Leader,
    questions: mpsc::Sender<Question>,
    task: AbortHandle,
}

impl Drop for Current {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LeaderLink {
    pub(crate) fn new(node: Node, identity: Identity) -> Self {
        Self {
            node,
            identity,
            current: RefCell::default(),
        }
    }

    /// Asks `leader`. The returned channel closes without a reply if the
    /// question can't be answered. Returns `None` if too many questions wait.
    pub(crate) fn ask(&self, leader: Leader, query: Query) -> Option<oneshot::Receiver<Reply>> {
        let (reply, answer) = oneshot::channel();
        let mut current = self.current.borrow_mut();
        if current.as_ref().is_none_or(|known| known.leader != leader) {
            // Aborts the old task first, so that two never dial at once.
            *current = None;
            *current = Some(self.start(leader));
        }
        let questions = &current.as_ref()?.questions;
        questions.try_send(Question { query, reply }).ok()?;
        Some(answer)
    }

    fn start(&self, leader: Leader) -> Current {
        let (questions, queue) = mpsc::channel(QUESTION_LIMIT);
        let dialler = Dialler {
            backoff: Backoff::new(&self.node.0),
            node: self.node.clone(),
            identity: self.identity.clone(),
            leader: leader.clone(),
            queue,
        };
        let task = tokio::task::spawn_local(dialler.run()).abort_handle();
        Current {
            leader,
            questions,
            task,
        }
    }
}

/// Opens links to one leader, one after the other.
struct Dialler {
    node: Node,
    identity: Identity,
    leader: Leader,
    queue: mpsc::Receiver<Question>,
    backoff: Backoff,
}

impl Dialler {
    async fn run(mut self) {
        let address = self.leader.address;
        // A link is opened only once there is a question for it.
        while let Some(first) = self.queue.recv().await {
            let begun = Instant::now();
            if let Err(error) = self.serve(first).await {
                info!("link to the leader lost", kv: { address:, error: });
            }
            if begun.elapsed() >= MIN_LIFETIME {
                self.backoff.reset();
                continue;
            }
            let resume_at = Instant::now() + self.backoff.next_delay();
            // Dropping a question tells its asker at once not to wait.
            while let Ok(Some(_)) = timeout_at(resume_at, self.queue.recv()).await {}
        }
    }

    /// Serves one link until it breaks or goes silent, or the peer no longer
    /// leads.
    async fn serve(&mut self, first: Question) -> Result<(), link::Error> {
        let address = self.leader.address;
        let socket = Socket::dialler(&self.identity)?;
        let link = socket.dial_within(address, OPEN_TIMEOUT).await?;
        let (mut sender, mut receiver) = link.open().await?;
        sender.send(&Request::Entry(self.node.clone())).await?;
        let pending = Pending::default();
        let result = tokio::select! {
            result = receive_answers(&pending, &mut receiver) => result,
            result = send_questions(&pending, &mut sender, first, &mut self.queue) => result,
            () = pending.silent() => {
                info!("leader silent, closing the link", kv: { address: });
                Ok(())
            }
        };
        link.close();
        result
    }
}

async fn send_questions(
    pending: &Pending,
    sender: &mut Sender,
    first: Question,
    queue: &mut mpsc::Receiver<Question>,
) -> Result<(), link::Error> {
    let mut next = Some(first);
    while let Some(question) = next {
        if let Some((ticket, query)) = pending.insert(question) {
            sender.send(&Request::Query(ticket, query)).await?;
        }
        next = queue.recv().await;
    }
    Ok(())
}

async fn receive_answers(pending: &Pending, receiver: &mut Receiver) -> Result<(), link::Error> {
    while let Some(response) = receiver.receive::<Response>().await? {
        pending.received_at.set(Instant::now());
        match response {
            Response::Answer(ticket, reply) => pending.answer(ticket, reply),
            Response::NotLeader(_) => return Ok(()),
            Response::Pong | Response::Welcome { .. } | Response::Orders(_) => {}
        }
    }
    Ok(())
}

/// The questions that were sent on a link and have no answer. A question stays
/// here when its asker stops waiting, so that silence is noticed.
struct Pending {
    last_ticket: Cell<u64>,
    replies: RefCell<BTreeMap<u64, (Instant, oneshot::Sender<Reply>)>>,
    received_at: Cell<Instant>,
}

impl Default for Pending {
    fn default() -> Self {
        Self {
            last_ticket: Cell::default(),
            replies: RefCell::default(),
            received_at: Cell::new(Instant::now()),
        }
    }
}

impl Pending {
    /// Adds a question, and returns the ticket and the query to send. Drops the
    /// question if its asker has stopped waiting or too many are pending.
    fn insert(&self, question: Question) -> Option<(u64, Query)> {
        let mut replies = self.replies.borrow_mut();
        if question.reply.is_closed() || replies.len() >= QUESTION_LIMIT {
            return None;
        }
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        replies.insert(ticket, (Instant::now(), question.reply));
        Some((ticket, question.query))
    }

    fn answer(&self, ticket: u64, reply: Reply) {
        if let Some((_, asker)) = self.replies.borrow_mut().remove(&ticket) {
            // Fails only if the asker has stopped waiting.
            let _ = asker.send(reply);
        }
    }

    /// Returns when the link counts as silent unless something is received, or
    /// `None` if no question waits.
    fn silent_at(&self) -> Option<Instant> {
        let replies = self.replies.borrow();
        let (_, (asked_at, _)) = replies.first_key_value()?;
        Some(self.received_at.get().max(*asked_at) + SILENCE_LIMIT)
    }

    /// Waits until a question has waited for [`SILENCE_LIMIT`] and nothing was
    /// received meanwhile.
    async fn silent(&self) {
        loop {
            match self.silent_at() {
                Some(silent_at) if silent_at <= Instant::now() => return,
                Some(silent_at) => sleep_until(silent_at).await,
                // A question that is sent during this sleep can't be overdue
                // before the sleep ends.
                None => sleep(SILENCE_LIMIT).await,
            }
        }
    }
}
