//! Tests failures while attempts are claimed, leased, evicted and acknowledged.

use {
    crate::agent::{attempt, batch, cores, entry, order, settings, slice, start, Agent},
    filbertbend_coordination::{
        attempt::{Command, End, Phase, Refusal, Report},
        executor::{Action, Event, Settings},
        worker,
    },
    filbertbend_standin::worker::Faults,
    filbertbend_state::{id, unit::Millis},
};

fn no_checkpoints() -> Faults {
    Faults {
        no_checkpoints: true,
        ..Faults::default()
    }
}

#[test]
fn agent_frozen_between_check_and_start_runs_nothing() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.command(task, start(batch(1000)));
    let nonce = agent.nonce(task);
    let lease = Millis::from_secs(15);

    let actions = agent.step(Event::Command {
        from: entry("e1"),
        slice: slice(task),
        epoch: id::Epoch(1),
        attempt: task,
        command: Command::Grant { nonce, lease },
    });
    agent.freeze(Millis::from_secs(16));
    agent.execute(actions);

    assert!(agent.model.trace().spans.is_empty());
    let reason = Refusal::Worker;
    assert_eq!(agent.last_report(task), Some(Report::Refused { reason }));
}

#[test]
fn lease_counts_from_before_the_agent_asked() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.command(task, start(batch(60_000)));
    let claimed_at = agent.now;
    agent.freeze(Millis(900));

    agent.grant(task);

    let running = agent.model.running(agent.now);
    assert_eq!(running[0].lease_end, claimed_at + Millis::from_secs(15));
}

#[test]
fn delayed_grant_whose_lease_has_passed_starts_nothing() {
    let mut agent = Agent::new();
    let tasks = [(attempt(1, 1), batch(1000)), (attempt(2, 1), order())];
    let claims = tasks.map(|(task, work)| {
        agent.command(task, start(work));
        (task, agent.nonce(task))
    });
    agent.freeze(Millis(9000));

    for (task, nonce) in claims {
        let lease = Millis(9000);
        agent.command(task, Command::Grant { nonce, lease });
    }

    let starts = |command: &worker::Command| matches!(command, worker::Command::Start { .. });
    assert_eq!(agent.count_commands(starts), 0);
    assert_eq!(agent.orders_sent(), 0);
}

#[test]
fn delayed_start_after_withdrawal_is_not_run() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.command(task, Command::Withdraw);
    assert_eq!(agent.last_report(task), Some(Report::Withdrawn));

    agent.command(task, start(batch(1000)));

    assert_eq!(agent.reports(task), [Report::Withdrawn, Report::Withdrawn]);
}

#[test]
fn duplicated_start_after_refusal_is_not_run_when_room_is_free_again() {
    let mut agent = Agent::new();
    agent.run(attempt(1, 1), 1000);
    agent.run(attempt(2, 1), 1000);
    let task = attempt(3, 1);
    agent.command(task, start(batch(1000)));
    agent.advance(Millis::from_secs(2));

    agent.command(task, start(batch(1000)));

    let reason = Refusal::NoRoom;
    let refused = Report::Refused { reason };
    assert_eq!(agent.reports(task), [refused.clone(), refused]);
}

#[test]
fn process_frozen_past_the_lease_does_not_take_a_late_renewal() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.run(task, 60_000);
    agent.advance(Millis::from_secs(5));
    let nonce = agent.nonce(task);
    agent.freeze(Millis(10_100));

    let lease = Millis::from_secs(15);
    let actions = agent.command(task, Command::Grant { nonce, lease });
    agent.advance(Millis::from_secs(1));

    let extended =
        |action: &Action| matches!(action, Action::Worker(worker::Command::Extend { .. }));
    assert!(!actions.iter().any(extended));
    assert_eq!(
        agent.last_report(task),
        Some(Report::Stopped { checkpoint: None })
    );
}

#[test]
fn one_way_link_repeats_claims_then_frees_the_room() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.command(task, start(batch(1000)));

    agent.advance(Millis::from_secs(11));

    let claims = agent.reports(task);
    let nonces: std::collections::BTreeSet<_> = claims
        .iter()
        .filter_map(|report| match report {
            Report::Claim { nonce } => Some(*nonce),
            _ => None,
        })
        .collect();
    assert_eq!(nonces.len(), 10);
    let reason = Refusal::NoRoom;
    assert_eq!(claims.last(), Some(&Report::Refused { reason }));
    assert_eq!(agent.executor.load().free, cores(2));
}

#[test]
fn task_is_saved_and_stopped_before_its_lease_ends_without_a_renewal() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.run(task, 60_000);
    let lease_end = agent.now + Millis::from_secs(15);

    agent.advance(Millis(14_500));

    let span = agent.model.trace().spans[0].clone();
    assert!(span.to.is_some_and(|to| to < lease_end));
    let checkpointed = matches!(
        agent.last_report(task),
        Some(Report::Stopped { checkpoint: Some(number) }) if number.0 >= 9000
    );
    assert!(checkpointed, "{:?}", agent.last_report(task));
}

#[test]
fn lease_is_renewed_every_third() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.run(task, 60_000);

    for _ in 0..6 {
        let before = agent.reports(task).len();
        agent.advance(Millis(5000));
        assert_eq!(agent.reports(task).len(), before + 1);
        agent.grant(task);
    }

    assert_eq!(agent.model.running(agent.now).len(), 1);
    assert_eq!(agent.model.trace().spans.len(), 1);
}

