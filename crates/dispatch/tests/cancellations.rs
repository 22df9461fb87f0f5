//! Tests of cancellations while a write of the job is on its way to the store.

#[allow(dead_code, reason = "these tests open no links")]
mod support;

use {
    filbertbend_dispatch::{
        entry::{Cancellation, Submission},
        key,
    },
    filbertbend_workload::id::Job,
    std::{future::Future, time::Duration},
    support::{entry, job, Fault, Memory},
    tokio::task::LocalSet,
};

const LIMIT: Duration = Duration::from_secs(3);
/// More identifiers than an entry withdraws with one store lease.
const MANY: u64 = 5000;
const WITHDRAWALS: &str = "fb/withdrawn/";

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Guards against a job that runs although its cancelling was answered: the
/// write of its submission took effect seconds later.
#[tokio::test]
async fn late_submission_of_a_cancelled_job_is_stored() {
    run(async {
        let store = Memory::default();
        let (first, second) = (entry(&store).await, entry(&store).await);
        store.fail([Fault::Late; 20]);
        let submission = first.submit(Job(1), &job(), LIMIT).await;
        assert!(
            matches!(submission, Submission::Unknown(_)),
            "{submission:?}"
        );
        store.fail([]);

        assert_eq!(second.cancel(Job(1)).await, Cancellation::UnknownJob);
        store.deliver();

        assert!(store.item(&key::job(Job(1))).is_none(), "stored");
        assert_eq!(second.state(Job(1)).await, Ok(None));
        let repeated = first.submit(Job(1), &job(), LIMIT).await;
        assert!(matches!(repeated, Submission::Withdrawn(_)), "{repeated:?}");
        assert!(store.item(&key::job(Job(1))).is_none(), "stored");
    })
    .await;
}

/// Guards against a job that runs although its caller was told that it never
/// will: an attempt without an answer took effect after the withdrawal had
/// expired.
#[tokio::test]
async fn withdrawal_after_an_attempt_without_an_answer_leaves_the_outcome_unknown() {
    run(async {
        let store = Memory::default();
        let entry = entry(&store).await;
        assert_eq!(entry.cancel(Job(1)).await, Cancellation::UnknownJob);
        store.fail([Fault::Late]);

        let submission = entry.submit(Job(1), &job(), LIMIT).await;

        assert!(
            matches!(submission, Submission::Unknown(_)),
            "{submission:?}"
        );
        store.expire_leases();
        store.deliver();
        assert!(store.item(&key::job(Job(1))).is_some(), "not stored");
    })
    .await;
}

/// Guards against a job that is taken for unknown because its submission took
/// effect between the reading and the writing of its cancellation.
#[tokio::test]
async fn job_stored_during_its_cancellation_goes_on() {
    run(async {
        let store = Memory::default();
        let entry = entry(&store).await;
        store.fail([Fault::Late; 20]);
        entry.submit(Job(1), &job(), LIMIT).await;
        store.fail([Fault::Overtaken]);

        assert_eq!(entry.cancel(Job(1)).await, Cancellation::Accepted);

        assert!(store.item(&key::cancellation(Job(1))).is_some());
        assert_eq!(store.count(WITHDRAWALS), 0);
        assert_eq!(
            entry.submit(Job(1), &job(), LIMIT).await,
            Submission::Accepted
        );
    })
    .await;
}

/// Guards against a 410 after which the job runs: the answer to the withdrawal
/// was lost, or its lease had ended.
#[tokio::test]
async fn withdrawal_that_is_not_stored_counts_as_stored() {
    run(async {
        let store = Memory::default();
        let entry = entry(&store).await;
        for fault in [
            Fault::LostCall,
            Fault::LostAnswer,
            Fault::Refused,
            Fault::LeaseExpired,
        ] {
            store.fail([fault]);
            assert_eq!(entry.cancel(Job(1)).await, Cancellation::UnknownJob);
            assert_eq!(store.count(WITHDRAWALS), 1, "{fault:?}");
            store.expire_leases();
        }

        store.fail([Fault::LostCall; 20]);
        let cancellation = entry.cancel(Job(1)).await;
        assert!(
            matches!(cancellation, Cancellation::Unknown(_)),
            "{cancellation:?}"
        );
    })
    .await;
}

/// Guards against a store that fills up, since callers may cancel any
/// identifier.
#[tokio::test]
async fn cancellations_of_unknown_jobs_fill_the_store() {
    run(async {
        let store = Memory::default();
        let entry = entry(&store).await;
        let mut refused = 0;
        for id in 1..=MANY {
            match entry.cancel(Job(id)).await {
                Cancellation::UnknownJob => {}
                Cancellation::Refused => refused += 1,
                other => panic!("{other:?}"),
            }
        }

        assert!(refused > 0, "none refused");
        assert_eq!(store.count(WITHDRAWALS), (MANY - refused) as usize);
        assert_eq!(store.leases(), 1);
        assert_eq!(entry.cancel(Job(1)).await, Cancellation::UnknownJob);
        store.expire_leases();
        assert_eq!(store.count(WITHDRAWALS), 0);
        assert_eq!(
            entry.submit(Job(1), &job(), LIMIT).await,
            Submission::Accepted
        );
    })
    .await;
}
