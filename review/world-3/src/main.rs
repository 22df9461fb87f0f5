//! Plays one case against the project's programs: `world-3 CASE FOLDER`.
//!
//! `TROUBLE=0` plays it without the disruption. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod deployment;
mod http;
mod json;
mod record;
mod runner;
mod store;

use deployment::Deployment;
use record::Record;
use runner::Unanswered;
use std::{
    env, fs,
    net::SocketAddr,
    panic,
    path::{Path, PathBuf},
    process,
    sync::{atomic::AtomicUsize, Arc},
    thread,
    time::{Duration, Instant},
};
use store::Mood;

/// Whether the rule was broken, or why the case could not run.
type Verdict = Result<bool, &'static str>;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: world-3 CASE FOLDER");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let scratch = env::temp_dir().join(format!("world-3-{}", process::id()));
    if fs::create_dir_all(&scratch).is_err() {
        process::exit(2);
    }
    let play = || match case.as_str() {
        "crashes" => crashes(&scratch, record.clone(), has_trouble),
        "cancelled" => cancelled(&scratch, record.clone(), has_trouble),
        "late-start" => late_start(&scratch, record.clone(), has_trouble),
        "foreign-heartbeat" => foreign_heartbeat(&scratch, record.clone(), has_trouble),
        _ => Err("unknown case"),
    };
    let played = panic::catch_unwind(panic::AssertUnwindSafe(play));
    let verdict = played.unwrap_or(Err("the case could not be set up"));
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&scratch);
    } else {
        eprintln!("logs in {}", scratch.display());
    }
    let (text, code) = match verdict {
        Ok(true) => ("the rule was broken", 1),
        Ok(false) => ("the rule held", 0),
        Err(reason) => (reason, 2),
    };
    record.line(format!("verdict: {text}"));
    println!("{text}");
    process::exit(code);
}

const JOB: &str = "5c0e7a21d94b36f8";

/// A runner crashes again and again while a job that only it may run has begun
/// there, and is sound afterwards.
fn crashes(folder: &Path, record: Record, has_trouble: bool) -> Verdict {
    let common = ["a", "r1-1"];
    let labels = [
        ["b", "r1-1"],
        common,
        common,
        common,
        common,
        common,
        common,
        common,
    ];
    let world = Deployment::start(folder, record, 2, &labels);
    let body = r#"{"spec":"ms=3000","steps":[{"count":1,"cpu":2000,"mem_mb":256,"est_ms":3000,"required_label":"b"}]}"#;
    if !world.submit(JOB, body, Duration::from_secs(20)) {
        return Err("the job was not accepted");
    }
    let runner = &world.runners[0];
    for crash in 0..if has_trouble { CRASHES } else { 0 } {
        let starts = |world: &Deployment| {
            world
                .events(JOB)
                .iter()
                .filter(|event| event.what == "start")
                .count()
        };
        if !world.wait(Duration::from_secs(8), |world| starts(world) > crash) {
            break;
        }
        thread::sleep(UP_AFTER_START);
        runner.crash();
        thread::sleep(DOWN);
        runner.start();
    }
    // The runner is sound from here on, and the job takes 3 s.
    let is_over = |world: &Deployment| {
        world
            .state(JOB)
            .is_some_and(|state| state != "running" && state != "queued")
    };
    let until = Instant::now() + Duration::from_secs(20);
    while !is_over(&world) && Instant::now() < until {
        thread::sleep(Duration::from_millis(500));
    }
    let state = world.state(JOB).ok_or("no entry answered")?;
    let events = world.events(JOB);
    let count = |what: &str| events.iter().filter(|event| event.what == what).count();
    world.record.line(format!(
        "the job is shown as {state}; runs of its task: {} started, {} cut off by crashes, {} failed, {} done; attempts: 3",
        count("start"), count("crash"), count("failed"), count("done")
    ));
    Ok(state == "failed" && count("failed") < 3)
}

/// How often the runner crashes.
const CRASHES: usize = 5;
/// How long a task has run when its runner crashes.
const UP_AFTER_START: Duration = Duration::from_millis(600);
/// How long the runner is down.
const DOWN: Duration = Duration::from_millis(1000);

