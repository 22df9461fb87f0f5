//! The planner: how long a new leader waits for runs that it cannot see.

mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        id::{Job, Link, Run},
        message::{KnownLease, Report},
        planner::Event,
        record::Progress,
        worker::Exit,
    },
    std::sync::Arc,
    support::{catalog, end, job, node, placed, service, task, Harness},
};

/// The node whose worker ran the task under the former leader.
const GONE: u64 = 0;
const OTHER: u64 = 1;
/// How long a task that lasts may be away after its last run.
const AWAY_LIMIT: Millis = Millis(9000);
/// The time after which a lease of 6 s that is granted now has expired.
const LEASE_OVER: Millis = Millis(6320);
/// How long the leader may take to act on an expired lease, an unanswered probe
/// included.
const REACTION: Millis = Millis(1300);

/// Returns a new leader that has read a service that a former one placed on
/// [`GONE`], with a worker on [`OTHER`].
fn new_leader() -> Harness {
    let mut harness = Harness::new(2);
    let stored: Progress = placed(GONE, Run(1));
    harness.step(Event::Configured(Arc::new(catalog(0, 2))));
    harness.step(Event::Recovered(Job(1), job(vec![service()]), stored));
    harness.step(Event::Loaded);
    harness.join(OTHER, Vec::new());
    harness
}

/// Reports what the agent of the worker that is gone knows about its lease.
fn report_lease(harness: &mut Harness, lease: KnownLease) {
    harness.step(Event::Opened(Link(GONE), node(GONE)));
    let report = Report {
        lease: Some(lease),
        ..Report::default()
    };
    harness.report(GONE, report);
    harness.step(Event::Closed(Link(GONE)));
}

/// Lets time pass; returns whether the service has been started again.
fn starts_within(harness: &mut Harness, span: Millis) -> bool {
    harness.pass(span, &[OTHER]);
    harness.commit();
    !harness.starts(OTHER).is_empty()
}

/// Guards against a service that is away for 14 s: its worker was gone when the
/// leader changed, and its agent, which had opened a session, could not show
/// that. The agent had ended its session with the former leader, so no lease
/// outlasted one granted at that time.
#[test]
fn service_of_a_gone_worker_waits_although_its_agent_has_a_session() {
    assert!(LEASE_OVER + REACTION < AWAY_LIMIT);
    let mut harness = new_leader();

    harness.step(Event::Opened(Link(GONE), node(GONE)));
    assert!(
        !starts_within(&mut harness, LEASE_OVER - Millis(100)),
        "its lease may not have expired"
    );

    assert!(starts_within(&mut harness, REACTION + Millis(100)));
}

/// Guards against the same if the machine is removed right after the session
/// began.
#[test]
fn service_of_a_gone_worker_waits_although_its_agent_had_a_session() {
    let mut harness = new_leader();

    harness.step(Event::Opened(Link(GONE), node(GONE)));
    harness.pass(Millis(100), &[OTHER]);
    harness.step(Event::Closed(Link(GONE)));

    assert!(starts_within(&mut harness, LEASE_OVER));
}

/// Guards against a task that runs twice: the agent opens another session on its
/// link because its worker may have restarted, and then holds a lease by the
/// clock of its former incarnation.
#[test]
fn another_session_on_a_link_does_not_shorten_the_wait() {
    let mut harness = new_leader();
    harness.step(Event::Opened(Link(GONE), node(GONE)));
    harness.step(Event::Opened(Link(GONE), node(GONE)));
    harness.step(Event::Closed(Link(GONE)));
    let link = Link(7);
    harness.step(Event::Opened(link, node(GONE)));
    harness.step(Event::Closed(link));

    assert!(!starts_within(&mut harness, Millis(10_000)));
    assert!(starts_within(&mut harness, Millis(500)));
}

