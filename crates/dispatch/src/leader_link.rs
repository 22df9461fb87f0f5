//! The link on which an entry asks the leader.
//!
//! A handshake is the most expensive message to a leader, so a link is kept
//! through slow answers, and a leader that fails is dialled again only after a
//! delay.

use {
    crate::{backoff::Backoff, budget::Permit, listener::OPEN_TIMEOUT},
    filbertbend_transport::{
        link::{self, Receiver, Sender, Socket},
        tls::Identity,
    },
    filbertbend_workload::{
        id::Node,
        message::{Query, Reply, Request, Response},
        record::Leader,
        relay,
    },
    spdlog::prelude::*,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        rc::Rc,
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
pub(crate) const QUESTION_LIMIT: usize = 512;
/// A link on which a question waits and nothing is received for this long is
/// closed. A connection can go silent for good while new ones work.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// A link that ends sooner than this counts as a failure, which delays the next
/// dial.
const MIN_LIFETIME: Duration = Duration::from_secs(10);

/// What the leader is asked.
#[derive(Clone)]
pub(crate) enum Body {
    Query(Query),
    Relay(relay::Call),
}

/// What the leader has answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    Reply(Reply),
    Relayed(relay::Outcome),
}

/// A question, and where to send the answer.
struct Question {
    body: Body,
    reply: oneshot::Sender<Answer>,
    sent: Rc<Cell<bool>>,
    /// Bounds the bytes of the questions that are kept.
    _permit: Option<Permit>,
}

/// A question that waits for its answer.
pub(crate) struct Asked {
    /// Closes without an answer if there will be none.
    pub(crate) answer: oneshot::Receiver<Answer>,
    sent: Rc<Cell<bool>>,
}

impl Asked {
    /// Returns whether the leader may have received the question. If not, it never
    /// will once `answer` is dropped.
    pub(crate) fn is_sent(&self) -> bool {
        self.sent.get()
    }
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

