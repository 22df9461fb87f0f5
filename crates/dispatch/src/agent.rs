//! Drives the agent's state machine: keeps a link to the leader and makes the
//! calls to the worker.

use {
    crate::{
        backoff::Backoff,
        entry::decode_leader,
        key,
        key_watch::Watcher,
        listener::OPEN_TIMEOUT,
        platform::{Store, Worker},
    },
    filbertbend_state::{time::Instant, unit::Millis},
    filbertbend_transport::{
        clock,
        link::{self, Socket},
        tls::Identity,
    },
    filbertbend_workload::{
        agent::{Action, Agent, Answer, Call, Cause, Event, Occupancy, Rejection, Unknown},
        id::{Incarnation, Node},
        message::{Crash, Request, Response},
        record::Leader,
        worker::Profile,
    },
    metrics::counter,
    spdlog::prelude::*,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{interval, timeout, timeout_at, MissedTickBehavior},
    },
};

/// Capacity of the queue of inputs to the state machine, in messages.
const INBOX_LIMIT: usize = 1024;
/// Timeout of one long poll for the leader's key.
const WATCH_WAIT: Millis = Millis(10_000);
/// Interval at which the state machine checks its timers.
const TICK: Duration = Duration::from_millis(30);
/// A leader that sends nothing on an open session for this long is considered
/// gone. It renews leases once a second, so it sends at least one message per
/// second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1600);

/// An input to the driver of the state machine.
#[derive(Debug)]
enum Input {
    Event(Box<Event>),
    LinkOpened(mpsc::Sender<Request>),
    LinkClosed,
}

/// A handle that passes inputs to a running agent.
#[derive(Clone, Debug)]
pub struct Handle {
    inbox: mpsc::Sender<Input>,
}

impl Handle {
    /// Passes a worker's heartbeat to the state machine.
    pub async fn heartbeat(&self, profile: Profile) {
        // Fails only when the process ends.
        let _ = self
            .inbox
            .send(Input::Event(Box::new(Event::Heartbeat(profile))))
            .await;
    }
}

/// Starts the agent on `node`.
pub fn start<S: Store, W: Worker>(
    store: S,
    worker: W,
    node: Node,
    identity: Identity,
    stop: watch::Receiver<bool>,
) -> Handle {
    let (inbox, inputs) = mpsc::channel(INBOX_LIMIT);
    let handle = Handle {
        inbox: inbox.clone(),
    };
    let watcher = Watcher::start(store, key::LEADER, WATCH_WAIT);
    tokio::task::spawn_local(follow_leader(
        watcher,
        node.clone(),
        identity,
        inbox.clone(),
    ));
    let driver = Driver {
        agent: Agent::default(),
        worker,
        node,
        inbox,
        outbox: None,
    };
    tokio::task::spawn_local(driver.run(inputs, stop));
    handle
}

/// Feeds inputs to the state machine and carries out its actions.
struct Driver<W> {
    agent: Agent,
    worker: W,
    node: Node,
    inbox: mpsc::Sender<Input>,
    outbox: Option<mpsc::Sender<Request>>,
}

impl<W: Worker> Driver<W> {
    async fn run(mut self, mut inputs: mpsc::Receiver<Input>, mut stop: watch::Receiver<bool>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.input(input),
                    None => return,
                },
                _ = tick.tick() => self.step(Event::Tick),
                _ = stop.wait_for(|stop| *stop) => return,
            }
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(*event),
            Input::LinkOpened(outbox) => {
                self.outbox = Some(outbox);
                self.step(Event::Connected);
            }
            Input::LinkClosed => {
                self.outbox = None;
                self.step(Event::Disconnected);
            }
        }
    }

    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.agent.step(clock::monotonic(), event, &mut actions);
        for action in actions {
            match action {
                Action::Hello => self.send(Request::Agent(self.node.clone())),
                Action::Ping => self.send(Request::Ping),
                Action::Send(report) => self.send(Request::Report(report)),
                Action::Call(call) => self.call(call),
                Action::Crashed(crash) => log_crash(&crash),
                Action::Rejected(rejection) => log_rejection(&rejection),
            }
        }
    }

    /// Queues a message for the leader. If the queue is full or closed, the link is
    /// dropped, because a session must not miss a report.
    fn send(&mut self, request: Request) {
        let failed = match &self.outbox {
            Some(outbox) => outbox.try_send(request).is_err(),
            None => return,
        };
        if failed {
            warn!("send queue to the leader is full or closed, dropping the link");
            self.outbox = None;
            self.step(Event::Disconnected);
        }
    }

    fn call(&self, call: Call) {
        let known = self.agent.profile().map(|profile| &profile.incarnation);
        let addressee = match &call {
            Call::Identify { incarnation, .. } => Some(incarnation),
            Call::Extend { deadline, .. } | Call::Start { deadline, .. } => {
                Some(&deadline.incarnation)
            }
            _ => known,
        };
        let Some(addressee) = addressee.cloned() else {
            return;
        };
        let worker = self.worker.clone();
        let inbox = self.inbox.clone();
        tokio::task::spawn_local(async move {
            let sent = clock::monotonic();
            let answer = worker.call(&addressee, &call).await;
            log_answer(&addressee, &call, &answer, sent);
            let event = Event::Answered { call, sent, answer };
            // Fails only when the process ends.
            let _ = inbox.send(Input::Event(Box::new(event))).await;
        });
    }
}