/// A job that lasts is cancelled while the store's answer to its submission is
/// lost, and the write is carried out after the store has turned the entry away
/// that acknowledged the cancellation.
fn cancelled(folder: &Path, record: Record, has_trouble: bool) -> Verdict {
    let labels = [["a", "r1-1"]; 4];
    let world = Deployment::start(folder, record, 3, &labels);
    let first = r#"{"spec":"ms=500","steps":[{"count":1,"cpu":1000,"mem_mb":256,"est_ms":500}]}"#;
    if !world.submit("00000000000000aa", first, Duration::from_secs(20)) {
        return Err("the first job was not accepted");
    }
    thread::sleep(Duration::from_secs(4));
    // The entry that leads tries a submission once; another one would try it again
    // through the leader.
    let leader = world.store.leader();
    let is_leader = |address: &SocketAddr| Some(*address) == leader;
    let Some(first_entry) = world.store_addresses.iter().position(is_leader) else {
        return Err("no entry leads");
    };
    let (other, entry) = ((first_entry + 1) % 3, (first_entry + 2) % 3);
    let late = Mood {
        late: has_trouble.then_some(LATE),
        ..Mood::default()
    };
    for address in &world.store_addresses {
        world.store.set_mood(*address, late);
    }
    let body = r#"{"spec":"","steps":[{"count":1,"cpu":1000,"mem_mb":256,"est_ms":0,"long_running":true}]}"#;
    world.store.count_writes();
    // Other clients hand jobs in meanwhile, so that few of all writes get no answer.
    let submitted = thread::scope(|scope| {
        scope.spawn(|| {
            for number in 0..16 {
                world.call(other, "POST", &format!("{:016x}", 0xb0 + number), first);
                thread::sleep(Duration::from_millis(100));
            }
        });
        thread::sleep(Duration::from_secs(1));
        world.call(first_entry, "POST", JOB, body)
    });
    for address in &world.store_addresses {
        world.store.set_mood(*address, Mood::default());
    }
    let (writes, unanswered) = world.store.writes();
    world.record.line(format!(
        "store: {unanswered} of {writes} writes got no answer"
    ));
    if f64::from(unanswered) > MOST_UNANSWERED * f64::from(writes) {
        return Err("too many writes got no answer");
    }
    // The client gives the job up. The outcome of its submission is unknown.
    let Some((200..=299 | 410, _)) = world.call(entry, "DELETE", JOB, "") else {
        return Err("the cancellation was not acknowledged");
    };
    let acknowledged = world.record.time();
    if has_trouble {
        let address = world.store_addresses[entry];
        world.record.line(format!(
            "store: turns entry {entry} away, and takes its keys away"
        ));
        world.store.set_mood(
            address,
            Mood {
                busy: true,
                late: None,
            },
        );
        world.store.revoke(address);
        thread::sleep(AWAY);
        world.store.set_mood(address, Mood::default());
        world
            .record
            .line(format!("store: serves entry {entry} again"));
    }
    thread::sleep(Duration::from_secs(14));
    let state = world.state(JOB).unwrap_or_default();
    let now = world.record.time();
    let mut running = None;
    for event in world.events(JOB) {
        running = (event.what == "start").then_some(event.at);
    }
    world.record.line(format!(
        "submission: {:?}; cancelled at {acknowledged:.3}; job shown as {state}; {}",
        submitted.map(|(status, _)| status),
        running.map_or("nothing runs".into(), |at| format!(
            "its task started at {at:.3} and runs at {now:.3}"
        ))
    ));
    Ok(running.is_some())
}

/// After which time the store carries out a write without an answer.
const LATE: Duration = Duration::from_secs(6);
/// The largest share of writes that get no answer.
const MOST_UNANSWERED: f64 = 0.35;
/// How long the store turns one entry away.
const AWAY: Duration = Duration::from_secs(2);

