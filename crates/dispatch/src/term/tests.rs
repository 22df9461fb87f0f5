//! Tests of the driver with a scripted clock.

use {
    super::*,
    crate::{
        journal::encode,
        platform::{Commit, Transaction},
    },
    filbertbend_state::{
        room::Room,
        unit::{Bytes, Cores},
    },
    filbertbend_workload::{
        catalog::Queue,
        id::{Fence, Incarnation},
        message::Inventory,
        record::Term,
        worker::Profile,
    },
    std::{cell::Cell, future::pending},
    tokio::task::LocalSet,
};

thread_local! {
    static NOW: Cell<Instant> = const { Cell::new(Instant(1_000_000)) };
    /// How far the clock advances at each reading.
    static ADVANCE: Cell<Millis> = const { Cell::new(Millis(0)) };
}

fn scripted_clock() -> Instant {
    let now = NOW.get();
    NOW.set(now + ADVANCE.get());
    now
}

/// A store that never answers.
#[derive(Clone)]
struct Silent;

impl Store for Silent {
    async fn get(&self, _: &str) -> Result<Option<Item>, Failure> {
        pending().await
    }

    async fn list(&self, _: &str) -> Result<(Vec<Item>, Revision), Failure> {
        pending().await
    }

    async fn watch(&self, _: &str, _: Revision, _: Millis) -> Result<Changes, Failure> {
        pending().await
    }

    async fn commit(&self, _: &Transaction) -> Result<Commit, Failure> {
        pending().await
    }

    async fn grant(&self, _: Millis) -> Result<Lease, Failure> {
        pending().await
    }

    async fn renew(&self, _: Lease) -> Result<(), Failure> {
        pending().await
    }

    async fn revoke(&self, _: Lease) -> Result<(), Failure> {
        pending().await
    }
}

/// Returns a leader without sessions, and the orders to its journal.
fn driver() -> (Driver<Silent>, mpsc::UnboundedReceiver<Order>) {
    let candidate = Candidate {
        node: "entry".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        settings: Settings {
            lease: Millis(6000),
            silence_limit: Millis(2200),
            job_retention: Millis(120_000),
            worker_retention: Millis(12_000),
        },
    };
    let claim = Claim {
        term: Term {
            epoch: Epoch(1),
            batch: 0,
            node: "entry".into(),
        },
        revision: Revision(1),
        lease: Lease(1),
        sent_at: NOW.get(),
    };
    let mut driver = Driver::new(Silent, candidate, claim, Rc::default());
    driver.clock = scripted_clock;
    driver.leadership = leadership::Leadership::default();
    driver.leadership.confirm(NOW.get());
    let (journal, orders) = mpsc::unbounded_channel();
    driver.journal = journal;
    driver.step(Event::Configured(Arc::new(catalog())));
    driver.step(Event::Loaded);
    (driver, orders)
}

fn catalog() -> Catalog {
    let queue = Queue {
        name: "checks".into(),
        host: "host".into(),
        prefix: "/p/".into(),
        pool: "pool".into(),
        priority: 0,
        attempts: 2,
        timeout: Millis(3000),
    };
    Catalog {
        version: 1,
        queues: [(queue.name.clone(), queue)].into(),
        ..Catalog::default()
    }
}

fn room() -> Room {
    Room {
        cores: Cores(1000),
        memory: Bytes(1 << 30),
        ..Room::NONE
    }
}

fn job() -> job::Job {
    job::Job {
        queue: "checks".into(),
        policy: job::Policy {
            pool: "pool".into(),
            ..job::Policy::default()
        },
        spec: "work".into(),
        steps: vec![job::Step {
            tasks: 1,
            room: room(),
            ..job::Step::default()
        }],
        accepted: clock::wall(),
        schedule: None,
    }
}

fn joined() -> Report {
    let incarnation = Incarnation {
        worker: "worker".into(),
        started_ms: 1,
    };
    Report {
        fence: Fence::new(Epoch(1), 1),
        profile: Some(Profile {
            incarnation: incarnation.clone(),
            pool: "pool".into(),
            data_centre: "xela".into(),
            room: room(),
            labels: Vec::new(),
            draining: false,
            remaining_ms: None,
        }),
        inventory: Some(Inventory {
            incarnation,
            running: Vec::new(),
            crash: None,
        }),
        renew: Some(1),
        ..Report::default()
    }
}

/// Guards against a leader that never writes again because it dropped a batch
/// when a session ended.
#[tokio::test]
async fn batch_is_written_although_a_session_cannot_be_sent_to() {
    let set = LocalSet::new();
    set.run_until(async {
        let (mut driver, mut orders) = driver();
        let (outbox, _queue) = mpsc::channel(64);
        driver.outboxes.insert(Link(0), outbox);
        driver.step(Event::Opened(Link(0), Node("side-0".into())));
        driver.step(Event::Report(Link(0), Box::new(joined())));
        NOW.set(NOW.get() + Millis(20));
        driver.step(Event::Tick);
        driver.step(Event::Submitted(Job(1), Arc::new(job())));
        assert!(orders.try_recv().is_err(), "placed before the interval");

        // The next placement pass is due when the session below ends.
        ADVANCE.set(Millis(20));
        let (outbox, queue) = mpsc::channel(1);
        drop(queue);
        driver.outboxes.insert(Link(1), outbox);
        NOW.set(NOW.get() + Millis(1));
        driver.step(Event::Opened(Link(1), Node("side-1".into())));

        assert!(matches!(orders.try_recv(), Ok(Order::Batch(_))));
    })
    .await;
}

/// Guards against a leader that ends, and every leader after it, because of a
/// stored value that another writer has damaged.
#[tokio::test]
async fn damaged_jobs_in_the_store_are_passed_over() {
    let set = LocalSet::new();
    set.run_until(async {
        let (mut driver, _orders) = driver();
        let mut invalid = job();
        invalid.steps[0].after = vec![3];
        let valid = encode(&job());
        let mut values = vec![encode(&invalid), Vec::new(), vec![0xff; 64]];
        values.extend((0..valid.len()).map(|length| valid[..length].to_vec()));

        for (number, value) in values.into_iter().enumerate() {
            let item = Item {
                key: key::job(Job(number as u64)),
                value,
                revision: Revision(2),
            };
            assert!(driver.apply_item(&item).is_none());
        }
        assert_eq!(driver.planner.size().0, 0);

        let item = Item {
            key: key::job(Job(1000)),
            value: valid,
            revision: Revision(3),
        };
        driver.apply_item(&item);
        assert_eq!(driver.planner.size().0, 1);
    })
    .await;
}