    /// Asks `leader`. Returns `None` if too many questions wait. `permit` is kept
    /// as long as the question.
    pub(crate) fn ask(&self, leader: Leader, body: Body, permit: Option<Permit>) -> Option<Asked> {
        let (reply, answer) = oneshot::channel();
        let sent = Rc::new(Cell::new(false));
        let mut current = self.current.borrow_mut();
        if current.as_ref().is_none_or(|known| known.leader != leader) {
            // Aborts the old task first, so that two never dial at once.
            *current = None;
            *current = Some(self.start(leader));
        }
        let questions = &current.as_ref()?.questions;
        let question = Question {
            body,
            reply,
            sent: sent.clone(),
            _permit: permit,
        };
        questions.try_send(question).ok()?;
        Some(Asked { answer, sent })
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
        // A link is opened only once there is a question for it.
        while let Some(first) = self.queue.recv().await {
            let begun = Instant::now();
            let address = self.leader.address;
            let redirected = self.serve(address, VecDeque::from([first])).await;
            if let Some((successor, waiting)) = redirected {
                // A store that turns this entry away does not tell it of a new
                // leader, but the former one does.
                info!("former leader names its successor", kv: { address:, successor: });
                self.serve(successor, waiting).await;
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
    /// leads. If the peer names another leader, returns its address and the
    /// questions that the peer has not taken.
    async fn serve(
        &mut self,
        address: SocketAddr,
        waiting: VecDeque<Question>,
    ) -> Option<(SocketAddr, VecDeque<Question>)> {
        match self.serve_link(address, waiting).await {
            Ok(redirected) => redirected.filter(|(successor, _)| *successor != address),
            Err(error) => {
                info!("link to the leader lost", kv: { address:, error: });
                None
            }
        }
    }

    async fn serve_link(
        &mut self,
        address: SocketAddr,
        waiting: VecDeque<Question>,
    ) -> Result<Option<(SocketAddr, VecDeque<Question>)>, link::Error> {
        let socket = Socket::dialler(&self.identity)?;
        let link = socket.dial_within(address, OPEN_TIMEOUT).await?;
        let (mut sender, mut receiver) = link.open().await?;
        sender.send(&Request::Entry(self.node.clone())).await?;
        let pending = Pending::default();
        let result = tokio::select! {
            result = receive_answers(&pending, &mut receiver) => result,
            result = send_questions(&pending, &mut sender, waiting, &mut self.queue) => {
                result.map(|()| None)
            }
            () = pending.silent() => {
                info!("leader silent, closing the link", kv: { address: });
                Ok(None)
            }
        };
        link.close();
        let Some(NotLeader(successor)) = result? else {
            return Ok(None);
        };
        // Without a successor they are dropped, and count as not sent.
        let untaken = pending.take_back();
        Ok(successor.map(|successor| (successor, untaken)))
    }
}

async fn send_questions(
    pending: &Pending,
    sender: &mut Sender,
    mut waiting: VecDeque<Question>,
    queue: &mut mpsc::Receiver<Question>,
) -> Result<(), link::Error> {
    loop {
        let next = match waiting.pop_front() {
            Some(question) => Some(question),
            None => queue.recv().await,
        };
        let Some(question) = next else {
            return Ok(());
        };
        if let Some(request) = pending.insert(question) {
            sender.send(&request).await?;
        }
    }
}

/// Tells that the peer does not lead and has read no question. Holds the address
/// of the leader if the peer knows it.
struct NotLeader(Option<SocketAddr>);

/// Passes answers on until the stream ends. Returns whether it has ended because
/// the peer does not lead.
async fn receive_answers(
    pending: &Pending,
    receiver: &mut Receiver,
) -> Result<Option<NotLeader>, link::Error> {
    while let Some(response) = receiver.receive::<Response>().await? {
        pending.received_at.set(Instant::now());
        match response {
            Response::Answer(ticket, reply) => pending.answer(ticket, Answer::Reply(reply)),
            Response::Relayed(ticket, outcome) => pending.answer(ticket, Answer::Relayed(outcome)),
            Response::NotLeader(successor) => return Ok(Some(NotLeader(successor))),
            Response::Pong | Response::Welcome { .. } | Response::Orders(_) => {}
        }
    }
    Ok(None)
}

/// The questions that were sent on a link and have no answer. A question stays
/// here when its asker stops waiting, so that silence is noticed.
struct Pending {
    last_ticket: Cell<u64>,
    questions: RefCell<BTreeMap<u64, (Instant, Question)>>,
    received_at: Cell<Instant>,
}

impl Default for Pending {
    fn default() -> Self {
        Self {
            last_ticket: Cell::default(),
            questions: RefCell::default(),
            received_at: Cell::new(Instant::now()),
        }
    }
}

impl Pending {
    /// Adds a question, and returns the request to send. Drops the question if its
    /// asker has stopped waiting or too many are pending.
    fn insert(&self, question: Question) -> Option<Request> {
        let mut questions = self.questions.borrow_mut();
        if question.reply.is_closed() || questions.len() >= QUESTION_LIMIT {
            return None;
        }
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        question.sent.set(true);
        let request = match question.body.clone() {
            Body::Query(query) => Request::Query(ticket, query),
            Body::Relay(call) => Request::Relay(ticket, call),
        };
        questions.insert(ticket, (Instant::now(), question));
        Some(request)
    }

    fn answer(&self, ticket: u64, answer: Answer) {
        if let Some((_, question)) = self.questions.borrow_mut().remove(&ticket) {
            // Fails only if the asker has stopped waiting.
            let _ = question.reply.send(answer);
        }
    }

    /// Takes back all questions, which the peer has refused without reading them.
    fn take_back(&self) -> VecDeque<Question> {
        let questions = std::mem::take(&mut *self.questions.borrow_mut());
        let questions = questions.into_values().map(|(_, question)| question);
        questions
            .inspect(|question| question.sent.set(false))
            .collect()
    }

    /// Returns when the link counts as silent unless something is received, or
    /// `None` if no question waits.
    fn silent_at(&self) -> Option<Instant> {
        let questions = self.questions.borrow();
        let (_, (asked_at, _)) = questions.first_key_value()?;
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
