//! Tests that orders run at most once and in the customer's sequence, and that
//! their reported outcome is correct.

mod support;

use {
    filbertbend_coordination::{
        attempt::{Command, End, Refusal, Report},
        job::{Answer, Call, Phase},
        owner::{lease_end, Event, LEASE, ORDER_START_TIMEOUT, RETENTION},
    },
    filbertbend_state::{
        outcome::{Outcome, Ran, Reason},
        unit::Millis,
    },
    support::{
        attempt, completed, is_deny, is_grant, job_id, name, order, output, owner, worker, Writes,
        HORIZON,
    },
};

fn ask(key: &str) -> Call {
    Call::Order {
        service: name("orders"),
        customer: name("acme"),
        key: name(key),
    }
}

/// Guards against an order that runs twice because its caller retried.
#[test]
fn an_order_retried_with_the_same_key_returns_the_recorded_outcome() {
    let mut fixture = owner(2);
    let first = fixture.call(Call::Submit(order(1, 1, "k-1")));
    let during = fixture.call(Call::Submit(retry(2, 1, "k-1", 1)));
    let place = fixture.started_on(attempt(1, 1)).unwrap();
    fixture.claim(place, attempt(1, 1));
    assert_eq!(fixture.answer(first), None);

    fixture.report(place, attempt(1, 1), completed("bought"));
    let after = fixture.call(Call::Submit(retry(3, 1, "k-1", 1)));

    let bought = Some(Answer::Output(output("bought")));
    for reply in [first, during, after] {
        assert_eq!(fixture.answer(reply), bought);
    }
    assert_eq!(fixture.ask(ask("k-1")), bought);
    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against returning the outcome of one order for another.
#[test]
fn an_order_that_reuses_a_key_with_another_body_is_refused() {
    let mut fixture = owner(2);
    fixture.call(Call::Submit(order(1, 1, "k-1")));

    let mut other = order(2, 2, "k-1");
    other.body = b"another order".to_vec();
    let answer = fixture.ask(Call::Submit(other));

    let refused = Outcome::Refused {
        reason: Reason::KeyReused,
        retry_after_ms: Millis::ZERO,
    };
    assert_eq!(answer, Some(Answer::Outcome(refused)));
}

/// Returns a retry of the order `first`. The body of a fixture's order depends on
/// its number, so the retry takes the body of `first`.
fn retry(number: u64, sequence: u64, key: &str, first: u64) -> filbertbend_coordination::job::Spec {
    let mut spec = order(number, sequence, key);
    spec.body = order(first, sequence, key).body;
    spec
}

/// Guards against running a customer's orders out of sequence.
#[test]
fn a_later_order_waits_until_the_earlier_one_has_ended() {
    let mut fixture = owner(2);

    fixture.call(Call::Submit(order(2, 2, "k-2")));
    assert!(fixture.starts().is_empty(), "order 1 is missing");
    fixture.call(Call::Submit(order(1, 1, "k-1")));
    assert_eq!(fixture.starts().len(), 1);
    let place = fixture.started_on(attempt(1, 1)).unwrap();
    fixture.claim(place, attempt(1, 1));
    fixture.advance(Millis::from_secs(1));
    assert_eq!(fixture.started_on(attempt(2, 1)), None);
    fixture.report(place, attempt(1, 1), completed("bought"));

    assert!(fixture.started_on(attempt(2, 1)).is_some());
}

/// Guards against starting a later order before the outcome of the earlier one is
/// durable.
#[test]
fn a_later_order_waits_until_the_earlier_outcome_is_durable() {
    let mut fixture = owner(2);
    fixture.call(Call::Submit(order(1, 1, "k-1")));
    fixture.call(Call::Submit(order(2, 2, "k-2")));
    let place = fixture.started_on(attempt(1, 1)).unwrap();
    fixture.claim(place, attempt(1, 1));
    fixture.writes = Writes::Held;

    fixture.report(place, attempt(1, 1), completed("bought"));
    assert_eq!(fixture.held.len(), 1, "only the outcome is being written");
    fixture.writes = Writes::AtOnce;
    fixture.write();

    assert!(fixture.started_on(attempt(2, 1)).is_some());
}

/// Guards against an order that waits forever for an earlier one that never
/// arrives, and against answering its retry with the refusal instead of running
/// it.
#[test]
fn an_order_behind_a_gap_is_refused_at_its_deadline_and_may_be_retried() {
    let mut fixture = owner(2);
    let late = fixture.call(Call::Submit(order(2, 2, "k-2")));

    fixture.advance(Millis::from_secs(31));
    let refused = Outcome::Refused {
        reason: Reason::SequenceGap,
        retry_after_ms: Millis::ZERO,
    };
    assert_eq!(fixture.answer(late), Some(Answer::Outcome(refused)));
    assert!(fixture.starts().is_empty());
    let mut first = order(1, 1, "k-1");
    first.expires_at = None;
    let mut again = retry(3, 2, "k-2", 2);
    again.expires_at = None;
    fixture.call(Call::Submit(first));
    fixture.call(Call::Submit(again));
    let place = fixture.started_on(attempt(1, 1)).unwrap();
    fixture.claim(place, attempt(1, 1));
    fixture.report(place, attempt(1, 1), completed("bought"));

    assert!(fixture.started_on(attempt(3, 1)).is_some());
}

/// Guards against answering `unknown` to a caller just before the order is
/// refused. The deadlines of the call and of the order are converted to the
/// monotonic clock at different times, and the wall clock is not read again in
/// between.
#[test]
fn a_call_waits_for_the_refusal_of_its_order_at_the_same_deadline() {
    let mut fixture = owner(2);
    fixture.writes = Writes::Held;
    let call = fixture.call(Call::Submit(order(2, 2, "k-2")));
    fixture.now = fixture.now + Millis(15);
    fixture.writes = Writes::AtOnce;
    fixture.write();
    fixture.advance(Millis(85));

    fixture.advance(Millis::from_secs(31));

    let refused = Outcome::Refused {
        reason: Reason::SequenceGap,
        retry_after_ms: Millis::ZERO,
    };
    assert_eq!(fixture.answer(call), Some(Answer::Outcome(refused)));
}

/// Guards against an order that runs twice because its agent was lost after the
/// grant, and against a customer whose later orders are blocked forever.
#[test]
fn an_order_whose_agent_is_lost_after_the_grant_is_unknown_and_not_sent_again() {
    let mut fixture = owner(2);
    let mut first = order(1, 1, "k-1");
    first.expires_at = None;
    let reply = fixture.call(Call::Submit(first));
    let mut second = order(2, 2, "k-2");
    second.expires_at = None;
    fixture.call(Call::Submit(second));
    let place = fixture.started_on(attempt(1, 1)).unwrap();
    fixture.claim(place, attempt(1, 1));
    let over = lease_end(fixture.now, LEASE);

    fixture.step(Event::AgentDown {
        worker: worker(place),
    });
    fixture.advance(over.since(fixture.now) - Millis(100));
    assert_eq!(fixture.answer(reply), None);
    assert_eq!(fixture.starts().len(), 1);
    fixture.advance(Millis(200));

    let unknown = Some(Answer::Outcome(Outcome::Unknown));
    assert_eq!(fixture.answer(reply), unknown);
    assert_eq!(fixture.ask(ask("k-1")), unknown);
    assert_eq!(fixture.started_on(attempt(1, 2)), None);
    assert!(fixture.started_on(attempt(2, 1)).is_some());
}

/// Guards against placing an order again that the former owner may have granted.
#[test]
fn an_order_that_a_former_owner_may_have_granted_is_not_sent_again() {
    let mut former = owner(2);
    let mut spec = order(1, 1, "k-1");
    spec.expires_at = None;
    former.call(Call::Submit(spec));
    let place = former.started_on(attempt(1, 1)).unwrap();
    former.claim(place, attempt(1, 1));

    let mut fixture = former.replace_owner(HORIZON);
    fixture.agent_appears(place, 2);
    fixture.inventory(place, Vec::new());
    fixture.report(place, attempt(1, 1), Report::Withdrawn);
    fixture.advance(Millis::from_secs(16));

    assert_eq!(
        fixture.ask(ask("k-1")),
        Some(Answer::Outcome(Outcome::Unknown))
    );
    assert!(fixture.starts().is_empty());
}

/// Guards against giving up an order although the agent's tombstone shows that it
/// did not start.
#[test]
fn an_order_that_the_agent_proves_not_started_is_sent_elsewhere() {
    let mut fixture = owner(2);
    fixture.call(Call::Submit(order(1, 1, "k-1")));
    let place = fixture.started_on(attempt(1, 1)).unwrap();

    let reason = Refusal::Leaving;
    fixture.report(place, attempt(1, 1), Report::Refused { reason });

    assert_eq!(fixture.started_on(attempt(1, 2)), Some(1 - place));
}

/// Guards against an order that runs at two endpoints because its first placement
/// is claimed after the second was made.
#[test]
fn an_order_is_granted_to_its_current_placement_only() {
    let mut fixture = owner(2);
    fixture.call(Call::Submit(order(1, 1, "k-1")));
    let first = fixture.started_on(attempt(1, 1)).unwrap();
    fixture.planner.set_liveness(
        &worker(first),
        filbertbend_coordination::placement::Liveness::Suspect,
    );
    fixture.advance(ORDER_START_TIMEOUT + Millis(200));

    let second = fixture.started_on(attempt(1, 2)).unwrap();
    let late = fixture.claim(first, attempt(1, 1));
    let granted = fixture.claim(second, attempt(1, 2));

    assert!(is_deny(late.as_ref()), "{late:?}");
    assert!(is_grant(granted.as_ref()), "{granted:?}");
}

/// Guards against an outcome that tells the caller that a started order did not
/// run.
#[test]
fn a_started_order_that_outlasts_its_deadline_is_answered_as_unknown() {
    let mut fixture = owner(1);
    let reply = fixture.call(Call::Submit(order(1, 1, "k-1")));
    fixture.claim(0, attempt(1, 1));

    while fixture.answer(reply).is_none() {
        fixture.advance(Millis::from_secs(5));
        fixture.renew(0, attempt(1, 1));
    }
    let ran = Ran::Unknown;
    assert_eq!(
        fixture.answer(reply),
        Some(Answer::Outcome(Outcome::Expired { ran }))
    );
    fixture.report(0, attempt(1, 1), completed("bought late"));

    let bought = Some(Answer::Output(output("bought late")));
    assert_eq!(fixture.ask(ask("k-1")), bought);
}

/// Guards against starting an order after it was answered as not run.
#[test]
fn an_order_that_expired_before_its_start_never_starts() {
    let mut fixture = owner(0);
    let reply = fixture.call(Call::Submit(order(1, 1, "k-1")));

    fixture.advance(Millis::from_secs(31));
    fixture.agent_appears(0, 1);
    fixture.advance(Millis::from_secs(1));

    let ran = Ran::No;
    assert_eq!(
        fixture.answer(reply),
        Some(Answer::Outcome(Outcome::Expired { ran }))
    );
    assert!(fixture.starts().is_empty());
}

/// Guards against granting an order whose claim arrives while the record of its
/// expiry is being written, or after the order was answered as not run.
#[test]
fn a_claim_of_an_order_that_is_expiring_is_not_granted() {
    let mut fixture = owner(1);
    let mut spec = order(1, 1, "k-1");
    spec.expires_at = Some(fixture.wall() + Millis(1000));
    fixture.call(Call::Submit(spec));
    fixture.writes = Writes::Held;

    fixture.advance(Millis(1100));
    let during = fixture.claim(0, attempt(1, 1));
    fixture.writes = Writes::AtOnce;
    fixture.write();
    let after = fixture.claim(0, attempt(1, 1));

    assert!(!is_grant(during.as_ref()), "{during:?}");
    assert!(is_deny(after.as_ref()), "{after:?}");
}

/// Guards against two orders with the same sequence number.
#[test]
fn a_second_order_with_a_used_sequence_number_is_invalid() {
    let mut fixture = owner(1);
    fixture.call(Call::Submit(order(1, 1, "k-1")));

    let waiting = fixture.ask(Call::Submit(order(2, 1, "k-2")));
    fixture.claim(0, attempt(1, 1));
    fixture.report(0, attempt(1, 1), completed("bought"));
    let done = fixture.ask(Call::Submit(order(3, 1, "k-3")));

    let invalid = Some(Answer::Outcome(Outcome::Invalid));
    assert_eq!(waiting, invalid);
    assert_eq!(done, invalid);
}

/// Guards against answering `cancelled` for an order that takes effect.
#[test]
fn an_order_that_may_have_started_is_not_cancelled() {
    let mut fixture = owner(1);
    fixture.call(Call::Submit(order(1, 1, "k-1")));
    fixture.claim(0, attempt(1, 1));

    let answer = fixture.ask(Call::Cancel(job_id(1)));

    let Some(Answer::Pending(status)) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(status.phase, Phase::Running);
    assert!(!fixture.commands(attempt(1, 1)).contains(&Command::Cancel));
}

/// Guards against treating a lost answer of the endpoint as a failure that may be
/// retried.
#[test]
fn an_order_whose_answer_was_lost_is_unknown() {
    let mut fixture = owner(2);
    let reply = fixture.call(Call::Submit(order(1, 1, "k-1")));
    let place = fixture.started_on(attempt(1, 1)).unwrap();
    fixture.claim(place, attempt(1, 1));

    fixture.report(place, attempt(1, 1), Report::Ended(End::Unknown));

    assert_eq!(
        fixture.answer(reply),
        Some(Answer::Outcome(Outcome::Unknown))
    );
    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against restarting a sequence, or forgetting a key, when the slice
/// changes its owner.
#[test]
fn keys_and_sequences_survive_a_change_of_owner() {
    let mut former = owner(1);
    former.call(Call::Submit(order(1, 1, "k-1")));
    former.claim(0, attempt(1, 1));
    former.report(0, attempt(1, 1), completed("bought"));

    let mut fixture = former.replace_owner(HORIZON);
    fixture.agent_appears(0, 1);
    let repeated = fixture.ask(Call::Submit(retry(5, 1, "k-1", 1)));
    fixture.call(Call::Submit(order(2, 2, "k-2")));

    assert_eq!(repeated, Some(Answer::Output(output("bought"))));
    assert_eq!(fixture.starts().len(), 1);
    assert!(fixture.started_on(attempt(2, 1)).is_some());
}

/// Guards against keys that are never deleted and against sequences that are.
#[test]
fn keys_are_remembered_for_24_hours_and_sequences_for_ever() {
    let mut fixture = owner(1);
    fixture.call(Call::Submit(order(1, 1, "k-1")));
    fixture.claim(0, attempt(1, 1));
    fixture.report(0, attempt(1, 1), completed("bought"));

    fixture.now = fixture.now + RETENTION - Millis(200);
    fixture.advance(Millis(100));
    let kept = fixture.ask(ask("k-1"));
    fixture.advance(Millis(200));
    let forgotten = fixture.ask(ask("k-1"));
    let mut again = order(9, 1, "k-1");
    again.expires_at = None;
    let reused = fixture.ask(Call::Submit(again));

    assert_eq!(kept, Some(Answer::Output(output("bought"))));
    assert_eq!(forgotten, Some(Answer::NotFound));
    assert_eq!(reused, Some(Answer::Outcome(Outcome::Invalid)));
}
