//! What an agent concludes from a restart of its worker, and what it must not.

use {
    crate::harness::{profile, row, snapshot, Harness, FENCE},
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        agent::{Answer, Call, Event, Refusal, Snapshot},
        id::{Epoch, Fence, Incarnation},
        message::Report,
        worker::Profile,
    },
};

fn list(started_ms: u64, clock: u64) -> Answer {
    Answer::Snapshot(Snapshot {
        started_ms: Some(started_ms),
        clock,
        running: vec![row()],
        ends: Vec::new(),
    })
}

fn stops(harness: &mut Harness) -> Vec<Call> {
    let is_stop = |call: &mut Call| matches!(call, Call::Stop { .. });
    harness.calls.extract_if(.., is_stop).collect()
}

fn foreign_lease(reports: &[Report]) -> Option<Millis> {
    let mut found = reports.iter().rev();
    found
        .find_map(|report| report.inventory.as_ref())
        .and_then(|inventory| inventory.foreign_lease)
}

/// Guards against runs that are stopped although their worker goes on: two
/// answers of the same millisecond overtake one another.
#[test]
fn answers_that_overtake_one_another_are_no_restart() {
    let mut harness = Harness::new();
    harness.pass(Millis(500));
    harness.poll(list(1, 50_500));
    harness.pass(Millis(600));
    harness.grant();
    harness.poll(list(1, 51_099));
    let poll = harness.pending_poll();
    let extension = harness.extensions.pop().expect("the lease is passed on");
    let sent = harness.now;
    let hellos = harness.hellos;

    // The extension is answered first and read last.
    harness.step(Event::Answered {
        call: poll,
        sent,
        answer: list(1, 51_101),
    });
    harness.step(Event::Answered {
        call: extension,
        sent,
        answer: list(1, 51_100),
    });

    assert_eq!(harness.hellos, hellos, "the session goes on");
}

/// Guards against runs that are stopped although their worker goes on: an agent
/// that has just started hears a delayed heartbeat of a former life first.
#[test]
fn delayed_heartbeat_of_a_former_life_stops_no_runs() {
    let mut harness = Harness::idle();
    harness.step(Event::Connected);
    harness.step(Event::Heartbeat(profile(1)));
    harness.step(Event::Welcome(Epoch(1), FENCE, None));
    let poll = harness.pending_poll();
    harness.answer(poll, Answer::Refused(Refusal::Restarted));

    harness.step(Event::Heartbeat(profile(2)));
    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.poll(list(2, 50_000));

    assert_eq!(stops(&mut harness), Vec::new());
    assert_eq!(foreign_lease(&harness.reports), None);
}

/// Guards against runs that are stopped although their worker goes on: an agent
/// that has just started hears a heartbeat of another writer first.
#[test]
fn heartbeat_of_another_writer_stops_no_runs() {
    let mut harness = Harness::idle();
    let other = Profile {
        incarnation: Incarnation {
            worker: "w-1".into(),
            started_ms: 0,
        },
        ..profile(1)
    };
    harness.step(Event::Connected);
    harness.step(Event::Heartbeat(other));
    harness.step(Event::Welcome(Epoch(1), FENCE, None));
    let poll = harness.pending_poll();
    harness.answer(poll, Answer::Refused(Refusal::Restarted));

    harness.step(Event::Heartbeat(profile(2)));
    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.poll(list(2, 50_000));

    assert_eq!(stops(&mut harness), Vec::new());
}

/// Guards against a run that keeps a foreign lease: the session ends before its
/// stop has been answered, and the next one does not repeat it.
#[test]
fn stray_runs_are_stopped_in_the_next_session_too() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(profile(2)));
    let question = harness.take(|call| matches!(call, Call::Identify { .. }));
    harness.answer(question.expect("the worker is asked"), list(2, 50));
    harness.calls.clear();
    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.poll(list(2, 100));
    let stop = stops(&mut harness).pop().expect("the run is stopped");

    // The leader is replaced while the worker does not answer.
    harness.step(Event::Disconnected);
    harness.answer(stop, Answer::Lost);
    harness.calls.clear();
    harness.step(Event::Connected);
    harness.step(Event::Welcome(Epoch(2), Fence(9), None));
    harness.poll(list(2, 300));
    harness.pass(Millis(1000));

    assert_eq!(stops(&mut harness).len(), 1);
}

/// Guards against a task that is blamed for a crash although its start was not
/// sent: another life had answered.
#[test]
fn start_that_was_not_sent_is_not_blamed_for_a_crash() {
    let mut harness = Harness::new();
    let start = harness.order();

    harness.answer(start, Answer::Refused(Refusal::Restarted));
    harness.step(Event::Heartbeat(profile(2)));
    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.calls.retain(|call| {
        matches!(
            call,
            Call::Poll {
                fence: Fence(8),
                ..
            }
        )
    });
    harness.poll(snapshot(2, Vec::new()));

    let mut reports = harness.reports.iter().rev();
    let inventory = reports.find_map(|report| report.inventory.as_ref());
    let crash = inventory.and_then(|inventory| inventory.crash.as_ref());
    assert_eq!(crash, None);
}

/// Guards against a worker that holds a foreign lease and gets tasks: a start of a
/// former life that is refused as superseded, by a stop that is carried out late
/// too, extends the lease and leaves nothing in the first list.
#[test]
fn start_without_an_answer_is_a_sign_of_a_foreign_lease() {
    let mut harness = Harness::new();
    let start = harness.order();
    harness.answer(start, Answer::Lost);
    harness.step(Event::Heartbeat(profile(2)));
    let question = harness.take(|call| matches!(call, Call::Identify { .. }));
    harness.answer(
        question.expect("the worker is asked"),
        snapshot(2, Vec::new()),
    );
    harness.calls.clear();
    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.poll(snapshot(2, Vec::new()));

    assert!(foreign_lease(&harness.reports).is_some());
}
