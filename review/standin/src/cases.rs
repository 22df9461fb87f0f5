//! The cases. Each returns whether its rule was broken, or `None` if it could
//! not run.

use {
    crate::{
        deployment::{job, Deployment, Plan, Route},
        record::Record,
        store::{written, Fate},
    },
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn route(prefix: &'static str, priority: u64, attempts: u64) -> Route {
    Route {
        prefix,
        priority,
        attempts,
    }
}

/// Plans the seven runners of most cases: one of them is a share of 0.143.
fn seven() -> Vec<Plan> {
    (0..7).map(|_| Plan::new(32_000, 128_000)).collect()
}

/// The store carries out a submission late, after the client was told that
/// there is no such job to cancel.
pub fn late_store(record: Record, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(record.clone(), 2, seven(), vec![route("/lohu930/", 0, 2)]);
    let id = "5c0e7a21d94b36f8";
    let lost = AtomicBool::new(false);
    if trouble {
        deployment.store.judge(move |body| {
            let is_job = written(body).contains(id);
            if is_job && !lost.swap(true, Ordering::SeqCst) {
                return Fate::Late(MS(5500));
            }
            Fate::Normal
        });
    }
    let body = job(
        "work 1000",
        "\"count\":2,\"cpu\":500,\"mem_mb\":256,\"est_ms\":1000",
    );
    deployment.submit(0, id, &body, false);
    thread::sleep(MS(200));
    let cancelled = deployment.cancel(0, 0, id);
    let cancelled_ms = record.ms();
    deployment.state(0, 1, id);
    thread::sleep(MS(12_000));
    deployment.state(0, 1, id);
    if !matches!(cancelled, Some(200 | 410)) {
        return None;
    }
    let late: Vec<_> = deployment
        .world
        .facts()
        .into_iter()
        .filter(|fact| fact.task.starts_with(id) && fact.begun_ms > cancelled_ms + 3000)
        .collect();
    record.line(&format!(
        "cancelling answered {cancelled:?} at {cancelled_ms} ms; {} starts more than 3,000 ms later",
        late.len()
    ));
    Some(!late.is_empty())
}

/// A proxy that holds back what arrives while it is cut and forwards it when it
/// is released, in order.
struct Delay {
    cut: AtomicBool,
    released: AtomicBool,
    turn: Mutex<()>,
}

fn delay_proxy(delay: &Arc<Delay>, control: SocketAddr, listen: SocketAddr) {
    let listener = TcpListener::bind(listen).expect("proxy");
    let delay = delay.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let held = delay.cut.load(Ordering::SeqCst);
            let delay = delay.clone();
            thread::spawn(move || {
                let _ = forward(stream, control, held, &delay);
            });
            // Keeps the order of what is held back.
            thread::sleep(MS(5));
        }
    });
}

fn forward(
    mut stream: TcpStream,
    control: SocketAddr,
    held: bool,
    delay: &Delay,
) -> std::io::Result<()> {
    stream.set_read_timeout(Some(MS(300)))?;
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => request.extend_from_slice(&buffer[..count]),
        }
        if request.ends_with(b"}") {
            break;
        }
    }
    if held {
        while !delay.released.load(Ordering::SeqCst) {
            thread::sleep(MS(2));
        }
        let number = |bytes: &[u8]| {
            let text = String::from_utf8_lossy(bytes).into_owned();
            let after = text.split("\"seq\":").nth(1).unwrap_or("0").to_owned();
            let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().unwrap_or(0)
        };
        thread::sleep(MS(40 * number(&request)));
    }
    let _turn = delay.turn.lock().unwrap();
    let mut target = TcpStream::connect(control)?;
    target.write_all(&request)?;
    target.set_read_timeout(Some(MS(900)))?;
    let count = target.read(&mut buffer)?;
    // The runner may have closed its side long ago.
    stream.write_all(&buffer[..count])
}

