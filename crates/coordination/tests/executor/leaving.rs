//! Tests failures while an agent leaves or restarts, or while its worker is
//! unreachable.

use {
    crate::agent::{attempt, batch, cores, entry, settings, slice, start, Agent},
    filbertbend_coordination::{
        attempt::{Command, End, Refusal, Report},
        executor::{Action, Check, Event},
    },
    filbertbend_state::{id, outcome::Reason, unit::Millis},
};

#[test]
fn unreachable_worker_gets_no_task_and_no_renewal() {
    let mut agent = Agent::new();
    agent.run(attempt(1, 1), 60_000);
    agent.handle(Event::WorkerUnreachable);
    agent.sent.clear();

    agent.command(attempt(2, 1), start(batch(1000)));
    for _ in 0..160 {
        agent.now = agent.now + Millis(100);
        agent.step(Event::Tick);
    }

    let reason = Refusal::Worker;
    assert_eq!(
        agent.last_report(attempt(2, 1)),
        Some(Report::Refused { reason })
    );
    assert!(matches!(
        agent.last_report(attempt(1, 1)),
        Some(Report::Stopped { .. })
    ));
    let renewed = |report: &Report| matches!(report, Report::Renew { .. });
    assert!(!agent.reports(attempt(1, 1)).iter().any(renewed));
}

#[test]
fn leaving_agent_saves_tasks_finishes_requests_and_takes_nothing_new() {
    let mut agent = Agent::new();
    agent.run(attempt(1, 1), 60_000);
    agent.request_check(1);

    agent.handle(Event::Leave);
    agent.command(attempt(2, 1), start(batch(1000)));
    agent.request_check(2);
    agent.advance(Millis::from_secs(1));

    let reason = Refusal::Leaving;
    assert_eq!(
        agent.last_report(attempt(2, 1)),
        Some(Report::Refused { reason })
    );
    let check = Check(2);
    let reason = Reason::Leaving;
    assert!(agent.sent.contains(&Action::Refuse { check, reason }));
    let stopped = matches!(
        agent.last_report(attempt(1, 1)),
        Some(Report::Stopped {
            checkpoint: Some(_)
        })
    );
    assert!(stopped);
    agent.command(attempt(1, 1), Command::Ack);
    assert!(!agent.executor.is_stopped(), "a request is in progress");
    agent.handle(Event::CheckEnded(Check(1)));
    assert!(agent.executor.is_stopped());
    assert_eq!(agent.sent.last(), Some(&Action::Exit));
}

#[test]
fn leaving_agent_does_not_wait_for_acknowledgements_forever() {
    let mut agent = Agent::new();
    agent.run(attempt(1, 1), 60_000);

    agent.handle(Event::Leave);
    agent.advance(Millis::from_secs(29));
    assert!(!agent.executor.is_stopped());
    agent.advance(Millis::from_secs(2));

    assert!(agent.executor.is_stopped());
}

#[test]
fn restarted_agent_adopts_running_tasks_and_their_room() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.run(task, 60_000);
    agent.advance(Millis::from_secs(3));
    agent.restart();

    agent.read_tasks();
    agent.read_events();
    agent.adopt("e2", 2, slice(task));
    assert!(matches!(
        agent.last_report(task),
        Some(Report::Renew { .. })
    ));
    let nonce = agent.nonce(task);
    let lease = Millis::from_secs(15);
    agent.command_from("e2", 2, task, Command::Grant { nonce, lease });
    agent.advance(Millis::from_secs(13));

    assert_eq!(agent.executor.load().free, cores(1));
    assert_eq!(agent.model.trace().spans[0].to, None);
}

#[test]
fn restarted_agent_reports_what_completed_while_it_was_down() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.run(task, 2000);
    agent.freeze(Millis::from_secs(3));
    agent.restart();

    agent.read_tasks();
    agent.read_events();
    agent.adopt("e1", 1, slice(task));

    assert!(matches!(
        agent.last_report(task),
        Some(Report::Ended(End::Completed(_)))
    ));
}

