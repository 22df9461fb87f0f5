//! The cases.

use {
    crate::{
        deployment::{limit_time, Deployment},
        store::Mode,
        world::{Job, Past, Step},
    },
    std::{
        collections::BTreeSet,
        thread,
        time::{Duration, Instant},
    },
};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn pause(time: f64) {
    thread::sleep(seconds(time));
}

/// Runs a case; returns the exit status.
pub fn run(name: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case: fn(&mut Deployment, bool) = match name {
        "crash-loop" => crash_loop,
        "gang-spread" => gang_spread,
        "gang-grey" => gang_grey,
        "withdrawal" => withdrawal,
        "hopeless-gang" => hopeless_gang,
        "late-start" => late_start,
        "many-steps" => many_steps,
        "soak" => return crate::soak::run(),
        _ => {
            eprintln!("no such case: {name}");
            return 2;
        }
    };
    let print = std::env::var("PRINT").is_ok();
    // Ten runners of one service, like the users' small deployments; the last one is
    // the only one of its kind.
    let names: Vec<String> = (1..=10).map(|number| format!("side-{number}")).collect();
    let racks: Vec<String> = (0..10)
        .map(|index| format!("r1-{}", 1 + index / 3))
        .collect();
    let labels: Vec<[&str; 2]> = (0..10)
        .map(|index| [if index == 9 { "b" } else { "a" }, racks[index].as_str()])
        .collect();
    let sides: Vec<(&str, u64, &[&str])> = (0..10)
        .map(|index| (names[index].as_str(), 16_000, &labels[index][..]))
        .collect();
    limit_time(seconds(105.0));
    let mut deployment = Deployment::new(&["front-1", "front-2"], &sides, 2, print);
    deployment.start_all();
    deployment
        .world
        .note(&format!("case {name}, trouble {trouble}"));
    case(&mut deployment, trouble);
    let broken = deployment.world.broken();
    deployment.world.note(&format!(
        "result: {}",
        if broken.is_empty() { "held" } else { "broken" }
    ));
    let record = deployment.world.record();
    deployment.end();
    if let Ok(path) = std::env::var("RECORD") {
        if std::fs::write(&path, record).is_err() {
            eprintln!("cannot write {path}");
            return 2;
        }
    }
    for text in &broken {
        println!("broken: {text}");
    }
    i32::from(!broken.is_empty())
}

/// A runner goes down and up by turns; a standing task and a batch task need it.
fn crash_loop(own: &mut Deployment, trouble: bool) {
    let label = Some("b".to_owned());
    let standing = Job {
        steps: vec![Step {
            count: 1,
            cpu: 1000,
            long_running: true,
            label: label.clone(),
            ..Step::default()
        }],
        attempts: 2,
        ..Job::default()
    };
    let batch = Job {
        steps: vec![Step {
            count: 1,
            cpu: 1000,
            work_ms: 2700,
            label,
            ..Step::default()
        }],
        attempts: 2,
        ..Job::default()
    };
    own.submit("front-1", "urgent", "00000000000000a1", &standing);
    pause(3.0);
    own.submit("front-1", "batch", "00000000000000b1", &batch);
    pause(0.5);
    if trouble {
        // Down and up six times within 6.6 s.
        for round in 0..6 {
            if round > 0 {
                pause(0.6);
            }
            own.world.crash("side-10");
            pause(0.6);
            own.world.up("side-10");
        }
    }
    // From here on the runner stays up.
    own.world.note("the runner stays up");
    pause(20.0);
    for (queue, id) in [
        ("urgent", "00000000000000a1"),
        ("batch", "00000000000000b1"),
    ] {
        let state = own.state("front-2", queue, id);
        let runs = own.world.runs_of(id);
        let failed = runs
            .iter()
            .filter(|(_, run)| run.ended.is_some_and(|(_, how)| how == "failed"))
            .count();
        if state == "failed" && failed == 0 {
            own.world.break_rule(format!(
                "LOST {id}: shown as failed although none of its {} runs has ended failed",
                runs.len()
            ));
        }
        if queue == "urgent" && runs.iter().all(|(_, run)| run.ended.is_some()) {
            own.world.break_rule(format!(
                "LOST {id}: its task lasts and has not run for over 6 s on a sound runner"
            ));
        }
    }
}