/// Heartbeats that were held back by a cut arrive after the runner has reported
/// that it drains.
pub fn late_heartbeats(record: Record, trouble: bool) -> Option<bool> {
    let delay = Arc::new(Delay {
        cut: AtomicBool::new(false),
        released: AtomicBool::new(false),
        turn: Mutex::new(()),
    });
    let proxied = delay.clone();
    let first = Plan {
        proxy: Some(Box::new(move |control, listen| {
            delay_proxy(&proxied, control, listen);
        })),
        ..Plan::new(32_000, 128_000)
    };
    let mut plans = seven();
    plans[0] = first;
    let deployment = Deployment::start(record.clone(), 2, plans, vec![route("/lohu930/", 0, 2)]);
    let runner = &deployment.runners[0];
    let stop = Arc::new(AtomicBool::new(false));
    let mut acked_ms = 0;
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let step = "\"count\":4,\"cpu\":1000,\"mem_mb\":512,\"est_ms\":400";
                let id = format!("5c0e7a21d94b{number:04x}");
                deployment.submit(0, &id, &job("work 400", step), true);
                thread::sleep(MS(250));
            }
        });
        thread::sleep(MS(2000));
        if trouble {
            record.line("proxy: cut, holds back the heartbeats of runner-1");
            delay.cut.store(true, Ordering::SeqCst);
        }
        thread::sleep(MS(4000));
        record.line("proxy: healed");
        delay.cut.store(false, Ordering::SeqCst);
        thread::sleep(MS(4500));
        record.line("runner-1: drains");
        runner.draining.store(true, Ordering::SeqCst);
        let begun = Instant::now();
        while acked_ms == 0 && begun.elapsed() < MS(4000) {
            acked_ms = runner.draining_acked_ms.load(Ordering::SeqCst);
            thread::sleep(MS(5));
        }
        while record.ms() < acked_ms + 2200 {
            thread::sleep(MS(5));
        }
        record.line("proxy: what was held back arrives");
        delay.released.store(true, Ordering::SeqCst);
        thread::sleep(MS(5000));
        stop.store(true, Ordering::SeqCst);
    });
    if acked_ms == 0 {
        return None;
    }
    let late: Vec<u64> = deployment
        .world
        .facts()
        .iter()
        .filter(|fact| fact.runner == "runner-1" && fact.begun_ms > acked_ms + 2000)
        .map(|fact| fact.begun_ms - acked_ms)
        .collect();
    record.line(&format!(
        "draining acknowledged at {acked_ms} ms; {} tasks started on runner-1 more than 2,000 ms later, after {late:?} ms",
        late.len()
    ));
    Some(!late.is_empty())
}

/// A large job of many small tasks comes, then an ordinary one.
pub fn wide_step(record: Record, trouble: bool) -> Option<bool> {
    let plans = vec![Plan::new(32_000, 128_000)];
    let routes = vec![route("/lohu930/", 0, 2), route("/pufi791/", 2, 3)];
    let deployment = Deployment::start(record.clone(), 2, plans, routes);
    let spec = format!("bulk 500 {}", "x".repeat(3980));
    let tasks = if trouble { 1100 } else { 36 };
    let step = format!("\"count\":{tasks},\"cpu\":14,\"mem_mb\":32,\"est_ms\":500");
    let (large, small) = ("5c0e7a21d94b36f8", "3c0e7a21d94b36f1");
    let first = deployment.submit(1, large, &job(&spec, &step), true);
    thread::sleep(MS(2000));
    let step = "\"count\":1,\"cpu\":500,\"mem_mb\":256,\"est_ms\":500";
    let second = deployment.submit(0, small, &job("work 500", step), true);
    if (first, second) != (Some(200), Some(200)) {
        return None;
    }
    // The traffic has ended: `finish_s` later the jobs are asked for, and watched
    // for 3 s.
    thread::sleep(MS(14_000));
    let from = record.ms();
    let mut idle = [true, true];
    while record.ms() < from + 3000 {
        for (index, (queue, id)) in [(1, large), (0, small)].into_iter().enumerate() {
            let (_, state) = deployment.state(queue, 0, id);
            let facts = deployment.world.facts();
            let mut of_job = facts.iter().filter(|fact| fact.task.starts_with(id));
            let ended = ["complete", "failed", "cancelled"].contains(&state.as_str());
            idle[index] &= !ended && !of_job.any(|fact| fact.ended.is_none());
        }
        let facts = deployment.world.facts();
        if facts.iter().any(|fact| fact.ended.is_none()) {
            // The runner is not idle, so this is not judged.
            idle = [false, false];
        }
        thread::sleep(MS(200));
    }
    deployment.excerpt("link to the leader lost");
    let facts = deployment.world.facts();
    let starts = |id: &str| {
        facts
            .iter()
            .filter(|fact| fact.task.starts_with(id))
            .count()
    };
    record.line(&format!(
        "from {from} ms on, for 3 s with an idle runner: the job of {tasks} tasks waits: {}, {} starts so far; the job of 1 task waits: {}, {} starts so far",
        idle[0],
        starts(large),
        idle[1],
        starts(small)
    ));
    Some(idle[0] || idle[1])
}

