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
        id::{Fence, Incarnation, Run},
        message::Inventory,
        record::{Occurrence, State, Term, Unfinished},
        worker::Profile,
    },
    std::{cell::Cell, collections::BTreeSet, future::pending},
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
    driver_with(None)
}

fn driver_with(
    evacuations: Option<evacuation_watch::Source>,
) -> (Driver<Silent>, mpsc::UnboundedReceiver<Order>) {
    let candidate = Candidate {
        node: "entry".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        processor: Cores(500),
        settings: Settings {
            lease: Millis(6000),
            lease_limit: Millis(10_000),
            silence_limit: Millis(2200),
            job_retention: Millis(120_000),
            worker_retention: Millis(12_000),
        },
        evacuations,
        retired_since: NOW.get(),
    };
    let claim = Claim {
        term: Term {
            epoch: Epoch(1),
            batch: 0,
            node: "entry".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            settled: false,
            processor: Some(Cores(500)),
        },
        revision: Revision(1),
        lease: Lease(1),
        sent_at: NOW.get(),
        former: None,
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
        objective: None,
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
            restarted: None,
            foreign_lease: None,
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

/// Guards against a new leader that places tasks before it has read which data
/// centres are evacuated.
#[tokio::test]
async fn leader_places_nothing_before_it_knows_the_evacuations() {
    let set = LocalSet::new();
    set.run_until(async {
        let source = evacuation_watch::Source {
            prefix: "evacuated/",
            decode: |_| None,
            bound: Millis(5000),
        };
        let (mut driver, mut orders) = driver_with(Some(source));
        driver.step(Event::Opened(Link(0), Node("side-0".into())));
        driver.step(Event::Report(Link(0), Box::new(joined())));
        driver.step(Event::Submitted(Job(1), Arc::new(job())));
        for _ in 0..100 {
            NOW.set(NOW.get() + Millis(10));
            driver.step(Event::Tick);
        }
        assert!(orders.try_recv().is_err(), "placed");

        driver.step(Event::Evacuated(BTreeSet::new()));

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

/// Guards against a job that runs again after it has ended: it is removed after
/// its retention period, but still listed when the watch starts anew.
#[tokio::test]
async fn removed_job_that_is_still_listed_is_not_run_again() {
    let set = LocalSet::new();
    set.run_until(async {
        let (mut driver, _orders) = driver();
        let listed = |id, revision| Item {
            key: key::job(Job(id)),
            value: encode(&job()),
            revision: Revision(revision),
        };
        driver.apply_item(&listed(1, 5));
        driver.step(Event::Cancelled(Job(1)));
        NOW.set(NOW.get() + Millis(120_000));
        driver.leadership.confirm(NOW.get());
        driver.step(Event::Tick);

        let epoch = Item {
            key: key::EPOCH.into(),
            value: encode(&Epoch(1)),
            revision: Revision(1),
        };
        let items = [epoch, listed(1, 5), listed(2, 6)];
        let ended = driver.apply_listing(NOW.get(), Revision(5), &items);

        assert_eq!(ended, None);
        let state = |id| driver.planner.answer(&Query::State(Job(id)));
        assert_eq!(state(1), Reply::State(None), "known again");
        assert_ne!(state(2), Reply::State(None), "the missed job is unknown");
    })
    .await;
}

/// Returns a record with each byte in turn replaced by others, or cut off there.
fn damage(record: &[u8]) -> Vec<Vec<u8>> {
    let mut values: Vec<Vec<u8>> = (0..record.len())
        .map(|length| record[..length].to_vec())
        .collect();
    for position in 0..record.len() {
        for byte in [0, 1, 0x7f, 0x80, 0xff] {
            let mut value = record.to_vec();
            value[position] = byte;
            values.push(value);
        }
    }
    // A number of several bytes that is as large as can be.
    for position in 0..record.len() {
        for large in [&[0xff, 0xff, 0xff, 0xff, 0x0f][..], &[0xff; 9]] {
            let mut value = record[..position].to_vec();
            value.extend_from_slice(large);
            value.push(1);
            value.extend_from_slice(&record[position + 1..]);
            values.push(value);
        }
    }
    values
}

/// Guards against a leader that ends, and every leader after it, because of a
/// job's progress that another writer has damaged.
#[tokio::test]
async fn damaged_progress_in_the_store_ends_no_leader() {
    let set = LocalSet::new();
    set.run_until(async {
        let (mut driver, _orders) = driver();
        let unfinished = Unfinished {
            failures: 1,
            failed_run: Run(3),
            checkpoint: Some("saved".into()),
            runs: vec![(Node("side-1".into()), Run(4))],
            ..Unfinished::default()
        };
        let progress = encode(&Progress {
            state: State::Running,
            occurrences: vec![Occurrence {
                number: 0,
                done: vec![vec![0]],
                unfinished: vec![unfinished],
            }],
            ..Progress::default()
        });
        let damaged = damage(&progress);
        let item = |key, value| Item {
            key,
            value,
            revision: Revision(2),
        };
        let jobs = 0..=damaged.len() as u64;
        let snapshot = Snapshot {
            watched: jobs
                .map(|number| item(key::job(Job(number)), encode(&job())))
                .collect(),
            progress: (0_u64..)
                .zip(damaged)
                .map(|(number, value)| item(key::progress(Job(number)), value))
                .collect(),
            revision: Revision(2),
        };
        let last = Job(snapshot.progress.len() as u64);

        driver.restore(snapshot);
        for _ in 0..100 {
            NOW.set(NOW.get() + Millis(500));
            driver.step(Event::Tick);
        }

        let state = driver.planner.answer(&Query::State(last));
        assert_eq!(state, Reply::State(Some(State::Queued)));
    })
    .await;
}