#[test]
fn worker_that_refuses_leaves_a_tombstone() {
    let mut agent = Agent::new().with_faults(Faults {
        refuse_all: true,
        ..Faults::default()
    });
    let task = attempt(1, 1);
    agent.command(task, start(batch(1000)));
    agent.grant(task);
    agent.model.set_faults(Faults::default());

    agent.command(task, start(batch(1000)));
    agent.advance(Millis::from_secs(2));

    let reason = Refusal::Worker;
    assert_eq!(agent.last_report(task), Some(Report::Refused { reason }));
    assert!(agent.model.trace().spans.is_empty());
    assert_eq!(agent.executor.load().free, cores(2));
}

#[test]
fn concurrent_starts_of_several_owners_do_not_exceed_the_room() {
    let mut agent = Agent::new();
    for job in 1..=6 {
        let owner = format!("e{job}");
        agent.command_from(&owner, 7, attempt(job, 1), start(batch(60_000)));
    }
    let claimed: Vec<u8> = (1..=6)
        .filter(|job| {
            matches!(
                agent.last_report(attempt(*job, 1)),
                Some(Report::Claim { .. })
            )
        })
        .collect();

    for job in &claimed {
        let task = attempt(*job, 1);
        let nonce = agent.nonce(task);
        let lease = Millis::from_secs(15);
        agent.command_from("e1", 7, task, Command::Grant { nonce, lease });
    }

    assert_eq!(claimed, [1, 2]);
    assert_eq!(agent.model.trace().peak, cores(2));
}

#[test]
fn former_owner_cannot_start_or_stop_a_task() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.run(task, 60_000);
    agent.adopt("e2", 2, slice(task));

    agent.command_from("e1", 1, task, Command::Cancel);
    agent.command_from("e1", 1, attempt(1, 2), start(batch(1000)));

    assert_eq!(agent.model.running(agent.now).len(), 1);
    assert!(agent.reports(attempt(1, 2)).is_empty());
    let to_new_owner =
        |action: &Action| matches!(action, Action::Inventory { to, .. } if *to == entry("e2"));
    assert!(agent.sent.iter().any(to_new_owner));
    assert_eq!(agent.inventories(), [vec![(task, Phase::Running)]]);
}

#[test]
fn result_is_resent_until_it_is_acknowledged() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.run(task, 500);
    agent.advance(Millis::from_secs(8));
    let ended = |agent: &Agent| {
        let reports = agent.reports(task);
        let end = |report: &&Report| matches!(report, Report::Ended(End::Completed(_)));
        reports.iter().filter(end).count()
    };
    let before = ended(&agent);

    agent.command(task, Command::Ack);
    agent.advance(Millis::from_secs(20));

    assert!(before >= 3, "sent {before} times");
    assert_eq!(ended(&agent), before);
    agent.command(task, start(batch(500)));
    assert_eq!(agent.model.trace().spans.len(), 1);
}

#[test]
fn evicted_task_is_stopped_after_its_checkpoint() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.run(task, 60_000);
    agent.advance(Millis::from_secs(3));

    agent.command(task, Command::Evict);
    agent.advance(Millis(300));

    let checkpoint = Some(id::Checkpoint(3000));
    assert_eq!(
        agent.last_report(task),
        Some(Report::Stopped { checkpoint })
    );
    assert_eq!(agent.executor.load().free, cores(2));
}

#[test]
fn eviction_stops_a_task_whose_checkpoint_never_completes() {
    let mut agent = Agent::new().with_faults(no_checkpoints());
    let task = attempt(1, 1);
    agent.run(task, 60_000);

    agent.command(task, Command::Evict);
    agent.advance(Millis(4900));
    assert_eq!(agent.model.running(agent.now).len(), 1);
    agent.advance(Millis(200));

    assert_eq!(
        agent.last_report(task),
        Some(Report::Stopped { checkpoint: None })
    );
}

#[test]
fn denied_renewal_stops_the_task_at_once() {
    let mut agent = Agent::new();
    let task = attempt(1, 1);
    agent.run(task, 60_000);
    agent.advance(Millis(5000));
    let nonce = agent.nonce(task);

    agent.command(task, Command::Deny { nonce });

    assert!(agent.model.running(agent.now).is_empty());
}

#[test]
fn newer_attempt_waits_until_the_older_one_has_ended_here() {
    let mut agent = Agent::new();
    agent.run(attempt(1, 1), 3000);

    agent.command(attempt(1, 2), start(batch(1000)));
    assert!(agent.reports(attempt(1, 2)).is_empty());
    agent.advance(Millis::from_secs(4));
    agent.command(attempt(1, 2), start(batch(1000)));

    let claimed = matches!(agent.last_report(attempt(1, 2)), Some(Report::Claim { .. }));
    assert!(claimed);
}

#[test]
fn full_tombstones_leave_a_start_unanswered_instead_of_forgetting() {
    let mut agent = Agent::with_settings(Settings {
        max_tombstones: 2,
        ..settings()
    });
    agent.command(attempt(1, 1), Command::Withdraw);
    agent.command(attempt(2, 1), Command::Withdraw);

    agent.command(attempt(3, 1), Command::Withdraw);
    agent.command(attempt(1, 1), start(batch(1000)));
    assert!(agent.reports(attempt(3, 1)).is_empty());
    assert_eq!(agent.last_report(attempt(1, 1)), Some(Report::Withdrawn));

    agent.command(attempt(2, 1), Command::Ack);
    agent.command(attempt(3, 1), Command::Withdraw);
    assert_eq!(agent.last_report(attempt(3, 1)), Some(Report::Withdrawn));
    assert_eq!(agent.executor.tombstones(), 2);
}

#[test]
fn tombstones_outlast_the_ownership_horizon_and_then_go() {
    let mut agent = Agent::new();
    agent.command(attempt(1, 1), Command::Withdraw);

    agent.advance(Millis::from_secs(620));
    assert_eq!(agent.executor.tombstones(), 1);
    agent.advance(Millis::from_secs(21));

    assert_eq!(agent.executor.tombstones(), 0);
}