#[test]
fn restarted_agent_promises_nothing_while_an_old_start_may_still_arrive() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.command(task, start(batch(60_000)));
    let nonce = agent.nonce(task);
    let lease = Millis::from_secs(15);
    let in_flight = agent.step(Event::Command {
        from: entry("e1"),
        slice: slice(task),
        epoch: id::Epoch(1),
        attempt: task,
        command: Command::Grant { nonce, lease },
    });
    agent.restart();
    agent.read_tasks();

    agent.adopt("e1", 1, slice(task));
    agent.command(task, Command::Withdraw);
    assert!(
        agent.reports(task).is_empty(),
        "an old start may still arrive"
    );
    assert!(agent.inventories().is_empty());
    agent.execute(in_flight);
    agent.command(task, Command::Withdraw);

    assert_eq!(agent.last_report(task), Some(Report::Started));
    agent.advance(Millis::from_secs(2));
    assert_eq!(agent.inventories().len(), 1);
    assert_eq!(agent.inventories()[0][0].0, task);
}

#[test]
fn agent_that_has_not_read_the_workers_list_answers_nothing() {
    let mut agent = Agent::without_task_list(settings());
    let task = attempt(1, 1);

    agent.command(task, start(batch(1000)));
    agent.adopt("e1", 1, slice(task));
    agent.advance(Millis::from_secs(60));

    assert!(agent.sent.is_empty(), "{:?}", agent.sent);
}

#[test]
fn task_that_the_worker_lost_is_not_renewed() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.run(task, 60_000);
    for _ in 0..2 {
        agent.step(Event::Tasks(Vec::new()));
    }

    for _ in 0..160 {
        agent.now = agent.now + Millis(100);
        agent.step(Event::Tick);
    }

    let renewed = |report: &Report| matches!(report, Report::Renew { .. });
    assert!(!agent.reports(task).iter().any(renewed));
    assert!(matches!(
        agent.last_report(task),
        Some(Report::Stopped { .. })
    ));
}

#[test]
fn start_of_a_former_process_life_is_not_carried_out_after_promises_begin() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.command(task, start(batch(60_000)));
    let nonce = agent.nonce(task);
    let lease = Millis::from_secs(15);
    let in_flight = agent.step(Event::Command {
        from: entry("e1"),
        slice: slice(task),
        epoch: id::Epoch(1),
        attempt: task,
        command: Command::Grant { nonce, lease },
    });
    agent.restart();
    agent.read_tasks();
    agent.command(attempt(2, 1), start(batch(1000)));
    assert!(
        agent.reports(attempt(2, 1)).is_empty(),
        "the free room is not known yet"
    );

    agent.advance(Millis::from_secs(1));
    agent.command(task, Command::Withdraw);
    agent.execute(in_flight);

    assert_eq!(agent.last_report(task), Some(Report::Withdrawn));
    assert!(agent.model.trace().spans.is_empty());
    let claimed = matches!(agent.last_report(attempt(2, 1)), Some(Report::Claim { .. }));
    assert!(claimed);
}

#[test]
fn start_that_the_worker_takes_slowly_is_not_stopped_by_its_short_first_lease() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.command(task, start(batch(60_000)));
    let nonce = agent.nonce(task);
    let lease = Millis::from_secs(15);
    let actions = agent.step(Event::Command {
        from: entry("e1"),
        slice: slice(task),
        epoch: id::Epoch(1),
        attempt: task,
        command: Command::Grant { nonce, lease },
    });
    for action in actions {
        if let Action::Worker(command) = action {
            agent.model.command(agent.now, command);
        }
    }

    // The worker's event that the task has started arrives late.
    agent.freeze(Millis::from_secs(5));
    agent.read_events();

    assert_eq!(agent.model.running(agent.now).len(), 1);
}