/// Logs a crash with each run that it interrupted.
fn log_crash(crash: &Crash) {
    counter!("filbertbend_worker_restarts_total").increment(1);
    info!("worker restarted without notice", kv: { life: = crash.incarnation, runs = crash.losses.len() });
    for loss in &crash.losses {
        info!("run lost with the worker", kv: { job: = loss.task.job, task: = loss.task, run = loss.run.0, lasted_ms = loss.lasted.0, certain = loss.certain });
    }
}

/// Logs a start that was not passed on to the worker, with what takes the room if
/// there was none.
fn log_rejection(rejection: &Rejection) {
    let Rejection { task, run, cause } = rejection;
    counter!("filbertbend_starts_rejected_total", "cause" => cause.to_string()).increment(1);
    match cause {
        Cause::NoRoom(occupancy) => {
            let Occupancy {
                whole,
                required,
                used,
                runs,
                unknown,
            } = occupancy;
            let unknown = unknown
                .as_ref()
                .map_or("none".to_owned(), Unknown::to_string);
            info!("start not sent to the worker", kv: { job: = task.job, task:, run = run.0, cause:, whole:, required:, used:, runs = *runs, unknown: });
        }
        Cause::LeaseEnding { left } => {
            info!("start not sent to the worker", kv: { job: = task.job, task:, run = run.0, cause:, left_ms = left.0 });
        }
        Cause::Unprepared | Cause::Draining | Cause::ProfileUnconfirmed => {
            info!("start not sent to the worker", kv: { job: = task.job, task:, run = run.0, cause: });
        }
    }
}

/// Returns when the incarnation that answered began.
fn born(found: &Answer) -> Option<u64> {
    match found {
        Answer::Snapshot(snapshot) => snapshot.started_ms,
        _ => None,
    }
}

fn log_answer(addressee: &Incarnation, call: &Call, found: &Answer, sent: Instant) {
    let ms = clock::monotonic().since(sent).0;
    let answer = match found {
        Answer::Snapshot(_) | Answer::Done => "done".to_owned(),
        Answer::Refused(refusal) => refusal.to_string(),
        Answer::Unreachable => "unreachable".to_owned(),
        Answer::Lost => "lost".to_owned(),
    };
    let is_other = |found| born(found).is_some_and(|born| born != addressee.started_ms);
    match call {
        Call::Poll { .. } => {
            if answer != "done" {
                counter!("filbertbend_looks_failed_total").increment(1);
                info!("listing the worker's tasks failed", kv: { answer: = answer.as_str(), ms });
            } else if is_other(found) {
                info!("worker's tasks listed by another life", kv: { life: = addressee, born:? = born(found), ms });
            }
        }
        Call::Extend { deadline, fence } => {
            if answer != "done" || is_other(found) {
                counter!("filbertbend_lease_extensions_failed_total").increment(1);
                info!("lease not passed on to the worker", kv: { life: = addressee, fence = fence.0, deadline: = deadline, answer: = answer.as_str(), born:? = born(found), ms });
            }
        }
        Call::Identify { incarnation, .. } => {
            let born = born(found);
            info!("worker asked whether it is another life", kv: { life: = incarnation, answer: = answer.as_str(), born:?, ms });
        }
        Call::Start {
            start,
            fence,
            deadline,
        } => {
            info!("start answered", kv: { job: = start.task.job, task: = start.task, run = start.run.0, fence = fence.0, deadline: = deadline, answer: = answer.as_str(), ms });
        }
        Call::Stop { task, run, fence } => {
            info!("stop answered", kv: { job: = task.job, task:, run = run.0, fence = fence.0, answer: = answer.as_str(), ms });
        }
        Call::Throttle { change, .. } => {
            debug!("pace change answered", kv: { job: = change.task.job, task: = change.task, run = change.run.0, percent = change.percent, answer: = answer.as_str(), ms });
        }
    }
}

