//! Tests of the link of an agent to a leader that is slow, silent or gone.

#[allow(dead_code, reason = "these tests inject no faults into the store")]
mod support;

use {
    filbertbend_dispatch::{agent, link_identity},
    filbertbend_transport::{link::Link, tls::Identity},
    filbertbend_workload::{
        id::{Epoch, Fence, Node},
        message::Response,
    },
    std::{
        cell::Cell, collections::BTreeSet, future::Future, net::SocketAddr, rc::Rc, time::Duration,
    },
    support::{
        leader::{loopback, open, publish, FakeLeader},
        Memory, NoWorker,
    },
    tokio::{
        net::UdpSocket,
        sync::watch,
        task::LocalSet,
        time::{sleep, timeout, timeout_at, Instant},
    },
};

/// How long a condition may take to come true.
const LIMIT: Duration = Duration::from_secs(10);
/// Interval at which a condition is checked.
const POLL: Duration = Duration::from_millis(10);

async fn welcome(link: Link) {
    let Some((mut sender, _receiver)) = open(&link).await else {
        return;
    };
    let welcome = Response::Welcome {
        epoch: Epoch(1),
        fence: Fence(1),
        profile: None,
    };
    while sender.send(&welcome).await.is_ok() {
        sleep(Duration::from_millis(500)).await;
    }
}

fn start_agent(store: &Memory, identity: &Identity) -> (agent::Handle, watch::Sender<bool>) {
    let (stopper, stop) = watch::channel(false);
    let node = Node("worker-1".into());
    let handle = agent::start(store.clone(), NoWorker, node, identity.clone(), stop);
    (handle, stopper)
}

async fn wait_until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            sleep(POLL).await;
        }
    };
    timeout(LIMIT, waiting).await.expect("condition in time");
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Guards against agents that keep a leader busy with handshakes because they
/// dial again at a fixed short interval.
#[tokio::test]
async fn links_of_an_agent_that_break_at_once_are_spaced() {
    run(async {
        let store = Memory::default();
        let identity = link_identity::load_or_create(&store).await;
        let leader = FakeLeader::start(&identity, |_, link| async move { link.close() });
        publish(&store, leader.address);
        let _agent = start_agent(&store, &identity);

        sleep(Duration::from_secs(4)).await;

        assert!((3..=8).contains(&leader.links()), "{}", leader.links());
    })
    .await;
}

/// Guards against an agent that gives up a busy leader before its handshake has
/// had its turn, and dials again.
#[tokio::test]
async fn dials_that_never_complete_are_spaced() {
    run(async {
        let store = Memory::default();
        let identity = link_identity::load_or_create(&store).await;
        let leader = UdpSocket::bind(loopback()).await.unwrap();
        publish(&store, leader.local_addr().unwrap());
        let _agent = start_agent(&store, &identity);

        // Each dial comes from a port of its own.
        let mut diallers = BTreeSet::new();
        let mut buffer = [0; 2048];
        let end = Instant::now() + Duration::from_secs(7);
        while let Ok(received) = timeout_at(end, leader.recv_from(&mut buffer)).await {
            diallers.insert(received.unwrap().1);
        }

        assert!((2..=3).contains(&diallers.len()), "{}", diallers.len());
    })
    .await;
}

/// Guards against an agent that never gets a session because its leader works
/// through the sessions of others first.
#[tokio::test]
async fn late_welcome_opens_the_session_on_the_first_link() {
    run(async {
        let store = Memory::default();
        let identity = link_identity::load_or_create(&store).await;
        let welcomed = Rc::new(Cell::new(false));
        let seen = welcomed.clone();
        let leader = FakeLeader::start(&identity, move |_, link| {
            let seen = seen.clone();
            async move {
                sleep(Duration::from_millis(2000)).await;
                seen.set(true);
                welcome(link).await;
            }
        });
        publish(&store, leader.address);
        let _agent = start_agent(&store, &identity);

        wait_until(|| welcomed.get()).await;
        // Longer than the silence limit of an open session.
        sleep(Duration::from_secs(2)).await;

        assert_eq!(leader.links(), 1);
    })
    .await;
}

/// Guards against an agent that closes a link whose handshake was late before its
/// session can open, so that the leader has to complete another.
#[tokio::test]
async fn late_session_opens_on_a_link_that_was_late() {
    run(async {
        let store = Memory::default();
        let identity = link_identity::load_or_create(&store).await;
        let welcomed = Rc::new(Cell::new(false));
        let seen = welcomed.clone();
        let late = Duration::from_millis(2000);
        let leader = FakeLeader::start_late(&identity, late, move |_, link| {
            let seen = seen.clone();
            async move {
                sleep(late).await;
                seen.set(true);
                welcome(link).await;
            }
        });
        publish(&store, leader.address);
        let _agent = start_agent(&store, &identity);

        wait_until(|| welcomed.get()).await;
        // Longer than the silence limit of an open session.
        sleep(Duration::from_secs(2)).await;

        assert_eq!(leader.links(), 1);
    })
    .await;
}

/// Guards against an agent that waits before it dials the new leader after a
/// change, however often the old one has failed.
#[tokio::test]
async fn new_leader_is_dialled_at_once() {
    run(async {
        let store = Memory::default();
        let identity = link_identity::load_or_create(&store).await;
        let broken = FakeLeader::start(&identity, |_, link| async move { link.close() });
        let working = FakeLeader::start(&identity, |_, link| welcome(link));
        publish(&store, broken.address);
        let _agent = start_agent(&store, &identity);
        // The delay after this many failures is at least 800 ms.
        wait_until(|| broken.links() == 5).await;

        publish(&store, working.address);
        let published = Instant::now();
        wait_until(|| working.links() == 1).await;

        assert!(published.elapsed() < Duration::from_millis(700));
    })
    .await;
}

/// Guards against a storm of links between two entries that each take the other
/// for the leader.
#[tokio::test]
async fn circular_redirects_are_spaced() {
    run(async {
        let store = Memory::default();
        let identity = link_identity::load_or_create(&store).await;
        let peer = Rc::new(Cell::new(loopback()));
        let redirect = |to: Rc<Cell<SocketAddr>>| {
            move |_, link: Link| {
                let to = to.get();
                async move {
                    if let Some((mut sender, _receiver)) = open(&link).await {
                        // Fails only if the agent has closed the link.
                        let _ = sender.send(&Response::NotLeader(Some(to))).await;
                        link.closed().await;
                    }
                }
            }
        };
        let first = FakeLeader::start(&identity, redirect(peer.clone()));
        let second = FakeLeader::start(&identity, redirect(Rc::new(Cell::new(first.address))));
        peer.set(second.address);
        publish(&store, first.address);
        let _agent = start_agent(&store, &identity);

        sleep(Duration::from_secs(3)).await;

        let links = first.links() + second.links();
        assert!((3..=14).contains(&links), "{links}");
    })
    .await;
}
