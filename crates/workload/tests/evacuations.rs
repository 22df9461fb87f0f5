//! Evacuated data centres get no tasks, and what was started there goes on.

mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        id::{Epoch, Job, Link, Run, Task},
        message::{Inventory, Outcome, Report, Start, StartStatus},
        planner::{Decision, Event, Planner, Reason},
        record::{Progress, State},
        worker::{Exit, Profile, Running},
    },
    std::{collections::BTreeSet, sync::Arc},
    support::{
        catalog, incarnation, job, node, profile, progress, room, running, service, settings,
        single, step, two_queues, Harness, LESS_URGENT, QUEUE,
    },
};

const NEAR: &str = "xela";
const FAR: &str = "toto";

/// Opens a session with the agent of a worker in a data centre.
fn join(harness: &mut Harness, number: u64, data_centre: &str, running: Vec<Running>) {
    harness.step(Event::Opened(Link(number), node(number)));
    let report = Report {
        profile: Some(Profile {
            data_centre: data_centre.into(),
            ..profile(number)
        }),
        inventory: Some(Inventory {
            incarnation: incarnation(number),
            restarted: None,
            foreign_lease: None,
            running,
            crash: None,
        }),
        renew: Some(1),
        ..Report::default()
    };
    harness.report(number, report);
    harness.commit();
}

/// Creates a planner with one idle worker in each of these data centres.
fn with_workers(data_centres: &[&str]) -> Harness {
    let mut harness = Harness::with_workers(0);
    for (number, data_centre) in (0..).zip(data_centres) {
        join(&mut harness, number, data_centre, Vec::new());
    }
    harness
}

fn evacuate(harness: &mut Harness, data_centres: &[&str]) {
    let found: BTreeSet<Arc<str>> = data_centres.iter().map(|name| (*name).into()).collect();
    harness.step(Event::Evacuated(found));
}

fn refuse(harness: &mut Harness, number: u64, (task, run): (Task, Run)) {
    let outcome = Outcome {
        task,
        run,
        status: StartStatus::Withdrawn,
    };
    let report = Report {
        outcomes: vec![outcome],
        ..Report::default()
    };
    harness.report(number, report);
}

/// Lists the workers that were sent starts since the last call, one for each start.
fn started_on(harness: &mut Harness) -> Vec<u64> {
    let starts = harness.all_starts();
    starts.into_iter().map(|(number, _)| number).collect()
}

fn only(starts: Vec<Start>) -> Start {
    assert_eq!(starts.len(), 1, "one start");
    starts.into_iter().next().unwrap()
}

/// Returns how many workers are held after another second.
fn held(harness: &mut Harness) -> usize {
    harness.decisions.clear();
    harness.pass(Millis(1100), &[0, 1]);
    let backlogs = harness.decisions.iter().rev();
    let mut backlogs = backlogs.filter_map(|decision| match decision {
        Decision::Waiting(backlog) => Some(backlog.held_workers),
        _ => None,
    });
    backlogs.next().unwrap()
}

/// Guards against starts in a data centre whose evacuation was acknowledged, and
/// against workers that stay unused once it is over.
#[test]
fn evacuated_data_centre_gets_no_tasks_until_it_is_withdrawn() {
    let mut harness = with_workers(&[NEAR, FAR]);
    evacuate(&mut harness, &[NEAR]);

    harness.submit(1, job(vec![step(12)]));
    assert_eq!(started_on(&mut harness), [1; 8]);
    assert_eq!(harness.planner.size(), (1, 1), "jobs and usable workers");

    evacuate(&mut harness, &[]);
    harness.commit();
    assert_eq!(started_on(&mut harness), [0; 4]);
}

/// Guards against a second evacuation that replaces the first or hides its end, and
/// against a request that follows its withdrawal at once.
#[test]
fn evacuations_of_several_data_centres_overlap() {
    let mut harness = with_workers(&[NEAR, FAR, "sanmarcos"]);
    let mut id = 0;
    let mut placed = |harness: &mut Harness, evacuated: &[&str]| {
        id += 1;
        evacuate(harness, evacuated);
        let mut spread = step(3);
        spread.placement.most_per_worker = Some(1);
        harness.submit(id, job(vec![spread]));
        let used: BTreeSet<u64> = started_on(harness).into_iter().collect();
        harness.step(Event::Cancelled(Job(id)));
        used
    };

    assert_eq!(placed(&mut harness, &[NEAR, FAR]), [2].into());
    assert_eq!(placed(&mut harness, &[FAR, "nowhere"]), [0, 2].into());
    evacuate(&mut harness, &[]);
    assert_eq!(placed(&mut harness, &[FAR]), [0, 2].into());
    assert_eq!(placed(&mut harness, &[NEAR, FAR, "sanmarcos"]), [].into());
}

/// Guards against a start that is sent because it was placed before.
#[test]
fn unsent_start_is_withdrawn() {
    let mut harness = with_workers(&[NEAR]);
    harness.step(Event::Submitted(Job(1), job(vec![step(1)])));
    harness.place();
    assert_eq!(harness.batches.len(), 1, "placed");

    evacuate(&mut harness, &[NEAR]);
    let withdrawn = harness.decisions.iter().any(|decision| {
        matches!(decision, Decision::Stopped { reason, .. } if *reason == Reason::Evacuated)
    });
    assert!(withdrawn, "logged");
    harness.commit();
    join(&mut harness, 1, FAR, Vec::new());

    assert_eq!(started_on(&mut harness), [1]);
    assert_eq!(
        harness.stops(0),
        [],
        "nothing was sent that could be stopped"
    );
}