/// A gang of ten with at most one task on a runner, when one runner of ten is lost.
fn gang_spread(own: &mut Deployment, trouble: bool) {
    let gang = Job {
        steps: vec![Step {
            count: 10,
            cpu: 2000,
            gang: true,
            max_per_server: 1,
            work_ms: 1500,
            ..Step::default()
        }],
        attempts: 2,
        ..Job::default()
    };
    if trouble {
        own.world.crash("side-5");
        own.world.note("the runner on side-5 is lost for good");
    }
    pause(8.0);
    own.submit("front-1", "urgent", "00000000000000c1", &gang);
    pause(8.0);
    own.state("front-2", "urgent", "00000000000000c1");
}

/// A gang meets a runner that fails all that it starts.
fn gang_grey(own: &mut Deployment, trouble: bool) {
    let gang = Job {
        steps: vec![Step {
            count: 20,
            cpu: 4000,
            gang: true,
            work_ms: 1500,
            ..Step::default()
        }],
        attempts: 2,
        ..Job::default()
    };
    if trouble {
        own.world.set_grey("side-4", true);
    }
    own.submit("front-1", "urgent", "00000000000000d1", &gang);
    let state = own.await_state(
        "front-2",
        "urgent",
        "00000000000000d1",
        &["complete", "failed"],
        seconds(20.0),
    );
    let runs = own.world.runs_of("00000000000000d1");
    if trouble {
        own.world.set_grey("side-4", false);
    }
    let mut numbers: Vec<u64> = runs
        .iter()
        .filter(|(_, run)| run.ended.is_some_and(|(_, how)| how == "failed"))
        .map(|(_, run)| run.run)
        .collect();
    numbers.dedup();
    numbers.sort_unstable();
    numbers.dedup();
    if state == "failed" && numbers.len() < 2 {
        own.world.break_rule(format!(
            "LOST: shown as failed after the gang has failed {} times, attempts 2",
            numbers.len()
        ));
    }
}

/// A client leaves and cancels a job whose submission is still on its way to the
/// store; then the store is down for a moment, and its leases run out.
fn withdrawal(own: &mut Deployment, trouble: bool) {
    let id = "00000000000000e1";
    let job = Job {
        steps: vec![Step {
            count: 2,
            cpu: 1000,
            work_ms: 1500,
            ..Step::default()
        }],
        attempts: 2,
        ..Job::default()
    };
    let leader = own.leader().unwrap_or_else(|| "front-1".to_owned());
    let entry = own.other_entry(&leader);
    own.world.add_job(id, job.clone());
    if trouble {
        own.store.delay_next(&entry, seconds(5.8));
    }
    own.call_within(
        &entry,
        "POST",
        &format!("/urgent/{id}"),
        &job.body(),
        seconds(0.3),
    );
    let answer = own.call(&leader, "DELETE", &format!("/urgent/{id}"), "");
    if !matches!(answer, Some((200..=299 | 410, _))) {
        own.world.note("the cancellation is not acknowledged");
        return;
    }
    own.world.cancelled(id);
    pause(0.7);
    if trouble && std::env::var("TROUBLE").as_deref() != Ok("late") {
        own.world.note("the store is down, and leases run out");
        own.store.set_all(Mode::Busy);
        own.store.expire_all();
        pause(1.0);
        own.store.set_all(Mode::Serve);
        own.world.note("the store is back");
    }
    pause(9.0);
    let late = *own.store.late_status.lock().unwrap();
    own.world
        .note(&format!("the late write was answered with {late:?}"));
    own.state(&leader, "urgent", id);
}

