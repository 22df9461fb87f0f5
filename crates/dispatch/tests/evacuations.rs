//! Which data centres count as evacuated while the store fails, and what a leader
//! starts there.

#[allow(dead_code, reason = "these tests need few of the store's faults")]
mod support;

use {
    filbertbend_dispatch::{
        entry::{Entry, Options},
        evacuation_watch::{Source, Watch},
        key, link_identity,
    },
    filbertbend_state::{
        room::Room,
        unit::{Bytes, Cores, Millis},
    },
    filbertbend_transport::{
        link::{Link, Receiver, Sender, Socket},
        tls::Identity,
    },
    filbertbend_workload::{
        id::{Incarnation, Job, Node},
        message::{Inventory, Report, Request, Response, Start},
        record::{Leader, Progress},
        worker::Profile,
    },
    std::{collections::BTreeSet, future::Future, sync::Arc, time::Duration},
    support::{job, leader::loopback, options, Memory},
    tokio::{
        net::UdpSocket,
        sync::watch,
        task::{yield_now, LocalSet},
        time::{sleep, timeout, Instant},
    },
};

const BOUND: Millis = Millis(5000);
const LIMIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(5);

fn source() -> Source {
    Source {
        prefix: "evacuated/",
        decode: |key| {
            let name = key.strip_prefix("evacuated/")?;
            (!name.is_empty()).then(|| name.into())
        },
        bound: BOUND,
    }
}

/// Starts a watch of a store in which these data centres are evacuated.
async fn watched(names: &[&str]) -> (Memory, Watch) {
    let store = Memory::default();
    for name in names {
        store.put(&format!("evacuated/{name}"), Vec::new());
    }
    let mut watch = Watch::start(store.clone(), Some(source()));
    assert_eq!(next(&mut watch).await, set(names));
    (store, watch)
}

/// Waits for the next change of the evacuated data centres.
async fn next(watch: &mut Watch) -> BTreeSet<Arc<str>> {
    timeout(LIMIT, watch.changed()).await.expect("a change")
}