/// Guards against a start that waits at its agent when the evacuation comes, against
/// a second run before that is ruled out, and against an attempt that it costs.
#[test]
fn sent_start_is_ruled_out_and_its_task_placed_elsewhere() {
    let mut harness = with_workers(&[NEAR]);
    harness.submit(1, job(vec![step(1)]));
    let first = only(harness.starts(0));
    join(&mut harness, 1, FAR, Vec::new());

    evacuate(&mut harness, &[NEAR]);
    assert_eq!(harness.stops(0), [(first.task, first.run)]);
    harness.commit();
    assert_eq!(started_on(&mut harness), [], "not ruled out yet");

    refuse(&mut harness, 0, (first.task, first.run));
    harness.commit();
    let second = only(harness.starts(1));
    assert!(second.run > first.run);

    // One of the two attempts fails.
    harness.started(1, &second);
    harness.end(1, 1, &second, Exit::Failed);
    let batches = harness.commit();
    let found = progress(&batches, 1).unwrap();
    assert_eq!(found.state, State::Running, "no attempt is left");
}

/// Guards against an evacuation that stops what runs, in a session or without one:
/// then it is not known whether a start took effect.
#[test]
fn runs_in_an_evacuated_data_centre_go_on() {
    let mut harness = with_workers(&[NEAR, NEAR]);
    harness.submit(1, job(vec![step(2)]));
    let first = only(harness.starts(0));
    let second = only(harness.starts(1));
    harness.started(0, &first);
    harness.step(Event::Closed(Link(1)));

    evacuate(&mut harness, &[NEAR]);
    join(
        &mut harness,
        1,
        NEAR,
        vec![running(second.task, second.run)],
    );
    harness.commit();

    assert_eq!((harness.stops(0), harness.stops(1)), (vec![], vec![]));
}

/// Guards against members of a gang that wait in vain for one whose start was ruled
/// out.
#[test]
fn gang_with_a_withdrawn_member_moves_as_a_whole() {
    let mut harness = with_workers(&[NEAR, FAR]);
    let mut gang = step(2);
    gang.mode.gang = true;
    gang.placement.most_per_worker = Some(1);
    harness.submit(1, job(vec![gang]));
    let members = [only(harness.starts(0)), only(harness.starts(1))];
    harness.started(1, &members[1]);
    join(&mut harness, 2, FAR, Vec::new());

    evacuate(&mut harness, &[NEAR]);
    for (number, member) in (0..).zip(&members) {
        assert_eq!(harness.stops(number), [(member.task, member.run)]);
    }
    refuse(&mut harness, 0, (members[0].task, members[0].run));
    harness.end(1, 1, &members[1], Exit::Stopped);
    harness.commit();

    assert_eq!(started_on(&mut harness), [1, 2]);
}

/// Guards against a worker that is kept for a task that cannot start there.
#[test]
fn hold_in_an_evacuated_data_centre_is_given_up() {
    let mut harness = with_workers(&[NEAR]);
    harness.submit(1, job(vec![step(8)]));
    let starts = harness.starts(0);
    starts.iter().for_each(|start| harness.started(0, start));
    let mut large = service();
    large.room = room(8, 8);
    harness.submit(2, job(vec![large]));
    harness.pass(Millis(6000), &[0]);
    assert_eq!(held(&mut harness), 1);

    evacuate(&mut harness, &[NEAR]);

    assert_eq!(held(&mut harness), 0);
}

/// Guards against tasks that are stopped for room that no other may use.
#[test]
fn nothing_is_preempted_in_an_evacuated_data_centre() {
    let mut harness = with_workers(&[NEAR]);
    harness.step(Event::Configured(Arc::new(two_queues())));
    harness.submit(1, single(LESS_URGENT, room(8, 8)));
    let start = only(harness.starts(0));
    harness.started(0, &start);
    evacuate(&mut harness, &[NEAR]);

    harness.submit(2, single(QUEUE, room(8, 8)));
    let mut gang = step(1);
    gang.mode.gang = true;
    harness.submit(3, job(vec![gang]));
    harness.pass(Millis(1000), &[0]);

    assert_eq!(harness.stops(0), []);
}

/// Guards against a new leader that starts tasks before it knows of the evacuations
/// that its predecessor knew of.
#[test]
fn new_leader_places_nothing_until_evacuations_are_known() {
    let mut harness = Harness::new(2);
    harness.planner = Planner::new(settings(), Epoch(2), harness.now).awaiting_evacuations();
    harness.step(Event::Configured(Arc::new(catalog(0, 2))));
    let recovered = Event::Recovered(Job(1), job(vec![step(10)]), Progress::default());
    harness.step(recovered);
    harness.step(Event::Loaded);
    join(&mut harness, 0, NEAR, Vec::new());
    join(&mut harness, 1, FAR, Vec::new());
    harness.pass(Millis(1000), &[0, 1]);
    harness.commit();
    assert_eq!(started_on(&mut harness), []);

    evacuate(&mut harness, &[NEAR]);
    harness.commit();

    assert_eq!(started_on(&mut harness), [1; 8]);
}
