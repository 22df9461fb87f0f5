//! Tests of a new leader with little processor time that all agents dial.

#[allow(dead_code, reason = "these tests inject no faults into the store")]
mod support;

use {
    filbertbend_dispatch::{
        agent,
        entry::{Entry, Options},
        link_identity,
    },
    filbertbend_state::unit::Cores,
    filbertbend_transport::tls::Identity,
    filbertbend_workload::id::Node,
    rustix::time::{clock_gettime, ClockId},
    std::{
        future::{pending, Future},
        net::{SocketAddr, UdpSocket},
        thread,
        time::Duration,
    },
    support::{
        counts::Counts,
        leader::{loopback, publish},
        options, Memory, NoWorker,
    },
    tokio::{
        sync::watch,
        task::LocalSet,
        time::{sleep, timeout},
    },
};

const AGENTS: u64 = 240;
/// The processor time of the leader, in percent of a core.
const SHARE_PERCENT: u32 = 25;
/// How long the test waits for the sessions of all agents.
const LIMIT: Duration = Duration::from_secs(90);
/// Interval at which a condition is checked.
const POLL: Duration = Duration::from_millis(50);

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Suspends the thread, as a scheduler would, whenever it has used its share of
/// processor time.
async fn throttle() {
    let mut used = thread_time();
    loop {
        let now = thread_time();
        thread::sleep((now - used) * (100 - SHARE_PERCENT) / SHARE_PERCENT);
        used = now;
        sleep(Duration::from_millis(1)).await;
    }
}

/// Returns an address of this machine that no process listens at.
fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind(loopback()).unwrap();
    socket.local_addr().unwrap()
}

fn block_on(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, work);
}

/// Runs an entry with little processor time, which becomes the leader.
async fn lead(identity: Identity, address: SocketAddr) {
    let options = Options {
        address,
        processor: Cores(u64::from(SHARE_PERCENT) * 10),
        ..options()
    };
    let (_catalogs, catalog) = watch::channel(None);
    let (_stopper, stop) = watch::channel(false);
    let _entry = Entry::start(Memory::default(), options, identity, catalog, stop).unwrap();
    throttle().await;
}

/// Runs agents that follow the leader at `address`.
async fn follow(identity: Identity, address: SocketAddr) {
    let store = Memory::default();
    publish(&store, address);
    let (_stopper, stop) = watch::channel(false);
    let _agents: Vec<_> = (0..AGENTS)
        .map(|number| {
            let node = Node(format!("worker-{number}").into());
            agent::start(
                store.clone(),
                NoWorker,
                node,
                identity.clone(),
                stop.clone(),
            )
        })
        .collect();
    pending().await
}

/// Guards against a leader that spends its time on handshakes whose diallers give
/// up before they end, so that most agents get no session for tens of seconds.
#[tokio::test]
async fn busy_leader_completes_handshakes_that_agents_give_up() {
    let counts = Counts::default();
    let identity = LocalSet::new()
        .run_until(async { link_identity::load_or_create(&Memory::default()).await })
        .await;
    let address = free_address();
    let (recorder, leader) = (counts.clone(), identity.clone());
    thread::spawn(move || {
        let _recorder = metrics::set_default_local_recorder(&recorder);
        block_on(lead(leader, address));
    });
    thread::spawn(move || block_on(follow(identity, address)));

    let opening = async {
        while counts.sessions() < AGENTS {
            sleep(POLL).await;
        }
    };
    timeout(LIMIT, opening)
        .await
        .expect("sessions of all agents");

    let given_up = counts.handshakes("failed");
    assert!(given_up <= AGENTS / 10, "{given_up} handshakes given up");
}
