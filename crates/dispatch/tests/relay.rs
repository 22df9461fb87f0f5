//! Tests of an entry that the store turns away while it serves the leader.

#[allow(dead_code, reason = "these tests use a part of the support")]
mod support;

use {
    filbertbend_dispatch::{
        entry::{Cancellation, Entry, Options, Submission},
        key, link_identity,
        platform::{Changes, Commit, Failure, Item, Lease, Revision, Store, Transaction},
    },
    filbertbend_state::unit::Millis,
    filbertbend_transport::{
        link::{Link, Socket},
        tls::Identity,
    },
    filbertbend_workload::{
        id::{Job, Node},
        message::{Query, Reply, Request, Response},
        record::{Leader, State},
        relay::{Call, Outcome},
    },
    std::{
        cell::Cell,
        future::{pending, ready, Future},
        net::{SocketAddr, UdpSocket},
        rc::Rc,
        time::Duration,
    },
    support::{
        job,
        leader::{loopback, open, publish, FakeLeader},
        options, Fault, Memory,
    },
    tokio::{
        sync::watch,
        task::LocalSet,
        time::{pause, sleep, timeout, Instant},
    },
};

/// How long the callers in these tests wait for an answer.
const LIMIT: Duration = Duration::from_millis(2850);
/// How long a test waits for a condition.
const WAIT: Duration = Duration::from_secs(8);
/// How long a call without an answer lasts.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long each call of a slow store lasts. The three calls of a cancellation
/// last longer than a leader works on a submission.
const SLOW: Duration = Duration::from_millis(220);

/// Maximum number of queries that a leader keeps open on a link.
const QUERY_LIMIT: u64 = 512;

/// The calls of one process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Calls {
    commits: usize,
    lists: usize,
    revocations: usize,
}

/// How the store treats the calls of one process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    Serve,
    Refuse,
    Reset,
    /// Resets the connection after a write has taken effect.
    ResetAfter,
    Silent,
    /// Answers each read, write and grant after [`SLOW`].
    Slow,
    /// Neither an answer nor an error arrives.
    Stuck,
}

/// The store as one process sees it.
#[derive(Clone)]
struct View {
    memory: Memory,
    mode: Rc<Cell<Mode>>,
    calls: Rc<Cell<Calls>>,
}

impl View {
    fn of(memory: &Memory) -> Self {
        Self {
            memory: memory.clone(),
            mode: Rc::new(Cell::new(Mode::Serve)),
            calls: Rc::default(),
        }
    }

    fn count(&self, count: impl FnOnce(&mut Calls)) {
        let mut calls = self.calls.get();
        count(&mut calls);
        self.calls.set(calls);
    }

    async fn reach(&self) -> Result<(), Failure> {
        match self.mode.get() {
            Mode::Serve => Ok(()),
            Mode::Slow => {
                sleep(SLOW).await;
                Ok(())
            }
            Mode::Stuck => pending().await,
            Mode::Refuse => Err(Failure::Refused("busy".into())),
            Mode::Reset | Mode::ResetAfter => Err(Failure::Lost("reset".into())),
            Mode::Silent => {
                sleep(CALL_TIMEOUT).await;
                Err(Failure::Lost("timed out".into()))
            }
        }
    }
}