/// The leader is killed while jobs of small tasks come; what has come by the time
/// that another leads is started at once.
pub fn backlog(record: Record, trouble: bool) -> Option<bool> {
    let plans = vec![Plan::new(32_000, 128_000)];
    let mut deployment =
        Deployment::start(record.clone(), 2, plans, vec![route("/lohu930/", 0, 2)]);
    let spec = format!("bulk 400 {}", "x".repeat(3980));
    let step = "\"count\":36,\"cpu\":25,\"mem_mb\":64,\"est_ms\":400";
    let body = job(&spec, &format!("{step}}},{{{step}"));
    let accepted = Mutex::new(Vec::new());
    let traffic = |deployment: &Deployment, from: u64, count: u64| {
        thread::scope(|scope| {
            for number in from..from + count {
                let (body, accepted) = (&body, &accepted);
                scope.spawn(move || {
                    let id = format!("5c0e7a21d94b{number:04x}");
                    if deployment.submit(0, &id, body, true) == Some(200) {
                        accepted.lock().unwrap().push(id);
                    }
                });
                thread::sleep(MS(100));
            }
        });
    };
    traffic(&deployment, 0, 32);
    if trouble {
        deployment.kill_leader();
    }
    traffic(&deployment, 32, 16);
    deployment.restart_entries();
    traffic(&deployment, 48, 48);
    record.line("the traffic has ended");
    // `finish_s` after its end the jobs are asked for, and watched for 3 s.
    thread::sleep(MS(14_000));
    let accepted = accepted.into_inner().unwrap();
    let from = record.ms();
    let mut waiting = accepted.clone();
    while record.ms() < from + 3000 {
        let facts = deployment.world.facts();
        if facts.iter().any(|fact| fact.ended.is_none()) {
            // The runner is not idle, so this is not judged.
            waiting.clear();
        }
        thread::sleep(MS(100));
    }
    waiting.retain(|id| {
        let (_, state) = deployment.state(0, 0, id);
        state == "queued" || state == "running"
    });
    deployment.excerpt("\"leading\"");
    deployment.excerpt("link to the leader lost");
    record.line(&format!(
        "{} jobs accepted; {} of them not ended {} ms after the traffic, with nothing running for 3 s on an idle runner",
        accepted.len(),
        waiting.len(),
        record.ms() - from + 14_000
    ));
    Some(!waiting.is_empty())
}

/// A runner restarts under its id and is sent starts by the clock of its former
/// life; then its agent freezes.
pub fn reborn(record: Record, trouble: bool) -> Option<bool> {
    let routes = vec![route("/lohu930/", 0, 2)];
    let deployment = Deployment::start(record.clone(), 2, seven(), routes);
    let (runner, agent) = (&deployment.runners[0], deployment.agent(0));
    let stop = AtomicBool::new(false);
    let mut sent = false;
    thread::scope(|scope| {
        let (stop, deployment) = (&stop, &deployment);
        scope.spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let step = "\"count\":7,\"cpu\":500,\"mem_mb\":512,\"est_ms\":6000";
                let id = format!("5c0e7a21d94b{number:04x}");
                deployment.submit(0, &id, &job("work 6000", step), true);
                thread::sleep(MS(150));
            }
        });
        // While the load grows, the runner with the fewest runs is tried first.
        thread::sleep(MS(1500));
        // The leader tries a runner that is away about once a second. If none of
        // its tries falls between the return and the next poll, it happens again.
        for down_ms in [4150, 4350, 3950] {
            if sent || !trouble {
                break;
            }
            runner.crash();
            let crashed_ms = record.ms();
            thread::sleep(MS(down_ms));
            runner.first_beat_ms.store(1000, Ordering::SeqCst);
            runner.begin_as("i-runner-1-1");
            let begun = Instant::now();
            let started = || {
                let facts = deployment.world.facts();
                facts
                    .iter()
                    .any(|fact| fact.runner == "runner-1" && fact.begun_ms > crashed_ms)
            };
            while begun.elapsed() < MS(500) && !sent {
                sent = started();
                thread::sleep(MS(1));
            }
            if !sent {
                record.line("no start has come");
                thread::sleep(MS(6000));
            }
        }
        if trouble {
            thread::sleep(MS(20));
            record.line("agent of runner-1: SIGSTOP");
            agent.signal("-STOP");
            thread::sleep(MS(4000));
            agent.signal("-CONT");
            record.line("agent of runner-1: SIGCONT");
        }
        thread::sleep(MS(3000));
        stop.store(true, Ordering::SeqCst);
    });
    thread::sleep(MS(9000));
    deployment.excerpt("lease_passed");
    let facts = deployment.world.facts();
    let mut twice = 0;
    for fact in facts.iter().filter(|fact| fact.runner == "runner-1") {
        let ended_ms = fact.ended.as_ref().map_or(u64::MAX, |(ms, _)| *ms);
        let mut others = facts.iter().filter(|other| other.task == fact.task);
        let second = others.find(|other| {
            other.run > fact.run && other.begun_ms > fact.begun_ms && other.begun_ms < ended_ms
        });
        if let Some(second) = second {
            twice += 1;
            record.line(&format!(
                "{} run {} on {} from {} to {ended_ms} ms, run {} on {} from {} ms",
                fact.task,
                fact.run,
                fact.runner,
                fact.begun_ms,
                second.run,
                second.runner,
                second.begun_ms
            ));
        }
    }
    record.line(&format!("{twice} tasks ran twice at the same time"));
    (!trouble || sent || twice > 0).then_some(twice > 0)
}

