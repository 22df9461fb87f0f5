//! Tests of the placement planner: no worker is overcommitted, quotas hold, and
//! lent capacity is reclaimed.

mod support;

use {
    filbertbend_coordination::placement::{Agent, Liveness, Planner, Request},
    filbertbend_state::{
        id,
        outcome::Reason,
        room::Room,
        service::Class,
        time::Instant,
        unit::{Millis, Slots},
    },
    std::collections::BTreeMap,
    support::{
        agent, attempt, declaration, evictions, job, job_id, name, owner, places, planner, room,
        settings, snapshot, task, worker,
    },
};

const NOW: Instant = Instant(1_000_000);

fn request(number: u64, size: Room) -> Request {
    Request {
        slice: id::Slice(0),
        task: task(number),
        service: name("layout"),
        team: name("drawing"),
        class: Class::Batch,
        size,
        run_time: Millis::from_secs(60),
        data_centres: Vec::new(),
        avoid: Vec::new(),
        since: NOW,
    }
}

fn of_team(team: &str, request: Request) -> Request {
    Request {
        team: name(team),
        service: name(&format!("{team}-jobs")),
        ..request
    }
}

/// Returns a planner with two teams whose quotas are one whole worker each.
fn two_teams(workers: usize) -> Planner {
    let mut planner = planner(NOW, workers);
    planner.configure(&snapshot(vec![
        declaration("cot-jobs", "cot", room(64, 250, 0)),
        declaration("linen-jobs", "linen", room(64, 250, 0)),
    ]));
    planner
}

fn decide(
    planner: &mut Planner,
    now: Instant,
) -> Vec<filbertbend_coordination::placement::Decision> {
    let mut decisions = Vec::new();
    planner.decide(now, usize::MAX, &mut decisions);
    decisions
}

/// Guards against placing more on a worker than its capacity.
#[test]
fn no_worker_is_given_more_than_its_room() {
    let mut planner = planner(NOW, 5);
    for number in 0..200 {
        let size = room(1 + number % 13, 1 + (number * 7) % 40, 0);
        planner.enqueue(NOW, request(number, size));
    }

    let placed = places(&decide(&mut planner, NOW));

    let mut used: BTreeMap<id::Worker, Room> = BTreeMap::new();
    for (task, worker) in &placed {
        let number = task.job.0 .0 as u64;
        let size = room(1 + number % 13, 1 + (number * 7) % 40, 0);
        *used.entry(worker.clone()).or_default() += size;
    }
    assert_eq!(used.len(), 5);
    for (worker, used) in used {
        assert!(room(64, 250, 0).fits(&used), "{worker} is given {used}");
    }
    assert!(placed.len() < 200);
}

/// Guards against a heartbeat from before the newest placements that makes their
/// resources look free again.
#[test]
fn a_heartbeat_does_not_free_resources_reserved_since_it_was_sent() {
    let mut planner = planner(NOW, 1);
    planner.enqueue(NOW, request(1, room(60, 60, 0)));
    assert_eq!(places(&decide(&mut planner, NOW)).len(), 1);

    planner.record_heartbeat(&worker(0), room(64, 250, 0), Slots(0), false);
    planner.enqueue(NOW, request(2, room(8, 8, 0)));
    let before = places(&decide(&mut planner, NOW));
    // Once the agent has reserved the resources, heartbeats account for them.
    planner.record_claim(NOW, task(1));
    planner.record_heartbeat(&worker(0), room(4, 190, 0), Slots(0), false);
    let after = places(&decide(&mut planner, NOW));

    assert!(before.is_empty());
    assert!(after.is_empty());
    assert_eq!(planner.free(&worker(0)), Some(room(4, 190, 0)));
}

/// Guards against tasks that keep waiting after resources are released.
#[test]
fn a_waiting_task_is_placed_when_resources_are_released() {
    let mut planner = planner(NOW, 1);
    planner.enqueue(NOW, request(1, room(60, 60, 0)));
    planner.enqueue(NOW, request(2, room(60, 60, 0)));
    decide(&mut planner, NOW);
    assert_eq!(planner.waiting_reason(task(2)), Some(Reason::QuotaExceeded));

    planner.release(task(1));

    let placed = places(&decide(&mut planner, NOW));
    assert_eq!(placed, [(task(2), worker(0))]);
}