fn set(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Guards against an evacuation that ends because the store does not answer.
#[tokio::test(start_paused = true)]
async fn evacuations_stay_in_force_while_the_store_is_away() {
    run(async {
        let (store, mut watch) = watched(&["xela"]).await;
        store.set_away(true);
        store.put("evacuated/toto", Vec::new());
        let changed = timeout(Duration::from_secs(60), watch.changed()).await;
        assert!(changed.is_err(), "{changed:?}");

        store.set_away(false);
        assert_eq!(next(&mut watch).await, set(&["toto", "xela"]));
    })
    .await;
}

/// Guards against a connection that has gone silent and is noticed too late.
#[tokio::test(start_paused = true)]
async fn evacuation_behind_a_silent_connection_is_read_within_its_bound() {
    run(async {
        let (store, mut watch) = watched(&[]).await;
        store.set_away(true);
        // The poll in progress gets no answer.
        sleep(POLL).await;
        store.set_away(false);
        store.put("evacuated/xela", Vec::new());
        let written = Instant::now();

        assert_eq!(next(&mut watch).await, set(&["xela"]));
        assert!(written.elapsed() < BOUND.duration() / 2);
    })
    .await;
}

/// Guards against changes that are missed because the store has dropped its
/// history.
#[tokio::test(start_paused = true)]
async fn changes_in_a_compacted_history_are_listed() {
    run(async {
        let (store, mut watch) = watched(&["xela"]).await;
        store.remove("evacuated/xela");
        store.put("evacuated/toto", Vec::new());
        store.compact();

        assert_eq!(next(&mut watch).await, set(&["toto"]));
    })
    .await;
}

/// Guards against a key of another writer that ends the watch or hides the others,
/// and against one that evacuates nothing because of its value.
#[tokio::test(start_paused = true)]
async fn odd_keys_and_values_are_passed_over() {
    run(async {
        let (store, mut watch) = watched(&["nowhere"]).await;
        store.put("evacuated/", b"xela".to_vec());
        store.put("evacuated/toto", vec![0xff; 64]);
        store.put("evacuate", Vec::new());
        assert_eq!(next(&mut watch).await, set(&["nowhere", "toto"]));

        store.remove("evacuated/toto");
        assert_eq!(next(&mut watch).await, set(&["nowhere"]));
    })
    .await;
}

/// Guards against a former leader that goes on polling the store.
#[tokio::test]
async fn watch_ends_with_its_handle() {
    run(async {
        let (store, watch) = watched(&["xela"]).await;
        drop(watch);
        let ended = async {
            while store.clones() > 1 {
                yield_now().await;
            }
        };
        timeout(LIMIT, ended).await.expect("the poller ends");
    })
    .await;
}

/// The link of an agent to the leader.
struct Agent {
    _link: Link,
    _sender: Sender,
    receiver: Receiver,
}

impl Agent {
    /// Opens a session for an idle worker in a data centre.
    async fn join(leader: &Leader, identity: &Identity, data_centre: &str) -> Self {
        let socket = Socket::dialler(identity).unwrap();
        let link = socket.dial_within(leader.address, LIMIT).await.unwrap();
        let (mut sender, mut receiver) = link.open().await.unwrap();
        let node = Node(data_centre.into());
        sender.send(&Request::Agent(node)).await.unwrap();
        let welcome = receiver.receive::<Response>().await.unwrap();
        let Some(Response::Welcome { fence, .. }) = welcome else {
            panic!("{welcome:?}");
        };
        let report = Report {
            fence,
            ..joined(data_centre)
        };
        let report = Request::Report(Box::new(report));
        sender.send(&report).await.unwrap();
        Self {
            _link: link,
            _sender: sender,
            receiver,
        }
    }

    async fn next_start(&mut self) -> Start {
        let received = async {
            loop {
                let response = self.receiver.receive::<Response>().await.unwrap();
                if let Some(Response::Orders(orders)) = response {
                    if let Some(start) = orders.starts.into_iter().next() {
                        return start;
                    }
                }
            }
        };
        timeout(LIMIT, received).await.expect("a start is sent")
    }
}

fn joined(data_centre: &str) -> Report {
    let incarnation = Incarnation {
        worker: data_centre.into(),
        started_ms: 1,
    };
    let room = Room {
        cores: Cores(1000),
        memory: Bytes(1 << 30),
        ..Room::NONE
    };
    Report {
        profile: Some(Profile {
            incarnation: incarnation.clone(),
            pool: Arc::default(),
            data_centre: data_centre.into(),
            room,
            labels: Vec::new(),
            draining: false,
            remaining_ms: None,
        }),
        inventory: Some(Inventory {
            incarnation,
            restarted: None,
            foreign_lease: None,
            running: Vec::new(),
            crash: None,
        }),
        renew: Some(1),
        ..Report::default()
    }
}

async fn wait_for_leader(store: &Memory) -> Leader {
    let found = async {
        loop {
            if let Some(item) = store.item(key::LEADER) {
                return postcard::from_bytes(&item.value).unwrap();
            }
            sleep(POLL).await;
        }
    };
    timeout(LIMIT, found).await.expect("an entry leads")
}

/// Guards against an entry that leads without regard to the evacuations before its
/// term, and against one that does not notice their end.
#[tokio::test]
async fn new_leader_starts_nothing_in_an_evacuated_data_centre() {
    run(async {
        let store = Memory::default();
        store.put("evacuated/xela", Vec::new());
        let mut spread = job();
        spread.steps[0].tasks = 2;
        spread.steps[0].placement.most_per_worker = Some(1);
        store.put(&key::job(Job(1)), postcard::to_stdvec(&spread).unwrap());
        let identity = link_identity::load_or_create(&store).await;
        let (_catalogs, catalog) = watch::channel(None);
        let (_stopper, stop) = watch::channel(false);
        let free = UdpSocket::bind(loopback()).await.unwrap();
        let options = Options {
            address: free.local_addr().unwrap(),
            evacuations: Some(source()),
            ..options()
        };
        drop(free);
        let entry = Entry::start(store.clone(), options, identity.clone(), catalog, stop);
        let _entry = entry.unwrap();
        let leader = wait_for_leader(&store).await;

        let mut near = Agent::join(&leader, &identity, "xela").await;
        let mut far = Agent::join(&leader, &identity, "toto").await;
        far.next_start().await;
        // Whatever a pass has placed is stored before the first start is sent.
        let item = store.item(&key::progress(Job(1))).unwrap();
        let found: Progress = postcard::from_bytes(&item.value).unwrap();
        let tasks = found.occurrences.iter().flat_map(|found| &found.unfinished);
        let nodes: Vec<&Node> = tasks
            .flat_map(|task| &task.runs)
            .map(|run| &run.0)
            .collect();
        assert_eq!(nodes, [&Node("toto".into())]);

        store.remove("evacuated/xela");
        near.next_start().await;
    })
    .await;
}