/// Urgent jobs come in numbers beside a lasting job of a less urgent queue.
pub fn lasting(record: Record, trouble: bool) -> Option<bool> {
    let plans = vec![Plan::new(16_000, 64_000), Plan::new(16_000, 64_000)];
    let routes = vec![route("/lohu930/", 0, 2), route("/pule252/", 2, 4)];
    let deployment = Deployment::start(record.clone(), 2, plans, routes);
    let lasting = "7d1f8b32ea5c4709";
    let step = "\"count\":2,\"cpu\":8000,\"mem_mb\":8000,\"est_ms\":1000,\"long_running\":true,\"max_per_server\":1,\"max_unavailable\":1";
    deployment.submit(1, lasting, &job("last", step), true);
    thread::sleep(MS(6000));
    if trouble {
        for number in 0..10 {
            let step = "\"count\":4,\"cpu\":12000,\"mem_mb\":4000,\"est_ms\":2000";
            let id = format!("5c0e7a21d94b{number:04x}");
            deployment.submit(0, &id, &job("work 2000", step), true);
        }
    }
    thread::sleep(MS(25_000));
    let ended: Vec<_> = deployment
        .world
        .facts()
        .into_iter()
        .filter(|fact| fact.task.starts_with(lasting))
        .collect();
    for fact in &ended {
        record.line(&format!(
            "{} run {} on {}: from {} ms, {:?}",
            fact.task, fact.run, fact.runner, fact.begun_ms, fact.ended
        ));
    }
    let stopped: Vec<u64> = ended
        .iter()
        .filter_map(|fact| fact.ended.as_ref())
        .filter(|(_, how)| how == "stopped")
        .map(|(ms, _)| *ms)
        .collect();
    Some(stopped.len() >= 2)
}

/// Both members of a gang fail in its first run.
pub fn gang(record: Record, trouble: bool) -> Option<bool> {
    let plans = vec![Plan::new(8_000, 32_000), Plan::new(8_000, 32_000)];
    let deployment = Deployment::start(record.clone(), 2, plans, vec![route("/lohu930/", 0, 2)]);
    for runner in &deployment.runners {
        runner.failing.store(trouble, Ordering::SeqCst);
    }
    let id = "5c0e7a21d94b36f8";
    let step = "\"count\":2,\"cpu\":6000,\"mem_mb\":8000,\"est_ms\":1000,\"gang\":true";
    deployment.submit(0, id, &job("gang 1000", step), true);
    let begun = Instant::now();
    while begun.elapsed() < MS(5000) && deployment.world.facts().len() < 2 {
        thread::sleep(MS(1));
    }
    for runner in &deployment.runners {
        runner.failing.store(false, Ordering::SeqCst);
    }
    let state = deployment.await_state(0, id, &["complete", "failed"], MS(15_000));
    let facts = deployment.world.facts();
    let mut runs: Vec<u64> = facts
        .iter()
        .filter(|fact| fact.ended.as_ref().is_some_and(|(_, how)| how == "failed"))
        .map(|fact| fact.run)
        .collect();
    runs.dedup();
    record.line(&format!(
        "the gang is shown as {state} after {} failed runs of it, with 2 attempts",
        runs.len()
    ));
    Some(state == "failed" && runs.len() < 2)
}

/// A runner crashes before a gang comes whose members need a runner each.
pub fn gang_apart(record: Record, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(record.clone(), 2, seven(), vec![route("/lohu930/", 0, 2)]);
    if trouble {
        deployment.runners[1].crash();
        thread::sleep(MS(500));
    }
    deployment.world.gang_size.store(7, Ordering::SeqCst);
    let id = "5c0e7a21d94b36f8";
    let step = "\"count\":7,\"cpu\":12000,\"mem_mb\":8000,\"est_ms\":1000,\"gang\":true,\"max_per_server\":1";
    deployment.submit(0, id, &job("gang 1000", step), true);
    thread::sleep(MS(4000));
    if trouble {
        deployment.runners[1].begin();
    }
    let state = deployment.await_state(0, id, &["complete", "failed"], MS(15_000));
    let facts = deployment.world.facts();
    let beyond = facts.iter().any(|fact| {
        facts.iter().any(|other| {
            other.task != fact.task && other.run == fact.run && other.runner == fact.runner
        })
    });
    record.line(&format!(
        "the gang is shown as {state}; members together on one runner: {beyond}"
    ));
    Some(beyond)
}