/// Guards against placing work on an agent that will not start it.
#[test]
fn suspect_leaving_down_and_drained_workers_get_no_new_work() {
    for state in [Liveness::Suspect, Liveness::Leaving, Liveness::Down] {
        let mut planner = planner(NOW, 1);
        planner.set_liveness(&worker(0), state);
        planner.enqueue(NOW, request(1, room(1, 1, 0)));
        assert!(decide(&mut planner, NOW).is_empty(), "{state:?}");

        planner.set_liveness(&worker(0), Liveness::Up);
        assert_eq!(decide(&mut planner, NOW).len(), 1, "{state:?}");
    }
    let mut planner = planner(NOW, 1);
    let mut drained = snapshot(Vec::new());
    drained.drains = vec![name("endpoint-0")];
    planner.configure(&drained);
    planner.enqueue(NOW, request(1, room(1, 1, 0)));

    assert!(decide(&mut planner, NOW).is_empty());
}

/// Guards against small tasks that fragment the capacity of empty workers.
#[test]
fn a_task_is_placed_on_the_worker_that_fits_best() {
    let mut planner = planner(NOW, 3);
    planner.record_heartbeat(&worker(1), room(8, 40, 0), Slots(0), false);

    planner.enqueue(NOW, request(1, room(8, 32, 0)));

    let placed = places(&decide(&mut planner, NOW));
    assert_eq!(placed, [(task(1), worker(1))]);
}

/// Guards against tasks that occupy workers with accelerators without using
/// those.
#[test]
fn a_task_without_accelerators_is_kept_away_from_them() {
    let mut planner = planner(NOW, 0);
    for number in 0..2 {
        let mut agent = agent(number);
        agent.room.accelerators.0 = 4 * (1 - number as u32);
        planner.register_agent(NOW, agent);
    }

    planner.enqueue(NOW, request(1, room(8, 32, 0)));
    planner.enqueue(NOW, request(2, room(8, 32, 2)));

    let mut placed = places(&decide(&mut planner, NOW));
    placed.sort();
    assert_eq!(placed, [(task(1), worker(1)), (task(2), worker(0))]);
}

/// Guards against a rack failure that hits all tasks of a job at once.
#[test]
fn the_tasks_of_a_job_are_spread_over_racks() {
    let mut planner = planner(NOW, 9);
    for index in 0..3 {
        let mut request = request(1, room(8, 32, 0));
        request.task.index = index;
        planner.enqueue(NOW, request);
    }

    let placed = places(&decide(&mut planner, NOW));

    let rack = |worker: &id::Worker| {
        let number: usize = worker.as_str()["worker-".len()..].parse().unwrap();
        number / 3
    };
    let mut racks: Vec<usize> = placed.iter().map(|(_, worker)| rack(worker)).collect();
    racks.sort_unstable();
    assert_eq!(racks, [0, 1, 2]);
}

/// Returns a planner with one worker in the local data centre and one in
/// another.
fn two_data_centres() -> Planner {
    let mut planner = planner(NOW, 1);
    planner.register_agent(
        NOW,
        Agent {
            data_centre: name("toto"),
            ..agent(1)
        },
    );
    planner
}

/// Guards against traffic between data centres that saves no time, and against a
/// task that keeps waiting for local capacity that is not released.
#[test]
fn another_data_centre_is_used_only_if_it_starts_the_task_sooner_by_its_cost() {
    let mut planner = two_data_centres();
    let mut first = request(1, room(60, 60, 0));
    first.run_time = Millis(1000);
    planner.enqueue(NOW, first);
    decide(&mut planner, NOW);

    planner.enqueue(NOW, request(2, room(60, 60, 0)));
    let soon = decide(&mut planner, NOW);
    let late = places(&decide(&mut planner, NOW + Millis(2000)));

    assert!(soon.is_empty(), "local capacity is expected in time");
    assert_eq!(late, [(task(2), worker(1))]);
}

/// Guards against waiting for local capacity that is not expected in time.
#[test]
fn another_data_centre_is_used_at_once_if_no_local_capacity_is_expected() {
    let mut planner = two_data_centres();
    planner.enqueue(NOW, request(1, room(60, 60, 0)));
    planner.enqueue(NOW, request(2, room(60, 60, 0)));

    let placed = places(&decide(&mut planner, NOW));

    assert_eq!(placed, [(task(1), worker(0)), (task(2), worker(1))]);
}

/// Guards against placing work outside the data centres that its service
/// declares.
#[test]
fn a_task_stays_within_its_data_centres() {
    let mut planner = two_data_centres();
    let mut restricted = request(1, room(8, 8, 0));
    restricted.data_centres = vec![name("toto")];
    let mut unplaceable = request(2, room(8, 8, 0));
    unplaceable.data_centres = vec![name("poneke")];
    planner.enqueue(NOW, restricted);
    planner.enqueue(NOW, unplaceable);

    let placed = places(&decide(&mut planner, NOW));

    assert_eq!(placed, [(task(1), worker(1))]);
}