/// A gang that can never be done fails while others wait for its room.
fn hopeless_gang(own: &mut Deployment, trouble: bool) {
    let gang = |cpu: u64, hopeless: bool| Job {
        steps: vec![Step {
            count: 32,
            cpu,
            gang: true,
            work_ms: 1000,
            hopeless,
            ..Step::default()
        }],
        attempts: 2,
        ..Job::default()
    };
    let plain = |count: u64| Job {
        steps: vec![Step {
            count,
            cpu: 200,
            work_ms: 1500,
            ..Step::default()
        }],
        attempts: 2,
        ..Job::default()
    };
    // One job of 31 in this queue can never be done.
    for index in 0..28 {
        own.submit(
            "front-2",
            "batch",
            &format!("00000000000003{index:02}"),
            &plain(1),
        );
    }
    pause(3.0);
    let standing = Job {
        steps: vec![Step {
            count: 8,
            cpu: 2000,
            long_running: true,
            ..Step::default()
        }],
        attempts: 2,
        ..Job::default()
    };
    own.submit("front-1", "urgent", "00000000000000a1", &standing);
    // The first gang uses 128 of 160 cores, and the standing tasks 16. Each of the
    // other gangs needs 25.6, and waits.
    let gangs = ["00000000000000f1", "00000000000000f2", "00000000000000f3"];
    own.submit("front-1", "batch", gangs[0], &gang(4000, trouble));
    pause(0.2);
    for id in &gangs[1..] {
        own.submit("front-1", "batch", id, &gang(800, false));
    }
    // The entries have a quarter of a core, as a quota: a process that has used it up
    // does not run for the rest of a tenth of a second. Here the leader does not run
    // for 75 ms around the moment at which a run of the first gang ends or fails.
    let leader = own.leader().unwrap_or_else(|| "front-1".to_owned());
    let begun = Instant::now();
    let mut paused = BTreeSet::new();
    while begun.elapsed() < seconds(8.0) {
        pause(0.002);
        let runs = own.world.runs_of(gangs[0]);
        let Some(last) = runs.iter().map(|(_, run)| run.run).max() else {
            continue;
        };
        let last_runs: Vec<_> = runs.iter().filter(|(_, run)| run.run == last).collect();
        let since = last_runs.iter().map(|(_, run)| run.began).max();
        let time = if trouble { 0.46 } else { 0.96 };
        let is_due = since.is_some_and(|since| since.elapsed() >= seconds(time));
        if last_runs.len() == 32 && is_due && paused.insert(last) {
            own.pause(&leader);
            pause(0.075);
            own.resume(&leader);
        }
    }
    let plains: Vec<String> = (0..12)
        .map(|index| format!("00000000000002{index:02}"))
        .collect();
    let size = 4;
    for id in &plains {
        own.submit("front-1", "urgent", id, &plain(size));
    }
    // `finish_s` after the last job was handed in.
    pause(14.0);
    own.world.note("the jobs are looked at");
    // All of them fit twice over at once.
    let mut watched: Vec<(&str, u64, u64)> =
        plains.iter().map(|id| (id.as_str(), size, 200)).collect();
    watched.extend(gangs[1..].iter().map(|id| (*id, 32, 800)));
    let longest = longest_idle(own, &watched);
    own.state("front-2", "batch", gangs[0]);
    own.state("front-2", "urgent", "00000000000000a1");
    for (index, ((id, ..), longest)) in watched.iter().zip(longest).enumerate() {
        let queue = if index < plains.len() {
            "urgent"
        } else {
            "batch"
        };
        let state = own.state("front-2", queue, id);
        if longest >= 3.0 {
            own.world.break_rule(format!(
                "LOST {id}: shown as {state}, nothing of it has run for {longest:.1} s"
            ));
        }
    }
}

