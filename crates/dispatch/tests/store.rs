//! Writes to a store that refuses calls and loses answers.

mod support;

use {
    filbertbend_dispatch::{
        entry::{Entry, Options, Submission},
        journal::{Deposed, Journal},
        key, link_identity,
        platform::Revision,
    },
    filbertbend_state::{time::Wall, unit::Millis},
    filbertbend_workload::{
        id::{Epoch, Job},
        job::{self, Step, Terms},
        planner::{Batch, Settings, Write},
        record::{Progress, Term},
    },
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    support::{Fault, Memory},
    tokio::{sync::watch, task::LocalSet},
};

/// How long callers wait.
const LIMIT: Duration = Duration::from_secs(3);

fn term(epoch: u64) -> Term {
    Term {
        epoch: Epoch(epoch),
        batch: 0,
        node: format!("entry-{epoch}").into(),
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

/// Makes a store in which a term has begun, and its journal.
fn journal() -> (Memory, Journal<Memory>) {
    let store = Memory::default();
    store.put(key::TERM, postcard::to_stdvec(&term(1)).unwrap());
    let revision = store.item(key::TERM).unwrap().revision;
    let journal = Journal::new(store.clone(), term(1), revision);
    (store, journal)
}

fn completed(store: &Memory) -> u32 {
    let item = store.item(&key::progress(Job(1))).unwrap();
    let progress: Progress = postcard::from_bytes(&item.value).unwrap();
    progress.completed
}

fn job() -> job::Job {
    job::Job {
        queue: "checks".into(),
        terms: Terms::default(),
        spec: "work".into(),
        steps: vec![Step {
            tasks: 1,
            ..Step::default()
        }],
        accepted: Wall(0),
        timing: None,
    }
}

async fn entry(store: &Memory) -> Rc<Entry<Memory>> {
    let identity = link_identity::load_or_create(store).await;
    let options = Options {
        node: "entry-1".into(),
        address: ([127, 0, 0, 1], 0).into(),
        planner: Settings {
            lease: Millis(5500),
            silence: Millis(2200),
            keep: Millis(120_000),
            forget: Millis(12_000),
        },
    };
    let (_, catalog) = watch::channel(None);
    // The entry never leads, so that the test alone writes.
    let (_, stop) = watch::channel(true);
    Entry::start(store.clone(), options, identity, catalog, stop).unwrap()
}

/// Guards against a batch that is written twice, or out of order, because the
/// answer to its write was lost.
#[tokio::test]
async fn lost_answers_are_settled_by_the_term_in_the_store() {
    let (store, mut journal) = journal();
    store.fail([Fault::Answer, Fault::Call, Fault::Refused]);

    journal.write(&batch(1)).await.unwrap();
    journal.write(&batch(2)).await.unwrap();

    assert_eq!(completed(&store), 2);
    let item = store.item(key::TERM).unwrap();
    let found: Term = postcard::from_bytes(&item.value).unwrap();
    assert_eq!(found.batch, 2);
}

/// Guards against a former leader that goes on writing.
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

/// Guards against a job that is refused, or accepted twice, although the store
/// has taken it.
#[tokio::test]
async fn submission_with_a_lost_answer_is_accepted_once() {
    let local = LocalSet::new();
    let run = async {
        let store = Memory::default();
        let entry = entry(&store).await;
        store.fail([Fault::Answer]);

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

/// Guards against a caller that is kept waiting on a silent connection.
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

/// Guards against a job whose caller gives up during a short spell in which the
/// store refuses, and against "not run" for one that may have been taken.
#[tokio::test]
async fn submission_outlasts_a_short_spell_and_tells_a_long_one_truly() {
    let local = LocalSet::new();
    let run = async {
        let store = Memory::default();
        let entry = entry(&store).await;

        store.fail([Fault::Refused, Fault::Call, Fault::Call]);
        assert_eq!(
            entry.submit(Job(1), &job(), LIMIT).await,
            Submission::Accepted
        );
        store.fail([Fault::Refused; 20]);
        let refused = entry.submit(Job(2), &job(), LIMIT).await;
        assert!(matches!(refused, Submission::Refused(_)), "{refused:?}");
        assert!(store.item(&key::job(Job(2))).is_none());
        store.fail([Fault::Call; 30]);
        let unknown = entry.submit(Job(3), &job(), LIMIT).await;
        assert!(matches!(unknown, Submission::Unknown(_)), "{unknown:?}");
        assert!(store.writes() < 40, "{}", store.writes());
    };
    local.run_until(run).await;
}

/// Guards against "may have run" for a job that the store has only refused, of
/// which the caller then hears nothing more.
#[tokio::test]
async fn submission_refused_until_the_caller_goes_has_not_run() {
    let local = LocalSet::new();
    let run = async {
        let store = Memory::default();
        let entry = entry(&store).await;
        // Any of these may end while a try is on its way.
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
