//! Claims of the leadership with records that another writer has changed.

#[allow(dead_code, reason = "these tests open no links")]
mod support;

use {
    filbertbend_dispatch::{entry::Entry, key, link_identity},
    filbertbend_state::unit::Cores,
    filbertbend_workload::{
        id::Epoch,
        record::{Leader, Term},
    },
    serde::{Deserialize, Serialize},
    std::{
        future::Future,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
    support::{options, Memory},
    tokio::{
        sync::watch,
        task::LocalSet,
        time::{sleep, timeout, Instant},
    },
};

const LIMIT: Duration = Duration::from_secs(5);
/// The address of the leader of the stored term.
const FORMER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);
const POLL: Duration = Duration::from_millis(10);

fn encode(record: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(record).unwrap()
}

fn term(epoch: u64) -> Vec<u8> {
    encode(&former_term(epoch, false))
}

fn former_term(epoch: u64, settled: bool) -> Term {
    Term {
        epoch: Epoch(epoch),
        batch: 3,
        node: "entry-9".into(),
        address: FORMER,
        settled,
        processor: None,
    }
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Starts an entry, and returns the term that it claims.
async fn claimed_term(store: &Memory) -> Option<Term> {
    let identity = link_identity::load_or_create(store).await;
    let (_catalog, catalog) = watch::channel(None);
    let (_stopper, stop) = watch::channel(false);
    let _entry = Entry::start(store.clone(), options(), identity, catalog, stop).unwrap();
    let claimed = async {
        loop {
            let leader: Option<Leader> = store
                .item(key::LEADER)
                .and_then(|item| postcard::from_bytes(&item.value).ok());
            if leader.is_some_and(|leader| &*leader.node == "entry-1") {
                let term = store.item(key::TERM).expect("a leader has a term");
                return postcard::from_bytes(&term.value).unwrap();
            }
            sleep(POLL).await;
        }
    };
    timeout(LIMIT, claimed).await.ok()
}

/// Guards against a leader whose fences are lower than those that the workers
/// have seen, because the stored term was damaged: they refuse all its orders.
#[tokio::test]
async fn damaged_term_does_not_lower_the_epoch() {
    for odd in [
        vec![],
        vec![0xff; 20],
        term(u64::MAX),
        term(1 << 40),
        term(0),
    ] {
        run(async move {
            let store = Memory::default();
            store.put(key::EPOCH, encode(&Epoch(41)));
            store.put(key::TERM, odd.clone());

            let claimed = claimed_term(&store).await.expect("the term is claimed");

            assert_eq!(claimed.epoch, Epoch(42), "{odd:?}");
            let epoch = store.item(key::EPOCH).unwrap();
            assert_eq!(epoch.value, encode(&Epoch(42)));
        })
        .await;
    }
}

/// Guards against an odd epoch that makes the leaders' fences overflow, or that
/// ends every leader.
#[tokio::test]
async fn odd_epoch_is_passed_over() {
    for odd in [
        vec![],
        vec![0xff; 20],
        encode(&Epoch(u64::MAX)),
        encode(&Epoch(1 << 40)),
    ] {
        run(async move {
            let store = Memory::default();
            store.put(key::EPOCH, odd.clone());
            store.put(key::TERM, term(41));

            let claimed = claimed_term(&store).await.expect("the term is claimed");

            assert_eq!(claimed.epoch, Epoch(42), "{odd:?}");
        })
        .await;
    }
}

/// Guards against a deployment without a leader for good because nobody can read
/// the leader's key, which is bound to no lease.
#[tokio::test]
async fn unreadable_key_of_the_leader_does_not_prevent_a_claim() {
    for odd in [vec![], vec![0xff; 20]] {
        run(async move {
            let store = Memory::default();
            store.put(key::LEADER, odd);

            let claimed = claimed_term(&store).await;

            assert!(claimed.is_some());
        })
        .await;
    }
}

/// Guards against a new leader that takes leases of earlier leaders for those of the
/// last one, whose process is known to be gone.
#[tokio::test]
async fn former_leader_is_named_before_its_term_is_settled() {
    for settled in [false, true] {
        run(async move {
            let store = Memory::default();
            store.put(key::TERM, encode(&former_term(41, settled)));

            let claimed = claimed_term(&store).await.expect("the term is claimed");

            assert!(!claimed.settled);
            let item = store.item(key::LEADER).expect("the leader is published");
            let leader: Leader = postcard::from_bytes(&item.value).unwrap();
            assert_eq!(leader.former, settled.then_some(FORMER));
        })
        .await;
    }
}

/// Guards against an epoch that is lost, or a leader whose writes fail, while
/// processes of the version before the field `processor` are being replaced.
#[test]
fn term_of_either_version_is_read_by_the_other() {
    /// The record as the earlier version has it.
    #[derive(Debug, Deserialize, PartialEq, Serialize)]
    struct Earlier {
        epoch: Epoch,
        batch: u64,
        node: String,
        address: SocketAddr,
        settled: bool,
    }
    let earlier = Earlier {
        epoch: Epoch(41),
        batch: 3,
        node: "entry-9".into(),
        address: FORMER,
        settled: true,
    };
    let newer = Term {
        processor: Some(Cores(500)),
        ..former_term(41, true)
    };

    let read: Term = postcard::from_bytes(&Term::complete(encode(&earlier))).unwrap();
    let read_by_earlier: Earlier = postcard::from_bytes(&encode(&newer)).unwrap();
    let same: Term = postcard::from_bytes(&Term::complete(encode(&newer))).unwrap();

    assert_eq!(read, former_term(41, true));
    assert_eq!(read_by_earlier, earlier);
    assert_eq!(same, newer);
}

/// Guards against a claim that loses the epoch of a term which an earlier version
/// has written, or that waits without knowing the last leader's processor time.
#[tokio::test(start_paused = true)]
async fn term_of_an_earlier_version_is_followed_without_a_wait() {
    run(async {
        let store = Memory::default();
        let mut stored = encode(&former_term(41, true));
        assert_eq!(stored.pop(), Some(0), "the field that it lacks");
        store.put(key::TERM, stored);
        let began = Instant::now();

        let claimed = claimed_term(&store).await.expect("the term is claimed");

        assert_eq!(claimed.epoch, Epoch(42));
        assert_eq!(claimed.processor, Some(options().processor));
        assert!(began.elapsed() < Duration::from_millis(500));
    })
    .await;
}