/// Keeps a link to the current leader.
async fn follow_leader(
    mut watcher: Watcher,
    node: Node,
    identity: Identity,
    inbox: mpsc::Sender<Input>,
) {
    let mut backoff = Backoff::new(&node.0);
    let mut redirect: Option<SocketAddr> = None;
    loop {
        let redirected = redirect.is_some();
        let published = decode_leader(&watcher);
        let named = published.as_ref().map(|leader| leader.address);
        let Some(address) = redirect.take().or(named) else {
            watcher.changed().await;
            continue;
        };
        let result = tokio::select! {
            result = serve_link(address, &node, &identity, &inbox, &mut backoff) => Some(result),
            () = leader_changed(&mut watcher, |leader| leader.address != address) => None,
        };
        // Fails only when the process ends.
        let _ = inbox.send(Input::LinkClosed).await;
        match result {
            // The store names another leader.
            None => {
                backoff.reset();
                continue;
            }
            Some(Ok(found)) => redirect = found.filter(|found| *found != address),
            Some(Err(error)) => info!("link to the leader lost", kv: { address:, error: }),
        }
        watcher.refresh();
        // Two entries may each take the other for the leader, so only the first
        // of several redirects is followed at once.
        if redirect.is_some() && !redirected {
            continue;
        }
        let is_new = |leader: &Leader| Some(leader) != published.as_ref();
        let already_new = decode_leader(&watcher).is_some_and(|leader| is_new(&leader));
        if !already_new {
            let changed = leader_changed(&mut watcher, is_new);
            if timeout(backoff.next_delay(), changed).await.is_err() {
                continue;
            }
        }
        backoff.reset();
        redirect = None;
    }
}

/// Returns when the store names a leader for which `is_new` holds.
async fn leader_changed(watcher: &mut Watcher, is_new: impl Fn(&Leader) -> bool) {
    loop {
        watcher.changed().await;
        if decode_leader(watcher).is_some_and(|leader| is_new(&leader)) {
            return;
        }
    }
}

/// Serves one link until it breaks, the leader goes silent, or the peer turns
/// out not to lead. In the last case, returns the leader's address if the peer
/// knows it. Resets the backoff when the session opens.
async fn serve_link(
    address: SocketAddr,
    node: &Node,
    identity: &Identity,
    inbox: &mpsc::Sender<Input>,
    backoff: &mut Backoff,
) -> Result<Option<SocketAddr>, link::Error> {
    let socket = Socket::dialler(identity)?;
    let link = socket.dial_within(address, OPEN_TIMEOUT).await?;
    // A new leader opens the sessions of all agents one after the other, and a
    // link has cost it most of the work.
    let open_by = tokio::time::Instant::now() + OPEN_TIMEOUT;
    let (mut sender, mut receiver) = link.open().await?;
    let (outbox, mut queue) = mpsc::channel::<Request>(INBOX_LIMIT);
    // Fails only when the process ends.
    let _ = inbox.send(Input::LinkOpened(outbox)).await;
    let sending = async {
        while let Some(request) = queue.recv().await {
            sender.send(&request).await?;
        }
        Ok::<(), link::Error>(())
    };
    let receiving = async {
        let mut is_open = false;
        loop {
            let deadline = if is_open {
                tokio::time::Instant::now() + LEADER_TIMEOUT
            } else {
                open_by
            };
            let Ok(received) = timeout_at(deadline, receiver.receive::<Response>()).await else {
                info!("leader silent, closing the link", kv: { address: });
                return Ok(None);
            };
            let event = match received? {
                Some(Response::Welcome {
                    epoch,
                    fence,
                    profile,
                }) => {
                    is_open = true;
                    backoff.reset();
                    info!("session opened", kv: { address:, epoch = epoch.0, fence = fence.0 });
                    Event::Welcome(epoch, fence, profile)
                }
                Some(Response::Orders(orders)) => Event::Orders(orders),
                Some(Response::NotLeader(leader)) => return Ok(leader),
                Some(Response::Pong | Response::Answer(..) | Response::Relayed(..)) => continue,
                None => return Ok(None),
            };
            // Fails only when the process ends.
            let _ = inbox.send(Input::Event(Box::new(event))).await;
        }
    };
    debug!("link to the leader opened", kv: { address:, node: });
    let result = tokio::select! {
        result = sending => result.map(|()| None),
        result = receiving => result,
    };
    link.close();
    result
}
