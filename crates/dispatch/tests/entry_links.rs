//! Tests of the link of an entry to a leader that is slow, silent or gone.

#[allow(dead_code, reason = "these tests inject no faults into the store")]
mod support;

use {
    filbertbend_dispatch::{entry::Entry, link_identity},
    filbertbend_transport::{link::Link, tls::Identity},
    filbertbend_workload::message::{Reply, Request, Response},
    std::{future::Future, rc::Rc, time::Duration},
    support::{
        leader::{open, publish, FakeLeader},
        options, Memory,
    },
    tokio::{
        sync::watch,
        task::LocalSet,
        time::{sleep, Instant},
    },
};

/// Interval between the questions of a test.
const POLL: Duration = Duration::from_millis(10);

/// Answers the queries on a link, the first one after `delay`.
async fn answer(link: Link, delay: Duration) {
    let Some((mut sender, mut receiver)) = open(&link).await else {
        return;
    };
    let mut delay = Some(delay);
    while let Ok(Some(request)) = receiver.receive::<Request>().await {
        let Request::Query(ticket, _) = request else {
            continue;
        };
        sleep(delay.take().unwrap_or_default()).await;
        let reply = Response::Answer(ticket, Reply::Pending(7));
        if sender.send(&reply).await.is_err() {
            return;
        }
    }
}

/// Keeps a link open and reads it, but sends nothing.
async fn stay_silent(link: Link) {
    if let Some((_sender, mut receiver)) = open(&link).await {
        while let Ok(Some(_)) = receiver.receive::<Request>().await {}
    }
    link.closed().await;
}

fn start_entry(store: &Memory, identity: &Identity) -> Rc<Entry<Memory>> {
    let (_, catalog) = watch::channel(None);
    // The entry is stopped and never leads.
    let (_, stop) = watch::channel(true);
    Entry::start(store.clone(), options(), identity.clone(), catalog, stop).unwrap()
}

/// Asks an entry every few milliseconds, and returns the answers and the longest
/// wait for one.
async fn ask_for(entry: &Entry<Memory>, duration: Duration) -> (Vec<Option<u64>>, Duration) {
    let queue = "checks".into();
    let begun = Instant::now();
    let mut answers = Vec::new();
    let mut longest = Duration::ZERO;
    while begun.elapsed() < duration {
        let asked = Instant::now();
        answers.push(entry.pending(&queue).await);
        longest = longest.max(asked.elapsed());
        sleep(POLL).await;
    }
    (answers, longest)
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Guards against a handshake for every question that a busy leader doesn't
/// answer in time.
#[tokio::test]
async fn unanswered_questions_do_not_each_cost_a_link() {
    run(async {
        let store = Memory::default();
        let identity = link_identity::load_or_create(&store).await;
        let leader = FakeLeader::start(&identity, |_, link| stay_silent(link));
        publish(&store, leader.address);
        let entry = start_entry(&store, &identity);

        let (answers, _) = ask_for(&entry, Duration::from_secs(5)).await;

        assert!(answers.iter().all(Option::is_none));
        assert!((1..=3).contains(&leader.links()), "{}", leader.links());
    })
    .await;
}

/// Guards against a link that is closed because one answer was late.
#[tokio::test]
async fn slow_answer_costs_only_its_question() {
    run(async {
        let store = Memory::default();
        let identity = link_identity::load_or_create(&store).await;
        let slow = Duration::from_millis(800);
        let leader = FakeLeader::start(&identity, move |_, link| answer(link, slow));
        publish(&store, leader.address);
        let entry = start_entry(&store, &identity);

        let (answers, _) = ask_for(&entry, Duration::from_secs(2)).await;

        assert!(answers.contains(&None));
        assert_eq!(answers.last(), Some(&Some(7)));
        assert_eq!(leader.links(), 1);
    })
    .await;
}

/// Guards against a link that has gone silent and is kept for ever.
#[tokio::test]
async fn silent_link_is_replaced() {
    run(async {
        let store = Memory::default();
        let identity = link_identity::load_or_create(&store).await;
        let leader = FakeLeader::start(&identity, |number, link| async move {
            match number {
                1 => stay_silent(link).await,
                _ => answer(link, Duration::ZERO).await,
            }
        });
        publish(&store, leader.address);
        let entry = start_entry(&store, &identity);

        let (answers, _) = ask_for(&entry, Duration::from_secs(4)).await;

        assert_eq!(answers.last(), Some(&Some(7)));
        assert_eq!(leader.links(), 2);
    })
    .await;
}

/// Guards against links that are dialled without a pause while each breaks at
/// once, and against questions that wait for the pause to end.
#[tokio::test]
async fn links_of_an_entry_that_break_at_once_are_spaced() {
    run(async {
        let store = Memory::default();
        let identity = link_identity::load_or_create(&store).await;
        let leader = FakeLeader::start(&identity, |_, link| async move { link.close() });
        publish(&store, leader.address);
        let entry = start_entry(&store, &identity);

        let (answers, longest) = ask_for(&entry, Duration::from_secs(3)).await;

        assert!(answers.iter().all(Option::is_none));
        assert!((2..=8).contains(&leader.links()), "{}", leader.links());
        assert!(longest < Duration::from_millis(300), "{longest:?}");
    })
    .await;
}