/// Guards against a service that waits for a lease longer than any that its
/// agent has passed on.
#[test]
fn service_waits_longer_than_the_lease_that_its_agent_knows() {
    let mut harness = new_leader();

    report_lease(
        &mut harness,
        KnownLease {
            left: Millis(1000),
            age: Millis(60_000),
            restarted: None,
            unconfirmed_start: None,
            listed: Vec::new(),
        },
    );

    assert!(!starts_within(&mut harness, Millis(1100)));
    assert!(starts_within(&mut harness, Millis(300)));
}

/// Guards against a task that runs twice: an earlier process of the agent has
/// passed a lease on, of which the present one knows nothing.
#[test]
fn lease_of_an_earlier_process_is_not_waited_for() {
    let mut harness = new_leader();

    report_lease(
        &mut harness,
        KnownLease {
            left: Millis::ZERO,
            age: Millis(2000),
            restarted: None,
            unconfirmed_start: None,
            listed: Vec::new(),
        },
    );

    assert!(!starts_within(&mut harness, Millis(4200)));
    assert!(starts_within(&mut harness, Millis(300)));
}

/// Guards against a task that runs twice: the worker may have restarted under its
/// name and accepted a lease by the clock of its former incarnation.
#[test]
fn lease_by_a_former_clock_is_not_waited_for() {
    for (restarted, unconfirmed_start) in [(Some(2000), None), (None, Some(2000))] {
        let mut harness = new_leader();

        report_lease(
            &mut harness,
            KnownLease {
                left: Millis(1000),
                age: Millis(60_000),
                restarted: restarted.map(Millis),
                unconfirmed_start: unconfirmed_start.map(Millis),
                listed: Vec::new(),
            },
        );

        // The longest lease that a worker accepts is 10 s.
        assert!(!starts_within(&mut harness, Millis(8200)));
        assert!(starts_within(&mut harness, Millis(400)));
    }
}

/// Guards against a service that waits for the longest lease because of a start of
/// another task.
#[test]
fn listed_run_waits_for_the_lease_of_an_unconfirmed_start() {
    for (restarted, least) in [(None, 1100), (Some(2000), 8200)] {
        let mut harness = new_leader();

        report_lease(
            &mut harness,
            KnownLease {
                left: Millis(1000),
                age: Millis(60_000),
                restarted: restarted.map(Millis),
                unconfirmed_start: Some(Millis(500)),
                listed: vec![(task(1, 0, 0), Run(1))],
            },
        );

        assert!(!starts_within(&mut harness, Millis(least)));
        assert!(starts_within(&mut harness, Millis(400)));
    }
}

/// Guards against a service that waits although its agent knows that it has ended:
/// the worker has left and lists no end any more.
#[test]
fn service_waits_although_its_agent_has_read_its_end() {
    let mut harness = new_leader();

    harness.step(Event::Opened(Link(GONE), node(GONE)));
    let report = Report {
        ends: vec![end(1, task(1, 0, 0), Run(1), Exit::Stopped)],
        ..Report::default()
    };
    harness.report(GONE, report);

    assert!(starts_within(&mut harness, Millis(500)));
}

/// Guards against a service that waits for leases of a former leader that has been
/// gone for long: its process has restarted.
#[test]
fn service_waits_although_the_former_leader_is_gone() {
    let mut harness = new_leader();

    harness.step(Event::FormerTermOver(Millis(1500)));

    assert!(!starts_within(&mut harness, LEASE_OVER - Millis(1600)));
    assert!(starts_within(&mut harness, Millis(200)));
}

/// Guards against a task that runs twice: its worker has got a lease in this term
/// before its list was read, and the news of the former leader comes after that.
#[test]
fn lease_of_this_term_counts_as_one_of_the_former_leader() {
    let mut harness = new_leader();
    harness.step(Event::Opened(Link(GONE), node(GONE)));
    let renewal = Report {
        renew: Some(1),
        ..Report::default()
    };
    harness.report(GONE, renewal);
    harness.step(Event::Closed(Link(GONE)));

    harness.step(Event::FormerTermOver(Millis(5000)));

    assert!(!starts_within(&mut harness, LEASE_OVER - Millis(100)));
    assert!(starts_within(&mut harness, Millis(200)));
}
