//! The sizes of the leader's messages.

mod support;

use {
    filbertbend_state::{
        room::Room,
        unit::{Cores, Millis},
    },
    filbertbend_workload::{
        id::{Run, Task},
        job,
        message::{Orders, Role, Start},
    },
    std::{collections::BTreeSet, sync::Arc},
    support::{job, step, task, Harness},
};

/// The largest frame of a link, in bytes.
const FRAME_LIMIT: usize = 4 << 20;
/// So many starts with the longest instructions take two frames.
const TASKS: u16 = 2000;

/// Creates a job of many small tasks with the longest instructions.
fn wide_job() -> job::Job {
    let mut wide = step(TASKS);
    wide.room = Room {
        cores: Cores(0),
        ..Room::NONE
    };
    let spec = "x".repeat(4000).into();
    job::Job {
        spec,
        ..(*job(vec![wide])).clone()
    }
}

/// Guards against a leader that never starts anything on a worker again: its starts
/// were sent in one message, which the link refused.
#[test]
fn starts_of_one_worker_are_sent_in_messages_that_a_link_accepts() {
    let mut harness = Harness::with_workers(1);

    harness.submit(1, Arc::new(wide_job()));

    let starts = harness.starts(0);
    let tasks: BTreeSet<_> = starts.iter().map(|start| start.task).collect();
    assert_eq!(tasks.len(), usize::from(TASKS));
    assert!(
        harness.largest_message <= FRAME_LIMIT,
        "{} bytes",
        harness.largest_message
    );
}

/// Guards against stops that overtake the starts of the same runs, and against leases
/// that wait for many starts to be sent.
#[test]
fn split_orders_keep_their_order() {
    let start = |index| Start {
        task: Task {
            index,
            ..task(1, 0, 0)
        },
        run: Run(1),
        spec: "x".repeat(4000).into(),
        checkpoint: None,
        role: Role::default(),
    };
    let starts: Vec<Start> = (0..TASKS).map(start).collect();
    let stops = vec![(starts[0].task, Run(1))];
    let lease = Some((7, Millis(6000)));

    let parts = Orders {
        starts: starts.clone(),
        stops: stops.clone(),
        lease,
        ..Orders::default()
    }
    .split();

    assert!(parts.len() > 1);
    let sent: Vec<Start> = parts.iter().flat_map(|part| part.starts.clone()).collect();
    assert_eq!(sent, starts);
    let (last, others) = parts.split_last().expect("several parts");
    assert_eq!(last.stops, stops);
    assert!(others.iter().all(|part| part.stops.is_empty()));
    assert_eq!(parts[0].lease, lease);
    assert!(parts[1..].iter().all(|part| part.lease.is_none()));
}
