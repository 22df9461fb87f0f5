//! Stops of runs that the worker does not have, and the room that they leave.

use {
    crate::{
        harness::{ends, snapshot, task, Harness},
        resized, start_of,
    },
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        agent::{Answer, Call, Event, Refusal, Snapshot},
        id::{Run, Sequence, Task},
        message::{Orders, StartStatus},
        worker::{End, Exit, Running},
    },
};

/// Creates an agent with a session, a lease and a worker of 8 cores.
fn with_cores() -> Harness {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(8)));
    harness
}

/// Orders a stop and returns the call to the worker, if there is one.
fn order_stop(harness: &mut Harness, task: Task) -> Option<Call> {
    harness.step(Event::Orders(Orders {
        stops: vec![(task, Run(1))],
        ..Orders::default()
    }));
    harness.take(|call| matches!(call, Call::Stop { .. }))
}

fn run_of(task: Task) -> Running {
    Running {
        task,
        ..crate::harness::row()
    }
}

/// Returns a list of nothing but the end of a run.
fn list_with_end(task: Task) -> Answer {
    Answer::Snapshot(Snapshot {
        started_ms: Some(1),
        clock: 50_000,
        running: Vec::new(),
        ends: vec![End {
            sequence: Sequence(1),
            task,
            run: Run(1),
            exit: Exit::Failed,
            checkpoint: None,
        }],
    })
}

/// Starts a task that ends at once, and reports its end.
fn start_that_ends(harness: &mut Harness, index: u16) -> Task {
    let start = start_of(index, 2);
    let task = start.task;
    let call = harness.order_start(start).expect("it fits");
    harness.answer(call, Answer::Done);
    harness.poll(list_with_end(task));
    task
}

/// Guards against a worker that starts nothing: the stop of a gang's member crosses
/// the report of its end.
#[test]
fn stop_of_a_run_that_has_ended_leaves_room_for_starts() {
    let mut harness = with_cores();
    let ended = start_that_ends(&mut harness, 0);

    assert!(order_stop(&mut harness, ended).is_some());

    assert!(harness.order_start(start_of(1, 8)).is_some());
}

/// Guards against a worker that starts nothing: a start was refused for want of room,
/// and the leader stops the other members of the gang before it knows.
#[test]
fn stop_of_a_start_that_was_refused_leaves_room_for_others() {
    let mut harness = with_cores();
    assert_eq!(harness.order_start(start_of(0, 9)), None);

    assert!(order_stop(&mut harness, start_of(0, 9).task).is_some());

    assert!(harness.order_start(start_of(1, 8)).is_some());
}

/// Guards against room that a start goes on taking although the worker has refused
/// it: the leader stops it before it knows.
#[test]
fn stop_of_a_start_that_the_worker_refused_leaves_room_for_others() {
    let mut harness = with_cores();
    let start = start_of(0, 2);
    let task = start.task;
    let call = harness.order_start(start).expect("it fits");
    harness.answer(call, Answer::Refused(Refusal::NoRoom));

    assert!(order_stop(&mut harness, task).is_some());

    assert!(harness.order_start(start_of(1, 8)).is_some());
}

/// Guards against a worker that starts nothing for as long as it does not answer
/// stops: that of a run which it does not have is repeated without end.
#[test]
fn unanswered_stop_of_a_run_that_has_ended_leaves_room_for_starts() {
    let mut harness = with_cores();
    let ended = start_that_ends(&mut harness, 0);
    let call = order_stop(&mut harness, ended).expect("the stop is sent");
    harness.answer(call, Answer::Lost);

    harness.pass(Millis(200));
    let repeated = harness.take(|call| matches!(call, Call::Stop { .. }));

    assert!(repeated.is_some(), "the stop is repeated");
    assert!(harness.order_start(start_of(1, 8)).is_some());
}

/// Guards against a worker that starts nothing while its list of ends is too long to
/// show whether a run was stopped.
#[test]
fn stop_leaves_room_for_starts_while_the_list_of_ends_is_incomplete() {
    let mut harness = with_cores();
    let call = order_stop(&mut harness, task()).expect("the stop is sent");
    harness.answer(call, Answer::Done);
    harness.poll(ends(1..=500));
    harness.outcomes();

    let start = harness.order_start(start_of(1, 8));

    assert!(start.is_some(), "{:?}", harness.outcomes());
}

/// Guards against starts that exceed a worker's room: a run of unknown size is being
/// stopped, but the worker still lists it.
#[test]
fn start_is_refused_beside_an_unknown_run_until_its_stop_is_listed() {
    let mut harness = with_cores();
    let unknown = start_of(0, 2).task;
    harness.pass(Millis(500));
    harness.poll(snapshot(1, vec![run_of(unknown)]));
    let call = order_stop(&mut harness, unknown).expect("the stop is sent");
    harness.answer(call, Answer::Done);

    assert_eq!(harness.order_start(start_of(1, 1)), None);
    assert_eq!(harness.outcomes()[0].status, StartStatus::NoRoom);
    harness.pass(Millis(500));
    harness.poll(list_with_end(unknown));

    assert!(harness.order_start(start_of(1, 8)).is_some());
}

/// Guards against starts that exceed a worker's room: a start whose answer was lost
/// may take effect until a list that was requested after its stop lacks it.
#[test]
fn start_without_answer_takes_room_until_its_stop_has_ruled_it_out() {
    let mut harness = with_cores();
    let lost = start_of(0, 2);
    let task = lost.task;
    let call = harness.order_start(lost).expect("it fits");
    harness.answer(call, Answer::Lost);
    let poll = harness.pending_poll();
    let sent = harness.now;
    let stop = order_stop(&mut harness, task).expect("the stop is sent");
    harness.answer(stop, Answer::Done);
    let answer = snapshot(1, Vec::new());
    harness.step(Event::Answered {
        call: poll,
        sent,
        answer,
    });

    assert_eq!(harness.order_start(start_of(1, 8)), None);
    harness.pass(Millis(500));
    harness.poll(snapshot(1, Vec::new()));

    assert!(harness.order_start(start_of(1, 8)).is_some());
}