/// A start gets no answer and is ruled out; the next run of the task ends `done`,
/// and the job is complete. The runner crashes, starts again under its id, and
/// carries the start out.
fn late_start(folder: &Path, record: Record, has_trouble: bool) -> Verdict {
    let world = Deployment::start(folder, record, 2, &[["a", "r1-1"]; 8]);
    let first = r#"{"spec":"ms=500","steps":[{"count":1,"cpu":1000,"mem_mb":256,"est_ms":500}]}"#;
    if !world.submit("00000000000000aa", first, Duration::from_secs(20)) {
        return Err("the first job was not accepted");
    }
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    if has_trouble {
        let starts = Unanswered {
            job: JOB,
            left: Arc::new(AtomicUsize::new(1)),
            carried_out: began + LATE_START,
        };
        for runner in &world.runners {
            runner.leave_unanswered(starts.clone());
        }
    }
    let body = r#"{"spec":"ms=800","steps":[{"count":1,"cpu":4000,"mem_mb":256,"est_ms":800}]}"#;
    if !world.submit(JOB, body, Duration::from_secs(20)) {
        return Err("the job was not accepted");
    }
    thread::sleep(CRASH.saturating_sub(began.elapsed()));
    if world.state(JOB).as_deref() != Some("complete") {
        return Err("the job is not complete in time");
    }
    if has_trouble {
        let Some(runner) = world.runners.iter().find(|runner| runner.has_unanswered()) else {
            return Err("no start was left unanswered");
        };
        runner.crash();
        thread::sleep(START_AGAIN.saturating_sub(began.elapsed()));
        runner.start_again(FIRST_HEARTBEAT);
    }
    thread::sleep(Duration::from_secs(12).saturating_sub(began.elapsed()));
    let mut running: Vec<(String, u64)> = Vec::new();
    let (mut is_noted, mut is_twice) = (false, false);
    for event in world.events(JOB) {
        match event.what.as_str() {
            "start" => {
                is_twice |= is_noted || !running.is_empty();
                running.push((event.runner, event.run));
            }
            // Only the first end is taken note of before the crash.
            "taken note of" => is_noted = true,
            _ => running.retain(|run| *run != (event.runner.clone(), event.run)),
        }
    }
    world.record.line(format!(
        "an end was taken note of: {is_noted}; the task was started again after that: {is_twice}"
    ));
    if !is_noted {
        return Err("no end was taken note of");
    }
    Ok(is_twice)
}

/// When the start without an answer is carried out.
const LATE_START: Duration = Duration::from_millis(7700);
/// When the runner crashes, and when it starts again.
const CRASH: Duration = Duration::from_millis(4500);
const START_AGAIN: Duration = Duration::from_millis(7500);
/// When the first heartbeat follows: within the interval of heartbeats.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(1400);

/// A runner drains. Later, heartbeats of another writer that lack fields say that
/// it is ready, and jobs come.
fn foreign_heartbeat(folder: &Path, record: Record, has_trouble: bool) -> Verdict {
    let world = Deployment::start(folder, record, 2, &[["a", "r1-1"]; 8]);
    let submit = |number: u64| {
        let body =
            r#"{"spec":"ms=500","steps":[{"count":24,"cpu":4000,"mem_mb":256,"est_ms":500}]}"#;
        world.submit(&format!("{number:016x}"), body, Duration::from_secs(20))
    };
    if !submit(0xa0) {
        return Err("the first job was not accepted");
    }
    thread::sleep(Duration::from_secs(3));
    let runner = &world.runners[0];
    runner.drain();
    if !world.wait(Duration::from_secs(5), |_| {
        runner.drain_acknowledged().is_some()
    }) {
        return Err("the draining was not acknowledged");
    }
    thread::sleep(Duration::from_secs(4));
    for number in 0..8 {
        if has_trouble {
            runner.send_foreign_heartbeat();
        }
        if !submit(0xb0 + number) {
            return Err("a job was not accepted");
        }
        thread::sleep(Duration::from_millis(1000));
    }
    let acknowledged = runner.drain_acknowledged().unwrap_or_default();
    let history = world.history.lock().unwrap();
    let late = history.iter().filter(|event| {
        event.runner == runner.place.name && event.what == "start" && event.at > acknowledged + 2.0
    });
    let late = late.count();
    world.record.line(format!(
        "draining was acknowledged at {acknowledged:.3}; starts over drain_ms (2 s) later: {late}"
    ));
    Ok(late > 0)
}
