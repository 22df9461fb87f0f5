//! A random search for broken rules: jobs of all kinds beside disruptions.

use {
    crate::{
        deployment::Deployment,
        store::Mode,
        world::{wall_ms, Job, Step},
    },
    std::{
        collections::BTreeMap,
        thread,
        time::{Duration, Instant},
    },
};

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 16
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low + 1)
    }

    fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        &items[self.below(items.len() as u64) as usize]
    }
}

fn job(random: &mut Random) -> Job {
    let step = |random: &mut Random, after: Vec<u64>| Step {
        count: random.between(1, 4),
        cpu: random.between(1, 6) * 500,
        after,
        work_ms: random.between(2, 40) * 100,
        checkpoints: random.below(2) == 0,
        gang: random.below(3) == 0,
        max_per_server: if random.below(4) == 0 {
            random.between(1, 2)
        } else {
            0
        },
        label: (random.below(6) == 0).then(|| random.pick(&["a", "b", "r1-1"]).to_string()),
        hopeless: random.below(12) == 0,
        ..Step::default()
    };
    let mut steps = vec![step(random, Vec::new())];
    while steps.len() < 4 && random.below(2) == 0 {
        let after = (0..steps.len() as u64)
            .filter(|_| random.below(2) == 0)
            .collect();
        steps.push(step(random, after));
    }
    for step in &mut steps {
        if step.gang && step.max_per_server > 0 {
            step.max_per_server = 0;
        }
    }
    let mut job = Job {
        steps,
        attempts: 2,
        ..Job::default()
    };
    match random.below(8) {
        0 | 1 => {
            job.times = random.between(2, 4);
            job.start_ms = wall_ms() + random.below(3000);
            job.interval_ms = random.between(2, 30) * 100;
        }
        2 => {
            job.steps.truncate(1);
            job.steps[0].long_running = true;
            job.steps[0].cpu = 500;
            job.steps[0].gang = false;
            job.steps[0].max_per_server = 0;
            job.steps[0].checkpoints = false;
        }
        _ => {}
    }
    job
}

type Undo = (Instant, Box<dyn FnOnce(&mut Deployment)>);

