//! Which entry leads after the key of the leader has disappeared.

#[allow(dead_code, reason = "these tests open no links")]
mod support;

use {
    filbertbend_dispatch::{
        entry::{Entry, Options},
        key, link_identity,
    },
    filbertbend_state::unit::{Cores, Millis},
    filbertbend_workload::{catalog::Catalog, id::Job, leadership::KEY_TTL, record::Leader},
    std::{future::Future, rc::Rc, sync::Arc, time::Duration},
    support::{job, options, Fault, Memory},
    tokio::{
        sync::watch,
        task::LocalSet,
        time::{sleep, timeout, Instant},
    },
};

const STRONG: Cores = Cores(500);
const WEAK: Cores = Cores(120);
const LIMIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(5);

/// An entry that the test can end.
struct Member {
    _entry: Rc<Entry<Memory>>,
    _catalog: watch::Sender<Option<Arc<Catalog>>>,
    stopper: watch::Sender<bool>,
}

async fn start(store: &Memory, node: &str, processor: Cores) -> Member {
    let identity = link_identity::load_or_create(store).await;
    let (catalog_sender, catalog) = watch::channel(None);
    let (stopper, stop) = watch::channel(false);
    let options = Options {
        node: node.into(),
        processor,
        ..options()
    };
    let entry = Entry::start(store.clone(), options, identity, catalog, stop).unwrap();
    Member {
        _entry: entry,
        _catalog: catalog_sender,
        stopper,
    }
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

fn leader(store: &Memory) -> Option<Leader> {
    let item = store.item(key::LEADER)?;
    postcard::from_bytes(&item.value).ok()
}

async fn wait_for_leader(store: &Memory) -> Leader {
    let found = async {
        loop {
            if let Some(leader) = leader(store) {
                return leader;
            }
            sleep(POLL).await;
        }
    };
    timeout(LIMIT, found).await.expect("an entry leads")
}

/// Makes the store leave all calls without an answer for `outage`, and lets the
/// leases run out in it.
async fn interrupt(store: &Memory, outage: Millis) {
    store.set_away(true);
    sleep(KEY_TTL.duration()).await;
    store.expire_leases();
    sleep((outage - KEY_TTL).duration()).await;
    store.set_away(false);
}

/// Guards against a change of leader, which costs every session, because another
/// entry saw the vacancy before the incumbent knew that its lease had run out.
#[tokio::test(start_paused = true)]
async fn outage_that_outlasts_the_lease_deposes_no_incumbent() {
    // The calls of the entries are at different points of their time-outs when
    // the store comes back.
    for outage in (3000..7200).step_by(140).map(Millis) {
        run(async move {
            let store = Memory::default();
            let _incumbent = start(&store, "entry-1", STRONG).await;
            let before = wait_for_leader(&store).await;
            let mut members = Vec::new();
            for number in 2..8 {
                let processor = if number % 2 == 0 { STRONG } else { WEAK };
                members.push(start(&store, &format!("entry-{number}"), processor).await);
                sleep(Duration::from_millis(370)).await;
            }

            interrupt(&store, outage).await;

            let after = wait_for_leader(&store).await;
            assert_eq!(after, before, "after an outage of {outage}");
        })
        .await;
    }
}

/// Guards against an entry that forgets the outage, and so claims at once, because
/// the store refuses its first read afterwards.
#[tokio::test(start_paused = true)]
async fn refused_read_after_an_outage_does_not_hasten_a_claim() {
    run(async {
        let store = Memory::default();
        let incumbent = start(&store, "entry-1", STRONG).await;
        wait_for_leader(&store).await;
        let _other = start(&store, "entry-2", STRONG).await;
        sleep(Duration::from_secs(1)).await;

        store.set_away(true);
        incumbent.stopper.send(true).unwrap();
        sleep(Duration::from_secs(5)).await;
        store.expire_leases();
        store.refuse_reads(2);
        store.set_away(false);
        while store.refused_reads() > 0 {
            sleep(POLL).await;
        }
        let began = Instant::now();
        let successor = wait_for_leader(&store).await;

        assert_eq!(&*successor.node, "entry-2");
        assert!(began.elapsed() >= Duration::from_millis(700));
    })
    .await;
}

/// Guards against a leader that has too little processor time for the deployment
/// because the stronger entries learned of the vacancy later.
#[tokio::test(start_paused = true)]
async fn entry_weaker_than_the_last_leader_claims_after_stronger_ones() {
    run(async {
        let store = Memory::default();
        let last = start(&store, "entry-1", STRONG).await;
        wait_for_leader(&store).await;
        let _weak = start(&store, "entry-2", WEAK).await;
        sleep(Duration::from_secs(1)).await;

        last.stopper.send(true).unwrap();
        sleep(Duration::from_secs(1)).await;
        let early = leader(&store);
        let _strong = start(&store, "entry-3", STRONG).await;

        assert_eq!(early, None);
        assert_eq!(&*wait_for_leader(&store).await.node, "entry-3");
    })
    .await;
}

/// Guards against a deployment without a leader because only entries are left that
/// are weaker than the last leader.
#[tokio::test(start_paused = true)]
async fn entry_weaker_than_the_last_leader_claims_if_no_other_does() {
    run(async {
        let store = Memory::default();
        let last = start(&store, "entry-1", STRONG).await;
        wait_for_leader(&store).await;
        let _weak = start(&store, "entry-2", WEAK).await;
        sleep(Duration::from_secs(1)).await;

        last.stopper.send(true).unwrap();
        sleep(Duration::from_secs(1)).await;
        let successor = timeout(Duration::from_secs(1), wait_for_leader(&store)).await;

        assert_eq!(&*successor.expect("in time").node, "entry-2");
    })
    .await;
}

/// Stores a job and its cancellation, whose progress the leader writes.
fn cancelled_job(store: &Memory, id: Job) {
    store.put(&key::job(id), postcard::to_stdvec(&job()).unwrap());
    store.put(&key::cancellation(id), Vec::new());
}

async fn wait_until(is_true: impl Fn() -> bool) -> bool {
    let wait = async {
        while !is_true() {
            sleep(POLL).await;
        }
    };
    timeout(LIMIT, wait).await.is_ok()
}

/// Guards against a term that ends because of the answer to a write of a former
/// term of the same process.
#[tokio::test(start_paused = true)]
async fn answer_to_a_write_of_a_former_term_does_not_end_the_next_one() {
    run(async {
        let store = Memory::default();
        let _first = start(&store, "entry-1", STRONG).await;
        wait_for_leader(&store).await;
        let second = start(&store, "entry-2", STRONG).await;
        sleep(Duration::from_secs(1)).await;
        let writes = store.writes();

        store.fail([Fault::Slow]);
        cancelled_job(&store, Job(1));
        assert!(wait_until(|| store.writes() > writes).await);
        store.expire_leases();
        assert_eq!(&*wait_for_leader(&store).await.node, "entry-2");
        second.stopper.send(true).unwrap();
        let leads = || leader(&store).is_some_and(|leader| *leader.node == *"entry-1");
        assert!(wait_until(leads).await);
        let term = leader(&store);
        sleep(Duration::from_secs(1)).await;

        cancelled_job(&store, Job(2));
        let progress = key::progress(Job(2));
        assert!(
            wait_until(|| store.item(&progress).is_some()).await,
            "nobody leads, although the key names {term:?}"
        );
    })
    .await;
}
