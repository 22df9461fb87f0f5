//! Tests of writes to a store that refuses calls and loses answers.

#[allow(dead_code, reason = "these tests open no links")]
mod support;

use {
    filbertbend_dispatch::{
        entry::Submission,
        journal::{Deposed, Journal},
        key,
        platform::{Lease, Revision},
    },
    filbertbend_state::time,
    filbertbend_transport::clock,
    filbertbend_workload::{
        id::{Epoch, Job},
        planner::{Batch, Write},
        record::{Leader, Progress, Term},
    },
    std::time::{Duration, Instant},
    support::{entry, job, Fault, Memory},
    tokio::{
        sync::watch,
        task::LocalSet,
        time::{self as virtual_time, sleep, timeout},
    },
};

/// How long the callers in these tests wait for an answer.
const LIMIT: Duration = Duration::from_secs(3);
/// How long the store answers nobody.
const OUTAGE: Duration = Duration::from_millis(400);

fn term(epoch: u64) -> Term {
    Term {
        epoch: Epoch(epoch),
        batch: 0,
        node: format!("entry-{epoch}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        settled: false,
        processor: None,
    }
}

fn batch(number: u64) -> Batch {
    let progress = Progress {
        completed: number as u32,
        ..Progress::default()
    };
    Batch {
        number,
        writes: vec![Write::Progress(Job(1), progress)],
    }
}

/// Returns a store that holds a claimed term, and the journal of that term.
fn journal() -> (Memory, Journal<Memory>) {
    let store = Memory::default();
    store.put(key::TERM, postcard::to_stdvec(&term(1)).unwrap());
    let revision = store.item(key::TERM).unwrap().revision;
    let journal = Journal::new(store.clone(), term(1), revision, clock::monotonic());
    (store, journal)
}

fn completed(store: &Memory) -> u32 {
    let item = store.item(&key::progress(Job(1))).unwrap();
    let progress: Progress = postcard::from_bytes(&item.value).unwrap();
    progress.completed
}

/// Guards against a batch that is written twice or out of order after the
/// answer to its write was lost.
#[tokio::test]
async fn lost_answers_are_resolved_from_the_stored_term() {
    let (store, mut journal) = journal();
    store.fail([Fault::LostAnswer, Fault::LostCall, Fault::Refused]);

    journal.write(&batch(1)).await.unwrap();
    journal.write(&batch(2)).await.unwrap();

    assert_eq!(completed(&store), 2);
    let item = store.item(key::TERM).unwrap();
    let found: Term = postcard::from_bytes(&item.value).unwrap();
    assert_eq!(found.batch, 2);
}

/// Guards against acknowledged ends that a later leader does not know: a batch
/// counted as written because the announcement before it had the same number.
/// The announcement had taken effect without an answer, and its repetition
/// found the lease expired.
#[tokio::test]
async fn batch_after_an_announcement_of_unknown_outcome_is_written() {
    let (store, mut journal) = journal();
    let leader = Leader {
        epoch: Epoch(1),
        node: "entry-1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        former: None,
    };
    store.fail([Fault::LostAnswer, Fault::LeaseExpired]);

    journal.announce(&leader, Lease(1)).await.unwrap();
    journal.write(&batch(1)).await.unwrap();

    assert!(store.item(&key::progress(Job(1))).is_some(), "not written");
    assert_eq!(completed(&store), 1);
}

/// Guards against leases of earlier leaders that the next leader takes for expired:
/// the term counts as settled too early.
#[tokio::test]
async fn term_is_settled_while_leases_of_earlier_leaders_last() {
    for (claimed, settled) in [(clock::monotonic(), false), (time::Instant(0), true)] {
        let (store, _) = journal();
        let revision = store.item(key::TERM).unwrap().revision;
        let mut journal = Journal::new(store.clone(), term(1), revision, claimed);

        journal.write(&batch(1)).await.unwrap();

        let item = store.item(key::TERM).unwrap();
        let found: Term = postcard::from_bytes(&item.value).unwrap();
        assert_eq!(found.settled, settled);
    }
}

/// Guards against a leader that is deposed after an outage of the store because its
/// key waits behind a write that hangs, and against one that writes it twice.
#[tokio::test(start_paused = true)]
async fn write_that_hangs_is_repeated_when_the_store_answers_again() {
    for fault in [Fault::Silence, Fault::SilentEffect] {
        let (store, journal) = journal();
        let recovered = watch::Sender::new(virtual_time::Instant::now());
        let mut journal = journal.with_recovery(recovered.subscribe());
        let writes = store.writes();
        store.fail([fault]);

        let recovery = async {
            sleep(OUTAGE).await;
            recovered.send_replace(virtual_time::Instant::now());
        };
        let written = async { timeout(2 * OUTAGE, journal.write(&batch(1))).await };
        let (written, ()) = tokio::join!(written, recovery);
        written.expect("repeated").unwrap();
        journal.write(&batch(2)).await.unwrap();

        assert_eq!(completed(&store), 2);
        assert_eq!(store.writes() - writes, 3, "{fault:?}");
        let item = store.item(key::TERM).unwrap();
        let found: Term = postcard::from_bytes(&item.value).unwrap();
        assert_eq!(found.batch, 2);
    }
}

/// Guards against a former leader whose writes still take effect after another
/// entry has claimed a newer term.
#[tokio::test]
async fn former_leader_writes_nothing() {
    let (store, mut journal) = journal();
    journal.write(&batch(1)).await.unwrap();
    store.put(key::TERM, postcard::to_stdvec(&term(2)).unwrap());

    let result = journal.write(&batch(2)).await;

    let by = Some(Epoch(2));
    assert_eq!(result, Err(Deposed { by }));
    assert_eq!(completed(&store), 1);
}

/// Guards against a job that is refused or stored twice when the answer to the
/// first write was lost.
#[tokio::test]
async fn submission_with_a_lost_answer_is_accepted_once() {
    let local = LocalSet::new();
    let run = async {
        let store = Memory::default();
        let entry = entry(&store).await;
        store.fail([Fault::LostAnswer]);

        let submission = entry.submit(Job(1), &job(), LIMIT).await;

        assert_eq!(submission, Submission::Accepted);
        let revision = store.item(&key::job(Job(1))).unwrap().revision;
        assert!(revision > Revision(0));
        assert_eq!(
            entry.submit(Job(1), &job(), LIMIT).await,
            Submission::Accepted
        );
        let again = store.item(&key::job(Job(1))).unwrap().revision;
        assert_eq!(again, revision);
    };
    local.run_until(run).await;
}

/// Guards against a caller that waits for its whole limit because the
/// connection to the store has gone silent.
#[tokio::test]
async fn submission_over_a_silent_connection_ends_early() {
    let local = LocalSet::new();
    let run = async {
        let store = Memory::default();
        let entry = entry(&store).await;
        store.fail([Fault::Silence; 9]);

        let job = job();
        let submitted = entry.submit(Job(1), &job, LIMIT);
        let submission = tokio::time::timeout(Duration::from_millis(1500), submitted).await;

        let submission = submission.expect("an answer in time");
        assert!(
            matches!(submission, Submission::Unknown(_)),
            "{submission:?}"
        );
    };
    local.run_until(run).await;
}

/// Guards against a failure that is reported for a job during a short outage of
/// the store, and against "not run" for a job that may have been stored.
#[tokio::test]
async fn submission_survives_a_short_outage_and_reports_the_outcome_of_a_long_one() {
    let local = LocalSet::new();
    let run = async {
        let store = Memory::default();
        let entry = entry(&store).await;

        store.fail([Fault::Refused, Fault::LostCall, Fault::LostCall]);
        assert_eq!(
            entry.submit(Job(1), &job(), LIMIT).await,
            Submission::Accepted
        );
        store.fail([Fault::Refused; 20]);
        let refused = entry.submit(Job(2), &job(), LIMIT).await;
        assert!(matches!(refused, Submission::Refused(_)), "{refused:?}");
        assert!(store.item(&key::job(Job(2))).is_none());
        store.fail([Fault::LostCall; 30]);
        let unknown = entry.submit(Job(3), &job(), LIMIT).await;
        assert!(matches!(unknown, Submission::Unknown(_)), "{unknown:?}");
        assert!(store.writes() < 40, "{}", store.writes());
    };
    local.run_until(run).await;
}

/// Guards against "may have run" for a job that the store has only refused,
/// after which the caller hears nothing more of it. An attempt that the
/// caller's limit cuts short would leave the outcome unknown.
#[tokio::test]
async fn submission_refused_until_the_limit_has_not_run() {
    let local = LocalSet::new();
    let run = async {
        let store = Memory::default();
        let entry = entry(&store).await;
        // Each of these limits may expire while an attempt is in progress.
        for limit in (0..300).step_by(20).map(Duration::from_millis) {
            store.fail([Fault::RefusedLate; 20]);
            let begun = Instant::now();
            let submission = entry.submit(Job(1), &job(), limit).await;

            assert!(
                matches!(submission, Submission::Refused(_)),
                "{limit:?}: {submission:?}"
            );
            assert!(begun.elapsed() < limit + Duration::from_millis(100));
        }
    };
    local.run_until(run).await;
}