/// Guards against capacity that is idle while tasks wait.
#[test]
fn idle_capacity_is_lent_beyond_the_quota() {
    let mut planner = two_teams(2);
    for number in 0..8 {
        planner.enqueue(NOW, of_team("cot", request(number, room(16, 60, 0))));
    }

    let placed = places(&decide(&mut planner, NOW));

    assert_eq!(placed.len(), 8);
}

/// Guards against a borrower that keeps capacity from a team below its quota, and
/// against evicting a task that loses more work than another.
#[test]
fn lent_capacity_is_reclaimed_by_evicting_the_task_that_loses_least() {
    let mut planner = two_teams(2);
    for number in 0..8 {
        planner.enqueue(NOW, of_team("cot", request(number, room(16, 60, 0))));
    }
    decide(&mut planner, NOW);
    let later = NOW + Millis::from_secs(60);
    planner.record_checkpoint(later - Millis(100), task(5));

    planner.enqueue(later, of_team("linen", request(20, room(16, 60, 0))));
    let decided = decide(&mut planner, later);
    assert_eq!(evictions(&decided), [task(5)]);
    assert!(evictions(&decide(&mut planner, later)).is_empty(), "once");
    planner.release(task(5));
    planner.enqueue(later, of_team("cot", request(5, room(16, 60, 0))));

    let placed = places(&decide(&mut planner, later));
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].0, task(20));
}

/// Guards against evictions beyond the quota, by which two teams would evict each
/// other without end.
#[test]
fn a_team_at_its_quota_evicts_no_task() {
    let mut planner = two_teams(3);
    for number in 0..8 {
        planner.enqueue(NOW, of_team("cot", request(number, room(16, 60, 0))));
    }
    for number in 10..14 {
        planner.enqueue(NOW, of_team("linen", request(number, room(16, 60, 0))));
    }
    assert_eq!(places(&decide(&mut planner, NOW)).len(), 12, "cot borrows");

    planner.enqueue(NOW, of_team("linen", request(20, room(16, 60, 0))));
    let decided = decide(&mut planner, NOW);

    assert!(decided.is_empty(), "{decided:?}");
    assert_eq!(
        planner.waiting_reason(task(20)),
        Some(Reason::QuotaExceeded)
    );
}

/// Guards against a large task within the quota that waits because no single
/// eviction frees enough resources.
#[test]
fn several_tasks_of_one_worker_are_evicted_for_a_large_one() {
    let mut planner = two_teams(2);
    for number in 0..8 {
        planner.enqueue(NOW, of_team("cot", request(number, room(16, 60, 0))));
    }
    let before = places(&decide(&mut planner, NOW));

    planner.enqueue(NOW, of_team("linen", request(20, room(32, 120, 0))));
    let evicted = evictions(&decide(&mut planner, NOW));

    assert_eq!(evicted.len(), 2);
    let placement_of = |task: &id::Task| before.iter().find(|(found, _)| found == task).unwrap();
    assert_eq!(placement_of(&evicted[0]).1, placement_of(&evicted[1]).1);
}

/// Guards against urgent work that waits behind its own team's batch work.
#[test]
fn urgent_work_is_first_and_evicts_batch_work() {
    let mut planner = planner(NOW, 1);
    for number in 0..5 {
        planner.enqueue(NOW, request(number, room(16, 60, 0)));
    }
    decide(&mut planner, NOW);

    let urgent = Request {
        class: Class::Urgent,
        ..request(20, room(16, 60, 0))
    };
    planner.enqueue(NOW, urgent);
    let evicted = evictions(&decide(&mut planner, NOW));
    assert_eq!(evicted.len(), 1);
    planner.release(evicted[0]);

    let placed = places(&decide(&mut planner, NOW));
    assert_eq!(placed, [(task(20), worker(0))]);
}

/// Guards against evicting urgent work for other work.
#[test]
fn urgent_work_is_not_evicted() {
    let mut planner = two_teams(1);
    for number in 0..4 {
        let urgent = Request {
            class: Class::Urgent,
            ..request(number, room(16, 60, 0))
        };
        planner.enqueue(NOW, of_team("other", urgent));
    }
    decide(&mut planner, NOW);

    planner.enqueue(NOW, of_team("linen", request(20, room(16, 60, 0))));

    assert!(decide(&mut planner, NOW).is_empty());
}