pub fn run() -> i32 {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    let kinds = std::env::var("KINDS").unwrap_or_else(|_| {
        "kill-entry,kill-agent,stop-entry,stop-agent,crash,store,store-one,late,term,grey"
            .to_owned()
    });
    let kinds: Vec<&str> = kinds.split(',').collect();
    let mut random = Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    for _ in 0..10 {
        random.next();
    }
    let entries = ["front-1", "front-2", "front-3"];
    let sides: [(&str, u64, &[&str]); 4] = [
        ("side-1", 40000, &["a", "r1-1"]),
        ("side-2", 40000, &["a", "r1-1"]),
        ("side-3", 40000, &["b", "r1-2"]),
        ("side-4", 40000, &["b", "r1-2"]),
    ];
    let mut own = Deployment::new(&entries, &sides, 2, std::env::var("PRINT").is_ok());
    own.start_all();
    let begun = Instant::now();
    let length = Duration::from_secs(
        std::env::var("LENGTH")
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(45),
    );
    let mut accepted: Vec<(String, &str, Job)> = Vec::new();
    let mut rejected: Vec<String> = Vec::new();
    let mut unknown: Vec<String> = Vec::new();
    let mut cancelled: BTreeMap<String, bool> = BTreeMap::new();
    let mut undo: Vec<Undo> = Vec::new();
    let mut busy: BTreeMap<String, Instant> = BTreeMap::new();
    let mut next_trouble = begun + Duration::from_secs(2);
    let mut next_job = begun;
    let mut number = 0;
    while begun.elapsed() < length {
        thread::sleep(Duration::from_millis(15));
        let now = Instant::now();
        let due: Vec<usize> = (0..undo.len())
            .rev()
            .filter(|index| undo[*index].0 <= now)
            .collect();
        for index in due {
            let (_, action) = undo.remove(index);
            action(&mut own);
        }
        if now >= next_job {
            next_job = now + Duration::from_millis(random.between(100, 900));
            number += 1;
            let id = format!("{:08x}{number:08x}", seed as u32);
            let queue = *random.pick(&["urgent", "batch"]);
            let entry = *random.pick(&entries);
            let job = job(&mut random);
            own.world.add_job(&id, job.clone());
            let path = format!("/{queue}/{id}");
            let leaves = random.below(6) == 0;
            let patience =
                Duration::from_millis(if leaves { random.between(5, 500) } else { 3000 });
            match own.call_within(entry, "POST", &path, &job.body(), patience) {
                Some((200..=299, _)) => accepted.push((id.clone(), queue, job.clone())),
                Some((429 | 503, _)) => rejected.push(id.clone()),
                _ if leaves => {
                    let other = entries[random.below(3) as usize];
                    let deleted = own.call(other, "DELETE", &path, "");
                    if let Some((200..=299 | 410, _)) = deleted {
                        own.world.cancelled(&id);
                        cancelled.insert(id.clone(), true);
                    }
                    unknown.push(id.clone());
                }
                _ => {
                    unknown.push(id.clone());
                    // The client repeats it at another entry.
                    let other = entries[random.below(3) as usize];
                    if let Some((200..=299, _)) = own.call(other, "POST", &path, &job.body()) {
                        accepted.push((id.clone(), queue, job.clone()));
                    }
                }
            }
            if random.below(8) == 0 && accepted.len() > 2 {
                // A repetition of a job that was accepted seconds ago.
                let (id, queue, job) =
                    accepted[accepted.len() - 1 - random.below(3) as usize].clone();
                own.call(
                    entries[random.below(3) as usize],
                    "POST",
                    &format!("/{queue}/{id}"),
                    &job.body(),
                );
            }
        }
        if random.below(150) == 0 && !accepted.is_empty() {
            let (id, queue, _) = accepted[random.below(accepted.len() as u64) as usize].clone();
            if let Some((200..=299 | 410, _)) = own.call(
                entries[random.below(3) as usize],
                "DELETE",
                &format!("/{queue}/{id}"),
                "",
            ) {
                own.world.cancelled(&id);
                cancelled.insert(id, true);
            } else {
                cancelled.insert(id, false);
            }
        }
        if now >= next_trouble && now + Duration::from_secs(3) < begun + length {
            next_trouble = now + Duration::from_millis(random.between(100, 4000));
            let kind = *random.pick(&kinds);
            let entry = random.pick(&entries).to_string();
            let leader = own.leader().unwrap_or_else(|| entry.clone());
            let entry = if random.below(2) == 0 { leader } else { entry };
            let side = random.pick(&sides).0.to_string();
            let time = Duration::from_millis(
                random.between(1, 60) * 100 * if random.below(5) == 0 { 2 } else { 1 },
            );
            let target = match kind {
                "kill-entry" | "stop-entry" | "store-one" | "term" => entry.clone(),
                "kill-agent" | "stop-agent" => side.clone(),
                "crash" | "late" | "grey" => format!("runner {side}"),
                _ => "store".to_owned(),
            };
            if busy.get(&target).is_some_and(|until| now < *until) {
                continue;
            }
            busy.insert(target, now + time + Duration::from_secs(1));
            own.world
                .note(&format!("trouble {kind} {entry} {side} for {time:?}"));
            let at = now + time;
            match kind {
                "kill-entry" => {
                    own.kill(&entry);
                    undo.push((at, Box::new(move |own| own.start(&entry))));
                }
                "kill-agent" => {
                    own.kill(&side);
                    undo.push((at, Box::new(move |own| own.start(&side))));
                }
                "stop-entry" => {
                    own.pause(&entry);
                    undo.push((at, Box::new(move |own| own.resume(&entry))));
                }
                "stop-agent" => {
                    own.pause(&side);
                    undo.push((at, Box::new(move |own| own.resume(&side))));
                }
                "term" => {
                    own.terminate(&entry);
                    let at = now + Duration::from_millis(6500);
                    undo.push((
                        at,
                        Box::new(move |own| {
                            own.reap(&entry, Duration::from_millis(50));
                            own.start(&entry);
                        }),
                    ));
                }
                "crash" => {
                    own.world.crash(&side);
                    let same = random.below(2) == 0 && std::env::var("SAME").is_ok();
                    undo.push((
                        at,
                        Box::new(move |own| {
                            if same {
                                own.world.up_again(&side)
                            } else {
                                own.world.up(&side)
                            }
                        }),
                    ));
                }
                "late" => {
                    own.world.set_late(&side, true);
                    let world = own.world.clone();
                    let delay = Duration::from_millis(random.between(20, 60) * 100);
                    let (stop_at, name) = (
                        now + Duration::from_millis(random.between(2, 15) * 100),
                        side.clone(),
                    );
                    undo.push((
                        stop_at,
                        Box::new(move |own| own.world.set_late(&name, false)),
                    ));
                    undo.push((now + delay, Box::new(move |_| world.release_late(&side))));
                }
                "grey" => {
                    own.world.set_grey(&side, true);
                    undo.push((
                        now + Duration::from_millis(300),
                        Box::new(move |own| own.world.set_grey(&side, false)),
                    ));
                }
                "store" | "store-one" => {
                    let mode = *random.pick(&[
                        Mode::Busy,
                        Mode::Silent,
                        Mode::LoseWrites,
                        Mode::LateWrites,
                        Mode::LateWrites,
                    ]);
                    let all = [
                        "front-1", "front-2", "front-3", "side-1", "side-2", "side-3", "side-4",
                    ];
                    let names: Vec<String> = if kind == "store" {
                        all.iter().map(|name| (*name).to_owned()).collect()
                    } else {
                        vec![entry]
                    };
                    own.world.note(&format!("store {mode:?} for {names:?}"));
                    for name in &names {
                        own.store.set_mode(name, mode);
                    }
                    undo.push((
                        at,
                        Box::new(move |own| {
                            own.world.note(&format!("store serves {names:?}"));
                            for name in &names {
                                own.store.set_mode(name, Mode::Serve);
                            }
                        }),
                    ));
                }
                _ => {}
            }
        }
    }
    while let Some((at, action)) = undo.pop() {
        let now = Instant::now();
        if at > now {
            thread::sleep(at - now);
        }
        action(&mut own);
    }
    for name in entries.iter().chain(sides.iter().map(|(name, ..)| name)) {
        if own.has_ended(name) {
            own.world
                .break_rule(format!("Fault: {name} has ended by itself"));
        }
    }
    thread::sleep(Duration::from_secs(25));
    own.world.check_done();
    let mut open = 0;
    for (id, queue, job) in &accepted {
        let state = own.state(entries[0], queue, id);
        let runs = own.world.runs_of(id);
        let lasting = job.steps[0].long_running;
        let failed = runs
            .iter()
            .filter(|(_, run)| run.ended.is_some_and(|(_, how)| how == "failed"))
            .count();
        let is_cancelled = cancelled.contains_key(id);
        match state.as_str() {
            "complete" if !lasting => {
                // All tasks have to have ended done.
                for k in 0..job.times.max(1) {
                    for (index, step) in job.steps.iter().enumerate() {
                        let mut done = 0;
                        for task in 0..step.count {
                            let past = own.world.runs(&(id.clone(), k, index as u64, task));
                            done += u64::from(
                                past.iter()
                                    .any(|run| run.ended.is_some_and(|(_, how)| how == "done")),
                            );
                        }
                        if done < step.count && !(step.gang && done > 0) {
                            own.world.break_rule(format!(
                                "MIXED {id}: shown as complete, step {k}.{index} has {done} of {}",
                                step.count
                            ));
                        }
                    }
                }
            }
            "cancelled" if is_cancelled => {
                if runs.iter().any(|(_, run)| run.ended.is_none()) {
                    own.world
                        .break_rule(format!("UNASKED {id}: runs on although cancelled"));
                }
            }
            "failed" if failed >= 2 => {}
            "running" if lasting => {
                let away = (0..job.steps[0].count).filter(|index| {
                    let past = own.world.runs(&(id.clone(), 0, 0, *index));
                    past.iter().all(|run| run.ended.is_some())
                });
                let away = away.count();
                if away > 0 {
                    own.world.note(&format!(
                        "waiting: lasting {id}: {away} tasks are not running"
                    ));
                    open += 1;
                }
            }
            "410" => own.world.break_rule(format!("LOST {id}: 410")),
            "failed" => own
                .world
                .break_rule(format!("LOST {id}: failed with {failed} failed ends")),
            state => {
                let is_running = runs.iter().any(|(_, run)| run.ended.is_none());
                own.world.note(&format!(
                    "waiting: {id} is {state}, running {is_running}, cancelled {is_cancelled}"
                ));
                if !is_running {
                    open += 1;
                }
            }
        }
    }
    for id in &rejected {
        if !own.world.runs_of(id).is_empty() {
            own.world
                .break_rule(format!("REFUSED {id}: runs although it was rejected"));
        }
    }
    let broken = own.world.broken();
    println!(
        "seed {seed}: {} accepted, {} rejected, {} unknown, {} cancelled, open {open}, broken {}",
        accepted.len(),
        rejected.len(),
        unknown.len(),
        cancelled.len(),
        broken.len()
    );
    for text in broken.iter().take(8) {
        println!("  seed {seed} {text}");
    }
    if let Ok(path) = std::env::var("RECORD") {
        let mut record = own.world.record();
        if std::env::var("LOGS").is_ok() {
            for name in entries.iter().chain(sides.iter().map(|(name, ..)| name)) {
                record.push_str(&format!("--- {name}\n{}", own.log_of(name)));
            }
        }
        let _ = std::fs::write(path, record);
    }
    own.end();
    i32::from(!broken.is_empty() || open > 0)
}
