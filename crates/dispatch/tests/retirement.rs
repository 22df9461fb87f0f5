//! Tests of what an entry tells the leader about its predecessor.

#[allow(dead_code, reason = "these tests inject no faults into the store")]
mod support;

use {
    filbertbend_dispatch::{entry::Entry, link_identity},
    filbertbend_state::unit::Millis,
    filbertbend_transport::link::Link,
    filbertbend_workload::message::{Query, Reply, Request, Response},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    support::{
        leader::{loopback, open, publish_successor, FakeLeader},
        options, Memory,
    },
    tokio::{sync::watch, task::LocalSet, time::sleep},
};

/// How long an entry is watched: several times the pause between two attempts.
const WATCHED: Duration = Duration::from_millis(1500);

type Queries = Rc<RefCell<Vec<Query>>>;

/// Records the queries on a link, ignores the first and answers the others.
async fn record(link: Link, queries: Queries, ignored: Rc<Cell<usize>>) {
    let Some((mut sender, mut receiver)) = open(&link).await else {
        return;
    };
    while let Ok(Some(request)) = receiver.receive::<Request>().await {
        let Request::Query(ticket, query) = request else {
            continue;
        };
        queries.borrow_mut().push(query);
        if ignored.get() > 0 {
            ignored.set(ignored.get() - 1);
            continue;
        }
        let reply = Response::Answer(ticket, Reply::Noted);
        if sender.send(&reply).await.is_err() {
            return;
        }
    }
}

/// Starts an entry beside a leader with this predecessor; returns what the entry
/// tells the leader.
async fn queries(former: Option<SocketAddr>, ignored: usize) -> Vec<Query> {
    let store = Memory::default();
    let identity = link_identity::load_or_create(&store).await;
    let queries = Queries::default();
    let seen = queries.clone();
    let ignored = Rc::new(Cell::new(ignored));
    let leader = FakeLeader::start(&identity, move |_, link| {
        record(link, seen.clone(), ignored.clone())
    });
    publish_successor(&store, leader.address, former);
    let (_catalog, catalog) = watch::channel(None);
    let (_stopper, stop) = watch::channel(false);
    let _entry = Entry::start(store, options(), identity, catalog, stop).unwrap();
    sleep(WATCHED).await;
    queries.take()
}

/// Guards against a leader that waits for leases of a predecessor that is gone: its
/// process has restarted, and the message that says so is lost.
#[tokio::test]
async fn restart_of_the_former_leader_is_not_reported() {
    let run = async {
        let told = queries(Some(loopback()), 1).await;

        assert_eq!(told.len(), 2, "{told:?}");
        for query in told {
            let Query::Retired(address, idle) = query else {
                panic!("{query:?}");
            };
            assert_eq!(address, loopback());
            assert!(idle < Millis(1500), "{idle}");
        }
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a handshake of every entry with a leader that has just begun.
#[tokio::test]
async fn other_entries_open_links_to_a_new_leader() {
    let run = async {
        for former in [None, Some(SocketAddr::from(([127, 0, 0, 1], 9)))] {
            assert!(queries(former, 0).await.is_empty(), "{former:?}");
        }
    };
    LocalSet::new().run_until(run).await;
}