/// Guards against a failed eviction that blocks every later one.
#[test]
fn another_task_is_evicted_after_an_eviction_failed() {
    let mut planner = two_teams(2);
    for number in 0..8 {
        planner.enqueue(NOW, of_team("cot", request(number, room(16, 60, 0))));
    }
    decide(&mut planner, NOW);
    planner.enqueue(NOW, of_team("linen", request(20, room(16, 60, 0))));
    let first = evictions(&decide(&mut planner, NOW));

    planner.record_eviction_failure(first[0]);
    planner.record_heartbeat(&worker(0), Room::NONE, Slots(0), false);
    let again = evictions(&decide(&mut planner, NOW + Millis::from_secs(1)));

    assert_eq!(again.len(), 1);
}

/// Guards against starving a team by the number of other teams' tasks.
#[test]
fn teams_below_their_quota_go_before_borrowers() {
    let mut planner = two_teams(1);
    for number in 0..100 {
        planner.enqueue(NOW, of_team("cot", request(number, room(16, 60, 0))));
    }
    for number in 100..102 {
        planner.enqueue(NOW, of_team("linen", request(number, room(16, 60, 0))));
    }

    let placed = places(&decide(&mut planner, NOW));

    let linen = placed.iter().filter(|(task, _)| task.job >= job_id(100));
    assert_eq!(linen.count(), 2);
    assert_eq!(placed.len(), 4);
}

/// Guards against declared sizes that are far too large or too small.
#[test]
fn declared_sizes_are_corrected_by_observed_peaks() {
    let mut planner = planner(NOW, 1);
    let declared = room(8, 64, 1);
    let service: id::Service = name("layout");
    assert_eq!(planner.corrected_size(&service, &declared), declared);

    for _ in 0..20 {
        planner.record_peak(&service, room(2, 100, 0));
    }
    let corrected = planner.corrected_size(&service, &declared);

    assert!(corrected.cores.0 >= 2000 && corrected.cores.0 <= 2700);
    assert!(corrected.memory.0 >= 100 << 30 && corrected.memory.0 <= 125 << 30);
    assert_eq!(corrected.accelerators, declared.accelerators);
}

/// Guards against a few low observations that make a task's reservation too
/// small.
#[test]
fn a_few_low_observations_do_not_shrink_a_declared_size() {
    let mut planner = planner(NOW, 1);
    let declared = room(8, 64, 0);
    let service: id::Service = name("layout");

    for _ in 0..3 {
        planner.record_peak(&service, room(1, 1, 0));
    }

    assert_eq!(planner.corrected_size(&service, &declared), declared);
}

/// Guards against placing a task of a job that was cancelled.
#[test]
fn a_dequeued_task_is_not_placed() {
    let mut planner = planner(NOW, 1);
    planner.enqueue(NOW, request(1, room(1, 1, 0)));

    planner.dequeue(task(1));

    assert!(decide(&mut planner, NOW).is_empty());
    assert_eq!(planner.waiting_count(), 0);
}

/// Guards against several entries that each give out a quota in full.
#[test]
fn a_quota_is_divided_by_the_slices_owned() {
    let mut planner = Planner::new(filbertbend_coordination::placement::Settings {
        slices_owned: 8,
        slices: 16,
        ..settings()
    });
    planner.register_agent(NOW, agent(0));
    planner.configure(&snapshot(vec![declaration(
        "linen-jobs",
        "linen",
        room(64, 250, 0),
    )]));
    for number in 0..4 {
        planner.enqueue(NOW, of_team("cot", request(number, room(16, 60, 0))));
    }
    decide(&mut planner, NOW);
    for number in 10..14 {
        planner.enqueue(NOW, of_team("linen", request(number, room(16, 60, 0))));
    }

    let evicted = evictions(&decide(&mut planner, NOW));

    assert_eq!(evicted.len(), 2, "half of the quota is two tasks");
}

/// Guards against resources that stay reserved when the planner places a task
/// that the owner has ended.
#[test]
fn a_placement_for_a_job_that_has_ended_releases_its_resources() {
    let mut fixture = owner(1);
    fixture.writes = support::Writes::Held;
    fixture.call(filbertbend_coordination::job::Call::Submit(job(1)));
    fixture.write();
    fixture.call(filbertbend_coordination::job::Call::Cancel(job_id(1)));
    fixture.write();

    assert_eq!(fixture.planner.free(&worker(0)), Some(room(64, 250, 0)));
    assert!(!fixture
        .commands(attempt(1, 1))
        .iter()
        .any(|command| support::is_grant(Some(command))));
}
