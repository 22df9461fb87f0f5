//! Tests that no job runs twice, is lost, or is answered before it is durable.

mod support;

use {
    filbertbend_coordination::{
        attempt::{self, Command, End, Refusal, Report, Work},
        job::{Answer, Call, Phase},
        owner::{lease_end, Event, Record, EVICT_TIMEOUT, LEASE, RETENTION, START_TIMEOUT},
        placement::Decision,
    },
    filbertbend_state::{
        id,
        outcome::{Outcome, Ran, Reason},
        unit::Millis,
    },
    support::{
        attempt, completed, is_deny, is_grant, job, job_id, output, owner, room, task, worker,
        Writes, HORIZON,
    },
};

/// Guards against an answer or a start that a new owner cannot recover.
#[test]
fn nothing_is_answered_or_sent_before_its_record_is_durable() {
    let mut fixture = owner(2);
    fixture.writes = Writes::Held;

    let reply = fixture.call(Call::Submit(job(1)));
    assert_eq!(fixture.answer(reply), None);
    assert!(fixture.starts().is_empty());
    let submitted = fixture.held.pop_front().unwrap();
    fixture.step(Event::Durable(submitted.0));
    assert_eq!(fixture.answer(reply), Some(Answer::Accepted(job_id(1))));
    assert!(fixture.starts().is_empty(), "the placement is not durable");
    fixture.write();

    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against a submission that is refused as not run but runs anyway.
#[test]
fn a_submission_that_was_not_written_never_starts() {
    let mut fixture = owner(2);
    fixture.writes = Writes::Held;

    let reply = fixture.call(Call::Submit(job(1)));
    fixture.drop_writes();
    fixture.writes = Writes::AtOnce;
    fixture.advance(Millis::from_secs(5));

    let refused = Outcome::Refused {
        reason: Reason::StoreUnavailable,
        retry_after_ms: Millis(1000),
    };
    assert_eq!(fixture.answer(reply), Some(Answer::Outcome(refused)));
    assert!(fixture.starts().is_empty());
    assert!(fixture.journal.is_empty());
}

/// Guards against accepting jobs that cannot be made durable during an outage.
#[test]
fn a_submission_during_a_store_outage_is_refused_as_not_run() {
    let mut fixture = owner(2);

    fixture.step(Event::StoreAvailability { available: false });
    let answer = fixture.ask(Call::Submit(job(1)));

    let refused = matches!(
        answer,
        Some(Answer::Outcome(Outcome::Refused {
            reason: Reason::StoreUnavailable,
            ..
        }))
    );
    assert!(refused, "{answer:?}");
    assert_eq!(fixture.appends, 0);
}

/// Guards against a task that runs on two workers because a delayed `Start` is
/// claimed after the next placement.
#[test]
fn a_start_that_arrives_after_the_next_placement_is_denied() {
    let mut fixture = owner(2);
    fixture.call(Call::Submit(job(1)));
    let first = fixture.started_on(attempt(1, 1)).unwrap();

    // The agent does not answer, so the attempt is abandoned.
    fixture.planner.set_liveness(
        &worker(first),
        filbertbend_coordination::placement::Liveness::Suspect,
    );
    fixture.advance(START_TIMEOUT + Millis(200));
    let second = fixture.started_on(attempt(1, 2)).unwrap();
    assert_ne!(first, second);
    let granted = fixture.claim(second, attempt(1, 2));
    let late = fixture.claim(first, attempt(1, 1));

    assert!(is_grant(granted.as_ref()));
    assert!(is_deny(late.as_ref()), "{late:?}");
}

/// Guards against a task that runs on two workers because it is placed again
/// before an earlier lease has expired.
#[test]
fn a_lost_agent_after_a_grant_is_replaced_only_after_its_lease() {
    let mut fixture = owner(2);
    let first = fixture.run(job(1));
    let granted_at = fixture.now;

    fixture.step(Event::AgentDown {
        worker: worker(first),
    });
    fixture.planner.set_liveness(
        &worker(first),
        filbertbend_coordination::placement::Liveness::Down,
    );
    let over = lease_end(granted_at, LEASE);
    fixture.advance(over.since(fixture.now) - Millis(100));
    assert_eq!(fixture.started_on(attempt(1, 2)), None);
    fixture.advance(Millis(200));

    assert_eq!(fixture.started_on(attempt(1, 2)), Some(1 - first));
    let late = fixture.renew(first, attempt(1, 1));
    assert!(is_deny(late.as_ref()), "{late:?}");
}

/// Guards against clock drift: the owner must wait for the agent with the slowest
/// clock.
#[test]
fn a_lease_is_counted_with_two_percent_and_200_ms_of_drift() {
    let now = filbertbend_state::time::Instant(5_000);

    let end = lease_end(now, Millis::from_secs(15));

    assert_eq!(end.since(now), Millis(15_500));
}

/// Guards against a task that runs on two workers after both owner and agent were
/// replaced, because the new owner does not know which renewals were granted.
#[test]
fn with_owner_and_agent_replaced_a_task_waits_for_the_horizon() {
    let mut former = owner(2);
    let first = former.run(job(1));

    let mut fixture = former.replace_owner(HORIZON);
    fixture.agent_appears(1 - first, 1);
    fixture.inventory(1 - first, Vec::new());
    fixture.advance(HORIZON);
    assert_eq!(fixture.started_on(attempt(1, 2)), None);
    fixture.advance(Millis(HORIZON.0 / 50 + 400));

    assert_eq!(fixture.started_on(attempt(1, 2)), Some(1 - first));
}

/// Guards against a start by a former owner without access to the store, on an
/// agent that has lost the newer epoch in a restart.
#[test]
fn a_first_grant_needs_the_owners_own_store_lease() {
    let mut fixture = owner(2);
    let first_grants_until = fixture.now + Millis::from_secs(4);
    let renewals_until = fixture.now + HORIZON;
    let running = fixture.run(job(1));
    fixture.call(Call::Submit(job(2)));
    let placed = fixture.started_on(attempt(2, 1)).unwrap();

    fixture.step(Event::Authority(
        filbertbend_coordination::owner::Authority {
            first_grants_until,
            renewals_until,
        },
    ));
    fixture.now = first_grants_until;

    assert_eq!(fixture.claim(placed, attempt(2, 1)), None);
    let renewed = fixture.renew(running, attempt(1, 1));
    assert!(is_grant(renewed.as_ref()), "{renewed:?}");
}

/// Guards against leases that last longer than the next owner waits.
#[test]
fn no_grant_extends_past_the_ownership_horizon() {
    let mut fixture = owner(1);
    fixture.run(job(1));
    let horizon = fixture.now + Millis::from_secs(5);

    fixture.step(Event::Authority(
        filbertbend_coordination::owner::Authority {
            first_grants_until: horizon,
            renewals_until: horizon,
        },
    ));
    let renewed = fixture.renew(0, attempt(1, 1));
    fixture.now = horizon;
    let past = fixture.renew(0, attempt(1, 1));

    let Some(Command::Grant { lease, .. }) = renewed else {
        panic!("{renewed:?}");
    };
    assert_eq!(lease, Millis::from_secs(5));
    assert_eq!(past, None);
}

/// Guards against a hand-over that stops running tasks or runs them twice.
#[test]
fn a_new_owner_adopts_the_attempts_that_a_reachable_agent_lists() {
    let mut former = owner(2);
    let first = former.run(job(1));

    let mut fixture = former.replace_owner(HORIZON);
    fixture.agent_appears(first, 1);
    assert_eq!(fixture.adopts, [worker(first)]);
    fixture.inventory(first, vec![(attempt(1, 1), attempt::Phase::Running)]);
    let renewed = fixture.renew(first, attempt(1, 1));
    fixture.report(first, attempt(1, 1), completed("drawn"));

    assert!(is_grant(renewed.as_ref()), "{renewed:?}");
    assert_eq!(
        fixture.ask(Call::Result(job_id(1))),
        Some(Answer::Outputs(vec![output("drawn")]))
    );
    assert!(fixture.starts().is_empty());
}

/// Guards against urgent work that waits for the ownership horizon although its
/// agent has confirmed that the start never arrived.
#[test]
fn an_attempt_that_the_agent_does_not_list_is_withdrawn_and_placed_at_once() {
    let mut former = owner(2);
    former.call(Call::Submit(job(1)));
    let first = former.started_on(attempt(1, 1)).unwrap();

    let mut fixture = former.replace_owner(HORIZON);
    fixture.agent_appears(first, 1);
    fixture.inventory(first, Vec::new());
    assert_eq!(fixture.commands(attempt(1, 1)), [Command::Withdraw]);
    assert_eq!(fixture.started_on(attempt(1, 2)), None);
    fixture.report(first, attempt(1, 1), Report::Withdrawn);

    assert!(fixture.started_on(attempt(1, 2)).is_some());
}

/// Guards against a task that runs on two workers because a killed agent had
/// already sent the start to its worker, which the restarted agent cannot know.
#[test]
fn a_withdrawal_by_a_restarted_agent_counts_after_a_lease() {
    let mut former = owner(2);
    let first = former.run(job(1));

    let mut fixture = former.replace_owner(HORIZON);
    fixture.agent_appears(first, 2);
    fixture.inventory(first, Vec::new());
    fixture.report(first, attempt(1, 1), Report::Withdrawn);
    fixture.advance(LEASE);
    assert_eq!(fixture.started_on(attempt(1, 2)), None);
    fixture.advance(Millis(700));

    assert!(fixture.started_on(attempt(1, 2)).is_some());
}

/// Guards against a `Start` that arrives after the agent has restarted: the
/// attempt may have been granted before the restart.
#[test]
fn a_claim_by_a_restarted_agent_is_denied() {
    let mut fixture = owner(1);
    fixture.run(job(1));

    fixture.agent_appears(0, 2);
    let claimed = fixture.claim(0, attempt(1, 1));

    assert!(is_deny(claimed.as_ref()), "{claimed:?}");
    assert_eq!(fixture.started_on(attempt(1, 2)), None);
}

/// Guards against a former owner that acknowledges a newer owner's results, which
/// the agent would then drop.
#[test]
fn reports_on_attempts_that_are_not_known_stay_unanswered() {
    let mut fixture = owner(1);
    fixture.run(job(1));
    fixture.sent.clear();

    fixture.report(0, attempt(1, 2), completed("by a newer owner"));
    fixture.report(0, attempt(9, 1), completed("by a newer owner"));

    assert_eq!(fixture.sent, []);
}

/// Guards against a job that resumes twice, or not at all, after an eviction.
#[test]
fn an_evicted_job_resumes_exactly_once_from_its_newest_checkpoint() {
    let mut fixture = owner(2);
    let first = fixture.run(job(1));
    let evict = Event::Decision(Decision::Evict {
        slice: id::Slice(0),
        task: task(1),
    });

    fixture.report(
        first,
        attempt(1, 1),
        Report::Checkpointed {
            number: id::Checkpoint(3),
        },
    );
    fixture.step(evict);
    assert!(fixture.commands(attempt(1, 1)).contains(&Command::Evict));
    let stopped = Report::Stopped {
        checkpoint: Some(id::Checkpoint(4)),
    };
    fixture.report(first, attempt(1, 1), stopped.clone());
    fixture.report(first, attempt(1, 1), stopped);

    assert_eq!(fixture.starts().len(), 2);
    let resumed = fixture.commands(attempt(1, 2));
    let [Command::Start {
        work: Work::Batch { resume, .. },
        ..
    }] = resumed.as_slice()
    else {
        panic!("{resumed:?}");
    };
    assert_eq!(*resume, Some(id::Checkpoint(4)));
}

/// Guards against the checkpoint of an attempt that has already been replaced: the
/// job would resume from work that the newer attempt repeats.
#[test]
fn a_checkpoint_after_the_eviction_was_given_up_counts_only_if_current() {
    let mut fixture = owner(2);
    let first = fixture.run(job(1));
    fixture.step(Event::Decision(Decision::Evict {
        slice: id::Slice(0),
        task: task(1),
    }));
    let checkpoint = |number| Report::Checkpointed {
        number: id::Checkpoint(number),
    };

    // The eviction times out while renewals continue; the attempt is current.
    while fixture.now.0 < 1_000_000 + EVICT_TIMEOUT.0 + 5_000 {
        fixture.advance(Millis::from_secs(5));
        fixture.renew(first, attempt(1, 1));
    }
    fixture.report(first, attempt(1, 1), checkpoint(1));
    assert_eq!(
        fixture.owner.image().task(task(1)).unwrap().checkpoint,
        Some(id::Checkpoint(1))
    );
    // The agent stops answering and the task is placed again before the next
    // checkpoint arrives.
    fixture.advance(Millis::from_secs(17));
    assert!(fixture.started_on(attempt(1, 2)).is_some());
    fixture.report(first, attempt(1, 1), checkpoint(2));

    let kept = fixture.owner.image().task(task(1)).unwrap().checkpoint;
    assert_eq!(kept, Some(id::Checkpoint(1)));
}

/// Guards against a checkpoint record that is written after the record that
/// ended its attempt.
#[test]
fn the_image_ignores_records_of_attempts_that_are_not_current() {
    let mut fixture = owner(2);
    let first = fixture.run(job(1));
    fixture.report(first, attempt(1, 1), Report::Stopped { checkpoint: None });
    let before = fixture.owner.image().clone();

    let mut image = before.clone();
    image.apply(&Record::Checkpointed {
        attempt: attempt(1, 1),
        number: id::Checkpoint(9),
    });
    image.apply(&Record::Completed {
        attempt: attempt(1, 1),
        output: filbertbend_coordination::owner::Stored::Inline(output("late").into()),
    });

    assert!(image == before);
}

/// Guards against accepting the result of an attempt that was replaced.
#[test]
fn only_the_current_attempts_result_counts() {
    let mut fixture = owner(2);
    let first = fixture.run(job(1));
    fixture.report(first, attempt(1, 1), Report::Stopped { checkpoint: None });
    let second = fixture.started_on(attempt(1, 2)).unwrap();
    fixture.claim(second, attempt(1, 2));

    fixture.report(first, attempt(1, 1), completed("stale"));
    fixture.report(second, attempt(1, 2), completed("fresh"));

    let result = fixture.ask(Call::Result(job_id(1)));
    assert_eq!(result, Some(Answer::Outputs(vec![output("fresh")])));
}

/// Guards against a result that is lost because it was acknowledged before it was
/// durable.
#[test]
fn a_result_is_acknowledged_only_once_it_is_durable() {
    let mut fixture = owner(1);
    fixture.run(job(1));
    fixture.writes = Writes::Held;

    fixture.report(0, attempt(1, 1), completed("drawn"));
    let early = fixture.commands(attempt(1, 1)).contains(&Command::Ack);
    fixture.write();

    assert!(!early);
    assert!(fixture.commands(attempt(1, 1)).contains(&Command::Ack));
}

/// Guards against mass cancellations after which some jobs still start, or that
/// cost one write each.
#[test]
fn of_10000_cancelled_queued_jobs_none_starts_after_its_confirmation() {
    let mut fixture = owner(1);
    for number in 0..4 {
        fixture.run(job(number));
    }
    for number in 4..10_004 {
        fixture.call(Call::Submit(job(number)));
    }
    assert_eq!(fixture.planner.waiting_count(), 10_000);
    fixture.writes = Writes::Held;

    let cancels: Vec<_> = (4..10_004)
        .map(|number| fixture.call(Call::Cancel(job_id(number))))
        .collect();
    // Resources are freed while the cancellations are being written.
    fixture.report(0, attempt(0, 1), completed("done"));
    assert!(cancels.iter().all(|reply| fixture.answer(*reply).is_none()));
    assert!(fixture.held.iter().all(|(_, records)| records.len() <= 2));
    fixture.write();
    fixture.writes = Writes::AtOnce;
    fixture.advance(Millis::from_secs(2));

    let confirmed = Some(Answer::Outcome(Outcome::Cancelled));
    let answers = cancels.iter().map(|reply| fixture.answer(*reply));
    assert!(answers.into_iter().all(|answer| answer == confirmed));
    assert_eq!(fixture.starts().len(), 4);
}

/// Guards against a start whose placement record is being written when the job is
/// cancelled.
#[test]
fn a_cancellation_overtakes_a_placement_that_is_being_written() {
    let mut fixture = owner(1);
    fixture.writes = Writes::Held;
    fixture.call(Call::Submit(job(1)));
    let submitted = fixture.held.pop_front().unwrap();
    fixture.step(Event::Durable(submitted.0));
    assert_eq!(fixture.held.len(), 1, "the placement is being written");

    let cancel = fixture.call(Call::Cancel(job_id(1)));
    fixture.write();

    let confirmed = Some(Answer::Outcome(Outcome::Cancelled));
    assert_eq!(fixture.answer(cancel), confirmed);
    assert!(fixture.starts().is_empty());
}

/// Guards against placing a job on a planner decision made before its
/// cancellation.
#[test]
fn a_decision_that_arrives_after_the_cancellation_places_nothing() {
    let mut fixture = owner(0);
    fixture.call(Call::Submit(job(1)));
    fixture.writes = Writes::Held;
    fixture.call(Call::Cancel(job_id(1)));

    fixture.step(Event::Decision(Decision::Place {
        slice: id::Slice(0),
        task: task(1),
        worker: worker(0),
        incarnation: id::Incarnation(1),
        size: room(16, 32, 0),
    }));

    assert_eq!(fixture.held.len(), 1, "only the cancellation is written");
}

/// Guards against confirming a cancellation while the task still runs.
#[test]
fn a_running_job_is_confirmed_as_cancelled_only_when_it_has_stopped() {
    let mut fixture = owner(1);
    fixture.run(job(1));

    let cancel = fixture.call(Call::Cancel(job_id(1)));
    assert!(fixture.commands(attempt(1, 1)).contains(&Command::Cancel));
    assert_eq!(fixture.answer(cancel), None);
    fixture.report(0, attempt(1, 1), Report::Stopped { checkpoint: None });

    let confirmed = Some(Answer::Outcome(Outcome::Cancelled));
    assert_eq!(fixture.answer(cancel), confirmed);
    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against granting a task whose job was cancelled before its claim.
#[test]
fn a_claim_after_the_cancellation_is_denied() {
    let mut fixture = owner(1);
    fixture.call(Call::Submit(job(1)));

    fixture.call(Call::Cancel(job_id(1)));
    let claimed = fixture.claim(0, attempt(1, 1));

    assert!(is_deny(claimed.as_ref()), "{claimed:?}");
}

/// Guards against a refused task that is not placed again, or is placed under the
/// same attempt number, which the agent's tombstone would refuse.
#[test]
fn a_refused_attempt_is_followed_by_a_new_one() {
    let mut fixture = owner(2);
    fixture.call(Call::Submit(job(1)));
    let first = fixture.started_on(attempt(1, 1)).unwrap();

    let reason = Refusal::NoRoom;
    fixture.report(first, attempt(1, 1), Report::Refused { reason });

    assert_eq!(fixture.started_on(attempt(1, 2)), Some(1 - first));
}

/// Guards against starting a job after its deadline.
#[test]
fn a_job_that_has_not_started_by_its_deadline_never_starts() {
    let mut fixture = owner(0);
    let mut spec = job(1);
    spec.expires_at = Some(fixture.wall() + Millis::from_secs(3));
    fixture.call(Call::Submit(spec));

    fixture.advance(Millis::from_secs(4));
    fixture.agent_appears(0, 1);
    fixture.advance(Millis::from_secs(1));

    let expired = Outcome::Expired { ran: Ran::No };
    assert_eq!(
        fixture.ask(Call::Result(job_id(1))),
        Some(Answer::Outcome(expired))
    );
    assert!(fixture.starts().is_empty());
}

/// Guards against returning a truncated result as complete, and against writing
/// large results to the journal.
#[test]
fn a_large_result_is_stored_in_chunks_and_never_returned_truncated() {
    let mut fixture = owner(1);
    fixture.run(job(1));
    let mut large = output("");
    large.body = (0..1_200_000_u32).map(|byte| byte as u8).collect();

    let ended = Report::Ended(End::Completed(large.clone()));
    fixture.report(0, attempt(1, 1), ended);
    let whole = fixture.ask(Call::Result(job_id(1)));
    fixture.chunks[1].1.truncate(1000);
    let truncated = fixture.ask(Call::Result(job_id(1)));
    fixture.chunks.remove(1);
    let missing = fixture.ask(Call::Result(job_id(1)));

    assert!(whole == Some(Answer::Outputs(vec![large])));
    for answer in [truncated, missing] {
        let refused = matches!(answer, Some(Answer::Outcome(Outcome::Refused { .. })));
        assert!(refused, "a truncated result was returned");
    }
}

/// Guards against recording a result before its chunks are written.
#[test]
fn a_result_whose_chunks_failed_is_taken_from_the_agents_next_report() {
    let mut fixture = owner(1);
    fixture.run(job(1));
    let mut large = output("");
    large.body = vec![7; 600_000];
    let ended = Report::Ended(End::Completed(large.clone()));

    fixture.store_chunks = false;
    fixture.report(0, attempt(1, 1), ended.clone());
    assert!(!fixture.commands(attempt(1, 1)).contains(&Command::Ack));
    fixture.store_chunks = true;
    fixture.report(0, attempt(1, 1), ended);

    assert!(fixture.commands(attempt(1, 1)).contains(&Command::Ack));
    let result = fixture.ask(Call::Result(job_id(1)));
    assert!(result == Some(Answer::Outputs(vec![large])));
}

/// Guards against results that are never deleted, or deleted too early.
#[test]
fn results_are_kept_for_24_hours_and_their_chunks_deleted_after() {
    let mut fixture = owner(1);
    fixture.run(job(1));
    let mut large = output("");
    large.body = vec![7; 600_000];
    fixture.report(0, attempt(1, 1), Report::Ended(End::Completed(large)));

    fixture.now = fixture.now + RETENTION - Millis(200);
    fixture.advance(Millis(100));
    let kept = fixture.ask(Call::Status(job_id(1)));
    fixture.advance(Millis(200));
    let forgotten = fixture.ask(Call::Status(job_id(1)));

    assert!(matches!(kept, Some(Answer::Status(_))), "{kept:?}");
    assert_eq!(forgotten, Some(Answer::NotFound));
    assert_eq!(fixture.deleted.len(), 2);
}

/// Guards against calls that are never answered when the slice is lost, and
/// against refusing a submission that may have been written.
#[test]
fn calls_in_progress_are_answered_truthfully_when_the_slice_is_lost() {
    let mut fixture = owner(0);
    fixture.writes = Writes::Held;
    let sent = fixture.call(Call::Submit(job(1)));
    let queued = fixture.call(Call::Submit(job(2)));
    let (unknown, _) = fixture.held[0];
    let (not_written, _) = fixture.held[1];

    fixture.step(Event::OwnershipLost {
        not_written: vec![not_written],
        unknown: vec![unknown],
    });
    let after = fixture.ask(Call::Submit(job(3)));

    let unknown = Some(Answer::Outcome(Outcome::Unknown));
    let refused = Some(Answer::Outcome(Outcome::Refused {
        reason: Reason::NoOwner,
        retry_after_ms: Millis(1000),
    }));
    assert_eq!(fixture.answer(sent), unknown);
    assert_eq!(fixture.answer(queued), refused);
    assert_eq!(after, refused);
}

/// Guards against grants by an owner that has been replaced.
#[test]
fn an_owner_that_lost_its_slice_grants_nothing() {
    let mut fixture = owner(1);
    fixture.call(Call::Submit(job(1)));

    fixture.step(Event::OwnershipLost {
        not_written: Vec::new(),
        unknown: Vec::new(),
    });
    let claimed = fixture.claim(0, attempt(1, 1));

    assert_eq!(claimed, None);
}

/// Guards against a job that waits forever because no worker can hold it.
#[test]
fn a_job_larger_than_every_worker_is_refused() {
    let mut fixture = owner(2);
    fixture.advance(Millis::from_secs(6));
    let mut spec = job(1);
    spec.size = room(65, 1, 0);

    let answer = fixture.ask(Call::Submit(spec));

    let refused = Outcome::Refused {
        reason: Reason::TooLarge,
        retry_after_ms: Millis::ZERO,
    };
    assert_eq!(answer, Some(Answer::Outcome(refused)));
}

/// Guards against retrying a job forever that fails on every worker.
#[test]
fn a_job_that_fails_everywhere_is_parked_with_its_trials() {
    let mut fixture = owner(5);
    fixture.call(Call::Submit(job(1)));

    for number in 1..=3 {
        let place = fixture.started_on(attempt(1, number)).unwrap();
        fixture.claim(place, attempt(1, number));
        let failed = End::Failed("exit status 1".into());
        fixture.report(place, attempt(1, number), Report::Ended(failed));
        fixture.advance(Millis(1200));
    }

    let Some(Answer::Status(status)) = fixture.ask(Call::Status(job_id(1))) else {
        panic!("no status");
    };
    assert_eq!(status.phase, Phase::Failed);
    assert_eq!(status.reason, Some(Reason::Parked));
    assert_eq!(status.trials.len(), 3);
    let mut workers: Vec<_> = status.trials.iter().map(|trial| &trial.worker).collect();
    workers.dedup();
    assert_eq!(workers.len(), 3, "the trials were on different workers");
    assert_eq!(&*status.trials[0].state, "failed: exit status 1");
    assert_eq!(fixture.starts().len(), 3);
}

/// Guards against running a job twice after a repeated submission.
#[test]
fn a_repeated_submission_returns_the_same_job() {
    let mut fixture = owner(1);

    let first = fixture.ask(Call::Submit(job(1)));
    let second = fixture.ask(Call::Submit(job(1)));
    let mut other = job(1);
    other.body = b"other input".to_vec();
    let third = fixture.ask(Call::Submit(other));

    assert_eq!(first, Some(Answer::Accepted(job_id(1))));
    assert_eq!(second, first);
    assert_eq!(third, Some(Answer::Outcome(Outcome::Invalid)));
    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against losing state in a compaction.
#[test]
fn an_image_is_the_same_after_encoding_and_decoding_its_buckets() {
    let mut fixture = owner(2);
    for number in 0..40 {
        fixture.call(Call::Submit(job(number)));
    }
    fixture.claim(fixture.started_on(attempt(1, 1)).unwrap(), attempt(1, 1));
    let image = fixture.owner.image();

    let mut decoded = filbertbend_coordination::owner::Image::default();
    for bucket in 0..filbertbend_coordination::owner::BUCKETS {
        decoded
            .decode(bucket, &image.encode(bucket).unwrap())
            .unwrap();
    }

    assert!(decoded == *image);
}

/// Guards against a graceful hand-over after which the next owner still waits for
/// the whole ownership horizon.
#[test]
fn a_graceful_hand_over_shortens_the_wait_to_the_last_lease() {
    let mut former = owner(2);
    let first = former.run(job(1));
    let hold = former.owner.lease_remaining(former.now);
    assert_eq!(hold, Millis(15_500));

    let mut fixture = former.replace_owner(hold);
    fixture.agent_appears(1 - first, 1);
    fixture.advance(Millis(17_000));

    assert_eq!(fixture.started_on(attempt(1, 2)), Some(1 - first));
}
