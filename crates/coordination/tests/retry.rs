//! Failure tests of the retry budget, hedging and retry plans.

use {
    filbertbend_coordination::retry::{Budget, Completion, Hedge, Next, Plan},
    filbertbend_state::{
        id,
        outcome::{Outcome, Ran, Reason},
        room::Room,
        service::{Class, Declaration, Kind, Retry},
        time::Instant,
        unit::{Millis, Share},
    },
};

fn service() -> id::Service {
    id::Service::new("spacing").unwrap()
}

fn endpoint(n: u32) -> id::Endpoint {
    id::Endpoint::new(format!("e{n}")).unwrap()
}

fn declaration(idempotent: bool) -> Declaration {
    Declaration {
        name: service(),
        team: id::Team::new("roofs").unwrap(),
        kind: Kind::Check,
        class: Class::Interactive,
        idempotent,
        deadline: Millis(1_000),
        size: Room::NONE,
        run_time: Millis(40),
        share: Share::new(500),
        quota: Room::NONE,
        retry: Retry {
            tries: 3,
            hedge: true,
        },
        data_centres: Vec::new(),
    }
}

/// Returns a plan whose first try is in progress at endpoint 1.
fn sent(idempotent: bool) -> Plan {
    let mut plan = Plan::new(&declaration(idempotent), Instant(1_000));
    plan.sent(endpoint(1));
    plan
}

fn spent_budget() -> Budget {
    let mut budget = Budget::new();
    while budget.try_take(Instant(0), &service()) {}
    budget
}

fn refused() -> Completion {
    Completion::Refused {
        reason: Reason::NoRoom,
        retry_after: Millis(50),
    }
}

fn refusal(reason: Reason, retry_after: u64) -> Next {
    Next::Finish(Outcome::Refused {
        reason,
        retry_after_ms: Millis(retry_after),
    })
}

fn observed() -> Hedge {
    let mut hedge = Hedge::new();
    for latency in 1..=1_000 {
        hedge.observe(&service(), Millis(latency / 10));
    }
    hedge
}

/// Guards against a retry storm when half of the endpoints are lost.
#[test]
fn half_of_the_endpoints_lost_adds_at_most_a_tenth_of_tries_and_the_floor() {
    let mut budget = Budget::new();
    let mut extra = Vec::new();

    for ms in 0..60_000 {
        budget.record_request(Instant(ms), &service());
        let lost = ms > 20_000 && ms % 2 == 0;
        if lost && budget.try_take(Instant(ms), &service()) {
            extra.push(ms);
        }
    }

    let tries = extra.len();
    assert!(
        tries <= 4_000 + 1_000 + 10,
        "{tries} extra tries for 40,000"
    );
    assert!(tries >= 4_000, "{tries} extra tries for 40,000");
    let first = extra.iter().filter(|ms| **ms < 21_000).count();
    assert!(first <= 210, "{first} extra tries in the first second");
}

/// Guards against a service with few requests that can never retry.
#[test]
fn service_with_few_requests_has_a_small_floor() {
    let mut budget = Budget::new();

    let at_once = (0..100)
        .filter(|_| budget.try_take(Instant(500), &service()))
        .count();
    let next = (0..100)
        .filter(|_| budget.try_take(Instant(1_500), &service()))
        .count();
    let later = (0..100)
        .filter(|_| budget.try_take(Instant(11_500), &service()))
        .count();

    assert_eq!((at_once, next, later), (10, 0, 10));
}

/// Guards against one service using up the budget of another.
#[test]
fn budgets_of_services_are_separate() {
    let mut budget = spent_budget();

    let other = id::Service::new("pricing").unwrap();

    assert!(!budget.try_take(Instant(0), &service()));
    assert!(budget.try_take(Instant(0), &other));
}

/// Guards against spending tries that were earned before the window.
#[test]
fn requests_older_than_the_window_earn_no_tries() {
    let mut budget = Budget::new();
    for _ in 0..10_000 {
        budget.record_request(Instant(0), &service());
    }

    let tries = (0..1_000)
        .filter(|_| budget.try_take(Instant(10_000), &service()))
        .count();

    assert_eq!(tries, 10);
}

/// Guards against running a non-idempotent request twice.
#[test]
fn broken_connection_of_a_non_idempotent_request_is_unknown() {
    for completion in [Completion::Broken, Completion::Timeout] {
        let next = sent(false).ended(Instant(10), &endpoint(1), completion, &mut Budget::new());

        assert_eq!(next, Next::Finish(Outcome::Unknown));
    }
}

/// Guards against giving up on a request that can safely be repeated.
#[test]
fn broken_connection_of_an_idempotent_request_is_retried_elsewhere() {
    let mut plan = sent(true);

    let next = plan.ended(
        Instant(10),
        &endpoint(1),
        Completion::Broken,
        &mut Budget::new(),
    );

    assert_eq!(next, Next::Retry);
    assert_eq!(plan.tried(), [endpoint(1)]);
}

/// Guards against giving up on a request that was not run, which can be retried
/// even if it is not idempotent.
#[test]
fn refused_request_is_retried_although_it_is_not_idempotent() {
    let next = sent(false).ended(Instant(10), &endpoint(1), refused(), &mut Budget::new());

    assert_eq!(next, Next::Retry);
}

/// Guards against reporting a request as not run although an earlier try may
/// have run.
#[test]
fn refusal_after_a_broken_try_is_unknown_not_refused() {
    let mut plan = sent(true);
    let mut budget = Budget::new();
    plan.ended(Instant(10), &endpoint(1), Completion::Broken, &mut budget);
    plan.sent(endpoint(2));

    let next = plan.ended(Instant(20), &endpoint(2), refused(), &mut spent_budget());
    let unplaced = plan.unplaced(Reason::NoRoom, Millis(50));

    assert_eq!(next, Next::Finish(Outcome::Unknown));
    assert_eq!(unplaced, Next::Finish(Outcome::Unknown));
    assert_eq!(plan.expired(), Outcome::Expired { ran: Ran::Unknown });
}

