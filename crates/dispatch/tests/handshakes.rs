//! Tests of an entry that many processes dial at the same time.

#[allow(dead_code, reason = "these tests inject no faults into the store")]
mod support;

use {
    filbertbend_dispatch::{
        entry::{Entry, Options},
        link_identity,
    },
    filbertbend_state::unit::{Cores, Millis},
    filbertbend_transport::{link::Socket, tls::Identity},
    filbertbend_workload::planner::Settings,
    std::{future::Future, net::SocketAddr, rc::Rc, time::Duration},
    support::{counts::Counts, leader::loopback, Memory},
    tokio::{
        net::UdpSocket,
        sync::watch,
        task::LocalSet,
        time::{sleep, timeout, Instant},
    },
};

/// Diallers that send a first packet and then nothing.
const GONE_DIALLERS: usize = 58;
/// How long a test waits for the entry's handshakes.
const LIMIT: Duration = Duration::from_secs(10);
/// Interval at which a condition is checked.
const POLL: Duration = Duration::from_millis(10);

/// Starts an entry and returns the address at which it accepts links.
async fn start_entry(identity: &Identity) -> (Rc<Entry<Memory>>, SocketAddr) {
    let free = UdpSocket::bind(loopback()).await.unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let options = Options {
        node: "entry-1".into(),
        address,
        processor: Cores(500),
        planner: Settings {
            lease: Millis(5500),
            lease_limit: Millis(10_000),
            silence_limit: Millis(2200),
            job_retention: Millis(120_000),
            worker_retention: Millis(12_000),
        },
        evacuations: None,
    };
    let (_, catalog) = watch::channel(None);
    // The entry is stopped and never leads.
    let (_, stop) = watch::channel(true);
    let store = Memory::default();
    let entry = Entry::start(store, options, identity.clone(), catalog, stop).unwrap();
    (entry, address)
}

/// Returns the first packet of a new dialler.
async fn first_packet(identity: &Identity) -> Vec<u8> {
    let peer = UdpSocket::bind(loopback()).await.unwrap();
    let address = peer.local_addr().unwrap();
    let socket = Socket::dialler(identity).unwrap();
    let mut packet = vec![0; 2048];
    let length = tokio::select! {
        received = peer.recv(&mut packet) => received.unwrap(),
        _ = socket.dial(address) => panic!("the peer completes no handshake"),
    };
    packet.truncate(length);
    packet
}

/// Sends the first packets of diallers that are gone by then. Returns the
/// sockets from which they were sent.
async fn dial_and_go(identity: &Identity, address: SocketAddr) -> Vec<UdpSocket> {
    let mut packets = Vec::new();
    for _ in 0..GONE_DIALLERS {
        packets.push(first_packet(identity).await);
    }
    let mut sockets = Vec::new();
    for packet in packets {
        let socket = UdpSocket::bind(loopback()).await.unwrap();
        socket.send_to(&packet, address).await.unwrap();
        sockets.push(socket);
    }
    sockets
}

/// Returns how many of the sockets have received a packet.
fn answered(sockets: &[UdpSocket]) -> usize {
    let mut buffer = [0; 2048];
    let answered = sockets
        .iter()
        .filter(|socket| socket.try_recv(&mut buffer).is_ok());
    answered.count()
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Guards against a leader that spends its processor time on the handshakes of
/// all its diallers at once, most of which have given up by the end.
#[tokio::test]
async fn handshakes_of_gone_diallers_are_limited_and_dropped() {
    let counts = Counts::default();
    let _recorder = metrics::set_default_local_recorder(&counts);
    run(async {
        let store = Memory::default();
        let identity = link_identity::load_or_create(&store).await;
        let (_entry, address) = start_entry(&identity).await;

        let gone = dial_and_go(&identity, address).await;
        sleep(Duration::from_millis(200)).await;
        let answered_at_once = answered(&gone);
        let results = ["failed", "timed_out", "dropped"];
        let counted = || {
            results
                .iter()
                .map(|result| counts.handshakes(result))
                .sum::<u64>()
        };
        let counting = async {
            while counted() < GONE_DIALLERS as u64 {
                sleep(POLL).await;
            }
        };
        let all_counted = timeout(LIMIT, counting).await;

        assert!((1..=4).contains(&answered_at_once), "{answered_at_once}");
        all_counted.expect("every handshake is counted");
        assert!(
            counts.handshakes("dropped") >= 20,
            "{}",
            counts.handshakes("dropped")
        );
        assert_eq!(counts.handshakes("accepted"), 0);
    })
    .await;
}

/// Guards against diallers that are gone and hold up all others.
#[tokio::test]
async fn live_dialler_gets_its_turn_among_gone_ones() {
    let counts = Counts::default();
    let _recorder = metrics::set_default_local_recorder(&counts);
    run(async {
        let store = Memory::default();
        let identity = link_identity::load_or_create(&store).await;
        let (_entry, address) = start_entry(&identity).await;
        let _gone = dial_and_go(&identity, address).await;

        let socket = Socket::dialler(&identity).unwrap();
        let dialled = Instant::now();
        while socket.dial(address).await.is_err() {
            assert!(dialled.elapsed() < LIMIT);
        }

        // The dialler's side of the handshake completes first.
        let accepting = async {
            while counts.handshakes("accepted") == 0 {
                sleep(POLL).await;
            }
        };
        timeout(LIMIT, accepting).await.expect("an accepted link");
        assert!(dialled.elapsed() < LIMIT);
    })
    .await;
}