/// Returns for how long each of these jobs has nothing running on end, within 6 s. Each
/// has a number of tasks to be done of a number of millicores. Only times count in which
/// they fit twice over and under half of the capacity is in use.
fn longest_idle(own: &Deployment, jobs: &[(&str, u64, u64)]) -> Vec<f64> {
    let mut idle_since = vec![None; jobs.len()];
    let mut longest = vec![0.0; jobs.len()];
    for _ in 0..600 {
        pause(0.01);
        let (is_half_free, _) = own.world.room(1);
        for (index, (id, tasks, cpu)) in jobs.iter().enumerate() {
            let (_, fitting) = own.world.room(*cpu);
            let has_room = is_half_free && fitting >= 2 * (*tasks).min(32);
            let runs = own.world.runs_of(id);
            let is_running = runs.iter().any(|(_, run)| run.ended.is_none());
            let is_done = |run: &Past| run.ended.is_some_and(|(_, how)| how == "done");
            let done = runs.iter().filter(|(_, run)| is_done(run)).count() as u64;
            if is_running || done >= *tasks || !has_room {
                idle_since[index] = None;
                continue;
            }
            let since = *idle_since[index].get_or_insert_with(Instant::now);
            longest[index] = f64::max(longest[index], since.elapsed().as_secs_f64());
        }
    }
    longest
}

/// A runner leaves a start unanswered, and its next life, under the same id, carries it
/// out late. Meanwhile the task has been started elsewhere.
fn late_start(own: &mut Deployment, trouble: bool) {
    let id = "00000000000000c1";
    let job = Job {
        steps: vec![Step {
            count: 1,
            cpu: 1000,
            work_ms: 12_000,
            ..Step::default()
        }],
        attempts: 2,
        ..Job::default()
    };
    let names: Vec<String> = (1..=10).map(|number| format!("side-{number}")).collect();
    if trouble {
        for name in &names {
            own.world.set_late(name, true);
        }
    }
    own.submit("front-1", "urgent", id, &job);
    let mut holder = None;
    if trouble {
        let begun = Instant::now();
        while holder.is_none() && begun.elapsed() < seconds(3.0) {
            pause(0.005);
            holder = names.iter().find(|name| own.world.has_held(name)).cloned();
        }
        // The one order is all that gets no answer.
        for name in &names {
            own.world.set_late(name, false);
        }
    }
    let is_running = |own: &Deployment| {
        let runs = own.world.runs_of(id);
        runs.iter().any(|(_, run)| run.ended.is_none())
    };
    own.until(seconds(5.0), is_running);
    pause(2.0);
    if let Some(holder) = holder {
        own.world.crash(&holder);
        pause(1.0);
        own.world.up_again(&holder);
        own.world.release_late(&holder);
    }
    pause(6.0);
    own.await_state(
        "front-2",
        "urgent",
        id,
        &["complete", "failed"],
        seconds(20.0),
    );
}

/// One job of many small steps is handed in, then ordinary ones.
fn many_steps(own: &mut Deployment, trouble: bool) {
    let job = |steps: usize| Job {
        steps: vec![
            Step {
                count: 1,
                cpu: 100,
                work_ms: 100,
                ..Step::default()
            };
            steps
        ],
        attempts: 2,
        ..Job::default()
    };
    let large = job(if trouble { 4_000 } else { 4 });
    own.world.note(&format!(
        "the body of the large job has {} bytes",
        large.body().len()
    ));
    own.submit("front-1", "batch", "0000000000000600", &large);
    let plains: Vec<String> = (0..3)
        .map(|index| format!("00000000000007{index:02}"))
        .collect();
    let accepted: Vec<&String> = plains
        .iter()
        .filter(|id| own.submit("front-1", "urgent", id, &job(1)))
        .collect();
    // `finish_s` after the last job was handed in.
    pause(14.0);
    own.world.note("the jobs are looked at");
    let mut watched: Vec<(&str, u64, u64)> =
        accepted.iter().map(|id| (id.as_str(), 1, 100)).collect();
    watched.push(("0000000000000600", large.steps.len() as u64, 100));
    let longest = longest_idle(own, &watched);
    for (index, ((id, ..), longest)) in watched.iter().zip(longest).enumerate() {
        let queue = if index < accepted.len() {
            "urgent"
        } else {
            "batch"
        };
        let states = ["front-1", "front-2"].map(|entry| own.state(entry, queue, id));
        if longest >= 3.0 {
            own.world.break_rule(format!(
                "LOST {id}: accepted, its states are {states:?}, nothing of it has run for {longest:.1} s"
            ));
        }
    }
    for name in ["front-1", "front-2"] {
        own.world
            .note(&format!("{name} peak {} MB", own.peak_memory_mb(name)));
    }
}