impl Store for View {
    async fn get(&self, key: &str) -> Result<Option<Item>, Failure> {
        self.reach().await?;
        self.memory.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<(Vec<Item>, Revision), Failure> {
        self.count(|calls| calls.lists += 1);
        self.reach().await?;
        self.memory.list(prefix).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Millis) -> Result<Changes, Failure> {
        self.reach().await?;
        self.memory.watch(prefix, after, wait).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, Failure> {
        self.count(|calls| calls.commits += 1);
        if self.mode.get() == Mode::ResetAfter {
            self.memory.commit(transaction).await?;
        }
        self.reach().await?;
        self.memory.commit(transaction).await
    }

    async fn grant(&self, ttl: Millis) -> Result<Lease, Failure> {
        self.reach().await?;
        self.memory.grant(ttl).await
    }

    async fn renew(&self, lease: Lease) -> Result<(), Failure> {
        self.reach().await?;
        self.memory.renew(lease).await
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Failure> {
        self.count(|calls| calls.revocations += 1);
        self.reach().await?;
        self.memory.revoke(lease).await
    }
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

async fn until(what: &str, condition: impl Fn() -> bool) {
    let waited = timeout(WAIT, async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(waited.await.is_ok(), "{what}");
}

/// Starts an entry that never leads.
fn follow(view: &View, identity: &Identity) -> Rc<Entry<View>> {
    let (_, catalog) = watch::channel(Some(Default::default()));
    let (_, stop) = watch::channel(true);
    Entry::start(view.clone(), options(), identity.clone(), catalog, stop).unwrap()
}

/// Starts an entry that leads, and returns once it does.
async fn lead(memory: &Memory, identity: &Identity) -> (View, watch::Sender<bool>) {
    let socket = UdpSocket::bind(loopback()).unwrap();
    let address = socket.local_addr().unwrap();
    drop(socket);
    let options = Options {
        node: "leader".into(),
        address,
        ..options()
    };
    let view = View::of(memory);
    let (_, catalog) = watch::channel(None);
    let (stopper, stop) = watch::channel(false);
    Entry::start(view.clone(), options, identity.clone(), catalog, stop).unwrap();
    until("an entry leads", || memory.item(key::LEADER).is_some()).await;
    (view, stopper)
}

/// Returns an entry beside a leader, and the views of both.
async fn pair(memory: &Memory) -> (Rc<Entry<View>>, View, View, watch::Sender<bool>) {
    let identity = link_identity::load_or_create(memory).await;
    let (leader, stopper) = lead(memory, &identity).await;
    let view = View::of(memory);
    let entry = follow(&view, &identity);
    // Waits until the entry knows the leader.
    let begun = Instant::now();
    while entry.pending(&"checks".into()).await.is_none() {
        assert!(begun.elapsed() < WAIT, "the leader is asked");
        sleep(Duration::from_millis(20)).await;
    }
    (entry, view, leader, stopper)
}

fn is_stored(memory: &Memory, id: u64) -> bool {
    memory.item(&key::job(Job(id))).is_some()
}

/// Guards against callers who are told that their job is not stored, or perhaps,
/// while the store serves other entries.
#[tokio::test]
async fn entry_that_the_store_turns_away_serves_its_callers() {
    run(async {
        for mode in [Mode::Refuse, Mode::Reset, Mode::ResetAfter, Mode::Silent] {
            let memory = Memory::default();
            let (entry, view, _leader, _stopper) = pair(&memory).await;
            view.mode.set(mode);

            for id in 1..=3 {
                let submission = entry.submit(Job(id), &job(), LIMIT).await;
                assert_eq!(submission, Submission::Accepted, "{mode:?}");
                assert!(is_stored(&memory, id), "{mode:?}");
                assert_eq!(entry.state(Job(id)).await, Ok(Some(State::Queued)));
            }
            assert_eq!(entry.cancel(Job(1)).await, Cancellation::Accepted);
            assert!(memory.item(&key::cancellation(Job(1))).is_some());
            assert_eq!(entry.state(Job(9)).await, Ok(None), "{mode:?}");
            assert_eq!(entry.cancel(Job(9)).await, Cancellation::UnknownJob);
            let withdrawn = entry.submit(Job(9), &job(), LIMIT).await;
            assert!(
                matches!(withdrawn, Submission::Withdrawn(_)),
                "{withdrawn:?}"
            );
            assert!(!is_stored(&memory, 9), "{mode:?}");
        }
    })
    .await;
}

/// Guards against an entry that tries a silent store for each of its callers.
#[tokio::test]
async fn only_the_first_caller_waits_for_a_silent_store() {
    run(async {
        let memory = Memory::default();
        let (entry, view, _leader, _stopper) = pair(&memory).await;
        view.mode.set(Mode::Silent);
        entry.submit(Job(1), &job(), LIMIT).await;

        let calls = view.calls.get();
        let submission = entry.submit(Job(2), &job(), LIMIT).await;

        assert_eq!(submission, Submission::Accepted);
        assert_eq!(view.calls.get().commits, calls.commits);
    })
    .await;
}

/// Guards against "not run" or "perhaps" without a try elsewhere, and against
/// callers that are kept waiting when nobody reaches the store.
#[tokio::test]
async fn callers_are_refused_at_once_when_nobody_reaches_the_store() {
    run(async {
        let memory = Memory::default();
        let (entry, view, leader, _stopper) = pair(&memory).await;
        view.mode.set(Mode::Refuse);
        leader.mode.set(Mode::Refuse);
        let first = entry.submit(Job(1), &job(), LIMIT).await;
        assert!(matches!(first, Submission::Refused(_)), "{first:?}");
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(700) {
            entry.submit(Job(2), &job(), LIMIT).await;
        }

        // Nothing that the entry knows expires before it answers.
        pause();
        let calls = view.calls.get();
        let third = job();
        let refused = tokio::select! {
            biased;
            submission = entry.submit(Job(3), &third, LIMIT) => Some(submission),
            () = ready(()) => None,
        };

        assert!(
            matches!(refused, Some(Submission::Refused(_))),
            "{refused:?}"
        );
        assert_eq!(view.calls.get(), calls);
        for id in 1..=3 {
            assert!(!is_stored(&memory, id), "{id}");
        }
    })
    .await;
}

/// Guards against an entry that is taken out of service although it can serve
/// through the leader, and against one that stays in service and can't.
#[tokio::test]
async fn entry_is_ready_while_the_leader_reaches_the_store() {
    run(async {
        let memory = Memory::default();
        let (entry, view, leader, _stopper) = pair(&memory).await;
        view.mode.set(Mode::Refuse);
        sleep(Duration::from_secs(5)).await;
        assert!(entry.is_ready(), "served by the leader");
        assert!(!entry.reaches_store());

        leader.mode.set(Mode::Refuse);
        until("it can't serve", || !entry.is_ready()).await;
        view.mode.set(Mode::Serve);
        until("the store serves it again", || entry.is_ready()).await;
    })
    .await;
}

/// Carries out the submissions on a link and answers those after the first
/// `lost`.
async fn answer(link: Link, memory: Memory, lost: usize, served: Rc<Cell<usize>>) {
    let Some((mut sender, mut receiver)) = open(&link).await else {
        return;
    };
    while let Ok(Some(request)) = receiver.receive::<Request>().await {
        let Request::Relay(ticket, Call::Submit(id, value)) = request else {
            continue;
        };
        served.set(served.get() + 1);
        memory.put(&key::job(id), value.to_vec());
        if served.get() > lost {
            let response = Response::Relayed(ticket, Outcome::Stored);
            sender.send(&response).await.unwrap();
        }
    }
}

/// Names a leader that behaves as told, and returns an entry that knows it.
async fn beside(
    memory: &Memory,
    identity: &Identity,
    leader: SocketAddr,
) -> (Rc<Entry<View>>, View) {
    publish(memory, leader);
    let view = View::of(memory);
    let entry = follow(&view, identity);
    // The entry reads the leader's key first.
    sleep(Duration::from_millis(50)).await;
    (entry, view)
}

/// Guards against an outcome that is reported as unknown although it could be
/// asked for again, and against "not run" for a job that the leader stored.
#[tokio::test]
async fn lost_answer_of_the_leader_is_asked_for_again() {
    run(async {
        for (lost, accepted) in [(1, true), (usize::MAX, false)] {
            let memory = Memory::default();
            let identity = link_identity::load_or_create(&memory).await;
            let served = Rc::new(Cell::new(0));
            let (store, count) = (memory.clone(), served.clone());
            let leader = FakeLeader::start(&identity, move |_, link| {
                answer(link, store.clone(), lost, count.clone())
            });
            let (entry, view) = beside(&memory, &identity, leader.address).await;
            view.mode.set(Mode::Refuse);

            let submission = entry.submit(Job(1), &job(), LIMIT).await;

            assert!(served.get() >= 2, "{}", served.get());
            assert!(is_stored(&memory, 1));
            match submission {
                Submission::Accepted => assert!(accepted),
                Submission::Unknown(_) => assert!(!accepted),
                other => panic!("{other:?}"),
            }
        }
    })
    .await;
}

/// Refuses a link and names another leader, if given.
async fn redirect(link: Link, leader: Option<SocketAddr>) {
    if let Some((mut sender, _receiver)) = open(&link).await {
        let _ = sender.send(&Response::NotLeader(leader)).await;
        sender.finish();
        sender.stopped().await;
    }
}

/// Guards against an entry that asks the former leader for ever, because the
/// store that turns it away does not tell it of the new one.
#[tokio::test]
async fn former_leader_tells_of_the_new_one() {
    run(async {
        let memory = Memory::default();
        let identity = link_identity::load_or_create(&memory).await;
        let served = Rc::new(Cell::new(0));
        let (store, count) = (memory.clone(), served.clone());
        let successor = FakeLeader::start(&identity, move |_, link| {
            answer(link, store.clone(), 0, count.clone())
        });
        let address = successor.address;
        let former = FakeLeader::start(&identity, move |_, link| redirect(link, Some(address)));
        let (entry, view) = beside(&memory, &identity, former.address).await;
        view.mode.set(Mode::Silent);

        let submission = entry.submit(Job(1), &job(), LIMIT).await;

        assert_eq!(submission, Submission::Accepted);
        assert_eq!(served.get(), 1);
    })
    .await;
}

/// Guards against a job too large for a message, which would break the link and
/// with it the questions of others.
#[tokio::test]
async fn job_too_large_to_be_passed_on_costs_only_itself() {
    run(async {
        let memory = Memory::default();
        let (entry, view, _leader, _stopper) = pair(&memory).await;
        view.mode.set(Mode::Refuse);
        let mut large = job();
        large.spec = "x".repeat(5 << 20).into();
        let small = job();

        let (refused, accepted) = tokio::join!(
            entry.submit(Job(1), &large, LIMIT),
            entry.submit(Job(2), &small, LIMIT),
        );

        assert!(matches!(refused, Submission::Refused(_)), "{refused:?}");
        assert_eq!(accepted, Submission::Accepted);
        assert!(!is_stored(&memory, 1));
    })
    .await;
}

/// Guards against "perhaps" for a request that nobody has read: the peer does
/// not lead and does not know who does.
#[tokio::test]
async fn question_to_a_peer_that_knows_no_leader_counts_as_not_sent() {
    run(async {
        let memory = Memory::default();
        let identity = link_identity::load_or_create(&memory).await;
        let former = FakeLeader::start(&identity, |_, link| redirect(link, None));
        let (entry, view) = beside(&memory, &identity, former.address).await;
        view.mode.set(Mode::Refuse);

        let submission = entry.submit(Job(1), &job(), LIMIT).await;

        assert!(former.links() > 0);
        assert!(
            matches!(submission, Submission::Refused(_)),
            "{submission:?}"
        );
    })
    .await;
}

/// Guards against calls that wait for the planner, which they don't concern.
#[tokio::test]
async fn unanswered_query_does_not_delay_a_call() {
    run(async {
        let memory = Memory::default();
        let identity = link_identity::load_or_create(&memory).await;
        let (leader, stopper) = lead(&memory, &identity).await;
        let record = memory.item(key::LEADER).unwrap();
        let record: Leader = postcard::from_bytes(&record.value).unwrap();
        let socket = Socket::dialler(&identity).unwrap();
        let link = socket.dial_within(record.address, WAIT).await.unwrap();
        let (mut sender, mut receiver) = link.open().await.unwrap();
        let opening = Request::Entry(Node("other".into()));
        sender.send(&opening).await.unwrap();
        // The planner answers nothing while its term waits for the store to end.
        leader.mode.set(Mode::Stuck);
        stopper.send(true).unwrap();
        until("the term ends", || leader.calls.get().revocations > 0).await;

        let query = Request::Query(1, Query::State(Job(1)));
        sender.send(&query).await.unwrap();
        let call = Request::Relay(2, Call::Probe);
        sender.send(&call).await.unwrap();

        let response = timeout(WAIT, receiver.receive::<Response>()).await;
        assert!(
            matches!(response, Ok(Ok(Some(Response::Relayed(2, _))))),
            "{response:?}"
        );
        // Beyond the bound, a query is answered without the planner.
        for ticket in 3..=QUERY_LIMIT + 2 {
            let query = Request::Query(ticket, Query::State(Job(1)));
            sender.send(&query).await.unwrap();
        }
        let response = timeout(WAIT, receiver.receive::<Response>()).await;
        let last = QUERY_LIMIT + 2;
        assert!(
            matches!(response, Ok(Ok(Some(Response::Answer(ticket, Reply::NotReady)))) if ticket == last),
            "{response:?}"
        );
    })
    .await;
}

/// Guards against a cancellation that the leader never completes, because its
/// calls together last longer than a submission may.
#[tokio::test]
async fn leader_completes_a_cancellation_with_a_slow_store() {
    run(async {
        let memory = Memory::default();
        let (entry, view, leader, _stopper) = pair(&memory).await;
        view.mode.set(Mode::Refuse);
        leader.mode.set(Mode::Slow);

        let cancellation = entry.cancel(Job(1)).await;

        assert_eq!(cancellation, Cancellation::UnknownJob);
    })
    .await;
}

/// Guards against a store that counts as away because a caller had little time
/// left.
#[tokio::test]
async fn attempt_that_was_cut_short_says_nothing_about_the_store() {
    run(async {
        for (limit_ms, reported) in [(150, false), (600, true)] {
            let memory = Memory::default();
            let identity = link_identity::load_or_create(&memory).await;
            let view = View::of(&memory);
            let entry = follow(&view, &identity);
            until("the key is read", || view.calls.get().lists > 0).await;
            memory.fail([Fault::Silence; 20]);
            let limit = Duration::from_millis(limit_ms);

            let submission = entry.submit(Job(1), &job(), limit).await;

            assert!(matches!(submission, Submission::Unknown(_)), "{limit:?}");
            // A report of a failure makes the entry list its keys at once.
            sleep(Duration::from_millis(50)).await;
            assert_eq!(view.calls.get().lists > 1, reported, "{limit:?}");
        }
    })
    .await;
}