/// Guards against more tries than the service declares.
#[test]
fn declared_number_of_tries_is_the_limit() {
    let mut plan = sent(true);
    let mut budget = Budget::new();

    for n in 1..3 {
        let next = plan.ended(Instant(10), &endpoint(n), refused(), &mut budget);
        assert_eq!(next, Next::Retry);
        plan.sent(endpoint(n + 1));
    }
    let last = plan.ended(Instant(10), &endpoint(3), refused(), &mut budget);

    assert_eq!(last, refusal(Reason::NoRoom, 50));
}

/// Guards against retries beyond the budget, and against a wrong refusal reason.
#[test]
fn refused_request_without_budget_is_refused_with_that_reason() {
    let next = sent(true).ended(Instant(10), &endpoint(1), refused(), &mut spent_budget());

    assert_eq!(next, refusal(Reason::RetryBudget, 1_000));
}

/// Guards against a retry that starts after the deadline.
#[test]
fn nothing_is_retried_after_the_deadline() {
    let mut budget = Budget::new();

    let refused = sent(true).ended(Instant(1_000), &endpoint(1), refused(), &mut budget);
    let broken = sent(true).ended(
        Instant(1_000),
        &endpoint(1),
        Completion::Broken,
        &mut budget,
    );

    let expired = |ran| Next::Finish(Outcome::Expired { ran });
    assert_eq!(refused, expired(Ran::No));
    assert_eq!(broken, expired(Ran::Unknown));
}

/// Guards against reporting an expired request as not run although the endpoint
/// may have received it.
#[test]
fn expired_request_is_not_run_only_if_no_try_started() {
    let mut budget = Budget::new();
    let mut completion = |started| {
        sent(true).ended(
            Instant(900),
            &endpoint(1),
            Completion::Expired { started },
            &mut budget,
        )
    };

    let expired = |ran| Next::Finish(Outcome::Expired { ran });
    assert_eq!(completion(false), expired(Ran::No));
    assert_eq!(completion(true), expired(Ran::Unknown));
    assert_eq!(sent(true).expired(), Outcome::Expired { ran: Ran::Unknown });
}

/// Guards against failing a request because its hedge failed first, and against
/// not cancelling the other try after an answer.
#[test]
fn failed_hedge_waits_for_the_first_try_and_an_answer_cancels_the_other() {
    let hedge = observed();
    let mut budget = Budget::new();
    let mut plan = sent(true);

    assert!(plan.try_hedge(Instant(100), &declaration(true), &hedge, &mut budget));
    plan.sent(endpoint(2));
    let mut other = plan.clone();
    let refused = plan.ended(Instant(110), &endpoint(2), refused(), &mut budget);
    let answered = other.ended(
        Instant(110),
        &endpoint(2),
        Completion::Answered,
        &mut budget,
    );

    assert_eq!(refused, Next::Wait);
    let cancel = vec![endpoint(1)];
    assert_eq!(answered, Next::Answer { cancel });
}

/// Guards against hedging a request that is not idempotent, whose service does
/// not enable hedging, that was hedged before, or that exceeds the budget.
#[test]
fn hedge_needs_an_idempotent_service_and_budget() {
    let hedge = observed();
    let now = Instant(100);
    let mut undeclared = declaration(true);
    undeclared.retry.hedge = false;
    let mut plan = sent(true);

    assert_eq!(hedge.delay(&declaration(false)), None);
    assert_eq!(hedge.delay(&undeclared), None);
    assert!(!sent(false).try_hedge(now, &declaration(false), &hedge, &mut Budget::new()));
    assert!(!plan.try_hedge(now, &declaration(true), &hedge, &mut spent_budget()));
    assert!(plan.try_hedge(now, &declaration(true), &hedge, &mut Budget::new()));
    assert!(!plan.try_hedge(now, &declaration(true), &hedge, &mut Budget::new()));
}

/// Guards against hedging before enough latencies are recorded, at a wrong
/// quantile, or based on old latencies.
#[test]
fn hedge_starts_after_the_observed_p95_of_recent_tries() {
    let mut hedge = Hedge::new();
    for _ in 0..99 {
        hedge.observe(&service(), Millis(10));
    }
    let early = hedge.delay(&declaration(true));
    let slow = observed().delay(&declaration(true)).unwrap();
    for _ in 0..4_000 {
        hedge.observe(&service(), Millis(40));
    }

    assert_eq!(early, None);
    assert!((93..=97).contains(&slow.0), "p95 is {slow}");
    assert_eq!(hedge.delay(&declaration(true)), Some(Millis(40)));
}

/// Guards against a graceful shutdown refusing admitted requests: with 200
/// requests on their way to a leaving agent, the budget alone refused most.
#[test]
fn refusal_by_a_leaving_agent_needs_no_budget_and_counts_as_no_try() {
    let mut plan = sent(false);
    let leaving = Completion::Refused {
        reason: Reason::Leaving,
        retry_after: Millis(50),
    };

    for n in 1..=5 {
        let next = plan.ended(Instant(1), &endpoint(n), leaving, &mut spent_budget());
        assert_eq!(next, Next::Retry);
        plan.sent(endpoint(n + 1));
    }

    let next = plan.ended(Instant(1), &endpoint(6), refused(), &mut spent_budget());
    assert_eq!(next, refusal(Reason::RetryBudget, 1_000));
    assert_eq!(plan.tried().len(), 6);
}
