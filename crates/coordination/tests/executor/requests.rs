//! Tests failures of orders and quick checks at the endpoint.

use {
    crate::agent::{attempt, order, start, Agent},
    filbertbend_coordination::{
        attempt::{Command, End, Output, Refusal, Report},
        executor::{Action, Check, Delivery, Event},
    },
    filbertbend_state::{outcome::Reason, unit::Millis},
};

fn output() -> Output {
    Output {
        status: 201,
        content_type: "application/json".into(),
        body: b"{}".to_vec(),
    }
}

#[test]
fn order_is_sent_once_however_often_it_is_started() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.command(task, start(order()));
    agent.grant(task);
    agent.grant(task);
    agent.command(task, start(order()));
    agent.advance(Millis::from_secs(30));
    agent.command(task, Command::Withdraw);
    assert_eq!(agent.last_report(task), Some(Report::Started));

    agent.deliver(task, Delivery::Answered(output()));
    agent.command(task, start(order()));
    agent.command(task, Command::Ack);
    agent.command(task, start(order()));

    assert_eq!(agent.orders_sent(), 1);
    assert_eq!(
        agent.last_report(task),
        Some(Report::Ended(End::Completed(output())))
    );
    assert_eq!(agent.executor.load().slots.0, 0);
}

#[test]
fn order_that_was_not_sent_is_proved_by_a_tombstone() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.command(task, start(order()));
    agent.grant(task);

    agent.deliver(task, Delivery::NotSent);
    agent.command(task, start(order()));

    let reason = Refusal::Worker;
    assert_eq!(agent.last_report(task), Some(Report::Refused { reason }));
    assert_eq!(agent.orders_sent(), 1);
}

#[test]
fn order_whose_answer_was_lost_is_unknown() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.command(task, start(order()));
    agent.grant(task);

    agent.deliver(task, Delivery::Lost);

    assert_eq!(agent.last_report(task), Some(Report::Ended(End::Unknown)));
}

#[test]
fn endpoint_never_gets_more_requests_than_slots() {
    let mut agent = Agent::new();
    for check in 1..=5 {
        agent.request_check(check);
    }
    let admitted = |agent: &Agent| -> Vec<u64> {
        agent
            .sent
            .iter()
            .filter_map(|action| match action {
                Action::Admit(check) => Some(check.0),
                _ => None,
            })
            .collect()
    };

    assert_eq!(admitted(&agent), [1, 2]);
    let check = Check(5);
    let reason = Reason::NoRoom;
    assert!(agent.sent.contains(&Action::Refuse { check, reason }));
    agent.handle(Event::CheckEnded(Check(2)));
    assert_eq!(admitted(&agent), [1, 2, 3]);
    assert_eq!(agent.executor.load().connections.0, 3);
}

#[test]
fn check_that_waits_too_long_is_refused_as_not_run() {
    let mut agent = Agent::new();
    agent.request_check(1);
    agent.request_check(2);
    agent.request_check(3);

    agent.advance(Millis(600));
    agent.handle(Event::CheckEnded(Check(1)));

    let check = Check(3);
    let reason = Reason::NoRoom;
    assert!(agent.sent.contains(&Action::Refuse { check, reason }));
    assert!(!agent.sent.contains(&Action::Admit(check)));
}
