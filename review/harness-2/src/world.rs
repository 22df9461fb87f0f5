//! Stand-ins of the runners, by PROTOCOL.md, and the record of what they ran.

use {
    crate::{
        http::{self, Reply, Request, Server},
        json::Json,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Write as _,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex, MutexGuard},
        thread,
        time::{Duration, Instant, SystemTime},
    },
};

pub const HOLD_MAX_MS: u64 = 10_000;
pub const GANG_MS: u64 = 3_000;
pub const STOP_MS: u64 = 100;
pub const SAVE_MS: u64 = 2_000;
/// How long it takes until the other members of a gang learn that one has ended.
const BREAK_DELAY: Duration = Duration::from_micros(1000);
pub const HEARTBEAT_MS: u64 = 1_500;

/// A step of a job, and how long its tasks work.
#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub after: Vec<u64>,
    pub gang: bool,
    pub checkpoints: bool,
    pub long_running: bool,
    pub label: Option<String>,
    pub max_per_server: u64,
    pub work_ms: u64,
    /// Whether the first task always fails by its own fault after half of its work.
    pub hopeless: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Job {
    pub steps: Vec<Step>,
    pub times: u64,
    pub start_ms: u64,
    pub interval_ms: u64,
    pub attempts: u64,
    pub cancelled: Option<Instant>,
}

impl Job {
    pub fn body(&self) -> String {
        let steps = self.steps.iter().map(|step| {
            let mut fields = BTreeMap::new();
            let mut put = |key: &str, value: Json, present: bool| {
                if present {
                    fields.insert(key.to_owned(), value);
                }
            };
            put("count", step.count.into(), true);
            put("cpu", step.cpu.into(), step.cpu > 0);
            put("mem_mb", 64_u64.into(), true);
            put("est_ms", step.work_ms.into(), step.work_ms > 0);
            let after: Vec<Json> = step.after.iter().map(|step| (*step).into()).collect();
            put("after", after.into(), !step.after.is_empty());
            put("gang", true.into(), step.gang);
            put("checkpoints", true.into(), step.checkpoints);
            put("long_running", true.into(), step.long_running);
            put(
                "max_per_server",
                step.max_per_server.into(),
                step.max_per_server > 0,
            );
            if let Some(label) = &step.label {
                put("required_label", label.as_str().into(), true);
            }
            Json::Object(fields)
        });
        let steps: Vec<Json> = steps.collect();
        let mut fields = vec![format!("\"spec\":\"s\",\"steps\":{}", Json::from(steps))];
        if self.times > 0 {
            fields.push(format!(
                "\"times\":{},\"start_ms\":{},\"interval_ms\":{}",
                self.times, self.start_ms, self.interval_ms
            ));
        }
        format!("{{{}}}", fields.join(","))
    }
}

/// ID, occurrence, step, index.
pub type Task = (String, u64, u64, u64);

pub fn task_name((id, occurrence, step, index): &Task) -> String {
    format!("{id}.{occurrence}.{step}.{index}")
}

fn parse_task(text: &str) -> Option<Task> {
    let mut parts = text.split('.');
    let id = parts.next()?.to_owned();
    let mut number = || parts.next()?.parse().ok();
    Some((id, number()?, number()?, number()?))
}

struct Running {
    run: u64,
    started: Instant,
    worked_ms: f64,
    saved: String,
    saved_at: f64,
    stop_at: Option<Instant>,
    fail_at: Option<Instant>,
}

/// One run, as the record keeps it.
#[derive(Clone, Debug)]
pub struct Past {
    pub run: u64,
    pub life: String,
    pub machine: String,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
    pub acknowledged: bool,
}

struct Runner {
    control: SocketAddr,
    address: SocketAddr,
    life: String,
    born: u64,
    origin: Instant,
    up: bool,
    server: Option<Server>,
    fence: u64,
    lease_until: u64,
    running: BTreeMap<Task, Running>,
    finished: Vec<(u64, Task, u64, &'static str, String)>,
    last_end: u64,
    blocked: BTreeMap<Task, u64>,
    seq: u64,
    draining: bool,
    capacity: u64,
    labels: Vec<String>,
    /// Whether it fails all that it starts.
    grey: bool,
    /// Whether starts get no answer, and are carried out when they are released.
    late: bool,
    held: Vec<(Request, String)>,
    lives: u64,
    speed: f64,
    /// When the lease of each life has run out.
    lapses: Vec<(String, Instant)>,
    is_lapsed: bool,
}

#[derive(Default)]
struct State {
    runners: BTreeMap<String, Runner>,
    jobs: BTreeMap<String, Job>,
    runs: BTreeMap<Task, Vec<Past>>,
    saved: BTreeMap<(String, u64, u64, u64), BTreeSet<String>>,
    record: String,
    broken: Vec<String>,
    stopped: bool,
    /// The most cores that were in use at a time since it was last asked for.
    peak_used: u64,
    last_tick: Option<Instant>,
}

#[derive(Clone)]
pub struct World {
    state: Arc<(Mutex<State>, Condvar)>,
    begun: Instant,
    pub print: bool,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

impl Runner {
    /// The runner's own clock, which may be up to 2% slow.
    fn clock(&self, now: Instant) -> u64 {
        (now.duration_since(self.origin).as_millis() as f64 * self.speed) as u64
    }

    /// The cores of what runs, also of what is being stopped.
    fn used(&self, jobs: &BTreeMap<String, Job>) -> u64 {
        let cpu = |task: &Task| {
            let step = jobs.get(&task.0)?.steps.get(task.2 as usize)?;
            Some(step.cpu)
        };
        self.running.keys().filter_map(cpu).sum()
    }

    fn extend(&mut self, now: Instant, deadline: u64) {
        let limit = self.clock(now) + HOLD_MAX_MS;
        self.lease_until = self.lease_until.max(deadline.min(limit));
    }
}

impl World {
    pub fn new(print: bool) -> Self {
        let world = Self {
            state: Arc::default(),
            begun: Instant::now(),
            print,
        };
        let own = world.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(4));
            let mut state = own.lock();
            if state.stopped {
                return;
            }
            own.tick(&mut state);
        });
        world
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    pub fn note(&self, text: &str) {
        let mut state = self.lock();
        self.write(&mut state, text);
    }

    fn write(&self, state: &mut State, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(state.record, "{at:8.3} {text}");
        if self.print {
            println!("{at:8.3} {text}");
        }
    }

    fn violate(&self, state: &mut State, text: String) {
        self.write(state, &format!("BROKEN {text}"));
        state.broken.push(text);
    }

    pub fn break_rule(&self, text: String) {
        let mut state = self.lock();
        self.violate(&mut state, text);
    }

    pub fn record(&self) -> String {
        self.lock().record.clone()
    }

    pub fn broken(&self) -> Vec<String> {
        self.lock().broken.clone()
    }

    pub fn add_job(&self, id: &str, job: Job) {
        self.lock().jobs.insert(id.to_owned(), job);
    }

    pub fn cancelled(&self, id: &str) {
        if let Some(job) = self.lock().jobs.get_mut(id) {
            job.cancelled = Some(Instant::now());
        }
    }

    pub fn runs(&self, task: &Task) -> Vec<Past> {
        self.lock().runs.get(task).cloned().unwrap_or_default()
    }

    /// All runs of a job.
    pub fn runs_of(&self, id: &str) -> Vec<(Task, Past)> {
        let state = self.lock();
        let own = state.runs.iter().filter(|(task, _)| task.0 == id);
        own.flat_map(|(task, runs)| runs.iter().map(|run| (task.clone(), run.clone())))
            .collect()
    }

    /// Adds a machine's runner, which is down at first.
    pub fn add_runner(
        &self,
        machine: &str,
        address: SocketAddr,
        control: SocketAddr,
        capacity: u64,
        labels: &[&str],
    ) {
        let runner = Runner {
            control,
            address,
            life: String::new(),
            born: 0,
            origin: Instant::now(),
            up: false,
            server: None,
            fence: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
            blocked: BTreeMap::new(),
            seq: 0,
            draining: false,
            capacity,
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            grey: false,
            late: false,
            held: Vec::new(),
            lives: 0,
            speed: 0.981,
            lapses: Vec::new(),
            is_lapsed: false,
        };
        self.lock().runners.insert(machine.to_owned(), runner);
    }

    pub fn set_grey(&self, machine: &str, grey: bool) {
        if let Some(runner) = self.lock().runners.get_mut(machine) {
            runner.grey = grey;
        }
        self.note(&format!("{machine} grey {grey}"));
    }

    pub fn set_late(&self, machine: &str, late: bool) {
        if let Some(runner) = self.lock().runners.get_mut(machine) {
            runner.late = late;
        }
        self.note(&format!("{machine} late {late}"));
    }

    /// Returns whether under half of the capacity has been in use since the last call,
    /// and the tasks of this size that fit besides what runs.
    pub fn room(&self, cpu: u64) -> (bool, u64) {
        let mut state = self.lock();
        let used = cores_in_use(&state);
        let peak = std::mem::replace(&mut state.peak_used, used).max(used);
        let up = || state.runners.values().filter(|runner| runner.up);
        let capacity: u64 = up().map(|runner| runner.capacity).sum();
        let free = |runner: &Runner| runner.capacity.saturating_sub(runner.used(&state.jobs));
        let fitting = up().map(|runner| free(runner) / cpu).sum();
        (peak * 2 < capacity, fitting)
    }

    /// Whether a runner has left a start unanswered.
    pub fn has_held(&self, machine: &str) -> bool {
        !self.lock().runners[machine].held.is_empty()
    }

    /// Carries out the starts that got no answer.
    pub fn release_late(&self, machine: &str) {
        let held = {
            let mut state = self.lock();
            let runner = state.runners.get_mut(machine).unwrap();
            runner.late = false;
            std::mem::take(&mut runner.held)
        };
        for (request, life) in held {
            let mut state = self.lock();
            let now = Instant::now();
            self.write(
                &mut state,
                &format!("{machine} carries out late: {}", request.body),
            );
            if state.runners[machine].up && state.runners[machine].life == life {
                let _ = self.start(&mut state, machine, now, &request);
            }
        }
    }

    /// Checks that no task was started after a run of it had ended done, unless the
    /// lease of that run's runner ran out between the two.
    pub fn check_done(&self) {
        let mut state = self.lock();
        let mut found = Vec::new();
        for (task, runs) in &state.runs {
            let lasts = state
                .jobs
                .get(&task.0)
                .and_then(|job| job.steps.get(task.2 as usize))
                .is_none_or(|step| step.long_running);
            for done in runs.iter().filter(|run| !lasts && run.acknowledged) {
                let Some((at, "done")) = done.ended else {
                    continue;
                };
                for later in runs.iter().filter(|run| run.began > at) {
                    let runner = &state.runners[&done.machine];
                    let is_between = |(life, lapse): &(String, Instant)| {
                        *life == done.life && *lapse >= at && *lapse <= later.began
                    };
                    if !runner.lapses.iter().any(is_between) {
                        found.push(format!("TWICE {}: run {} began after run {} had ended done, which was taken note of", task_name(task), later.run, done.run));
                    }
                }
            }
        }
        for text in found {
            self.violate(&mut state, text);
        }
    }

    /// Starts another life of a machine's runner, with an id of its own.
    pub fn up(&self, machine: &str) {
        self.begin(machine, false);
    }

    /// Starts another life of a machine's runner under the id that it had.
    pub fn up_again(&self, machine: &str) {
        self.begin(machine, true);
    }

    fn begin(&self, machine: &str, same: bool) {
        let mut state = self.lock();
        let runner = state.runners.get_mut(machine).unwrap();
        if runner.up {
            return;
        }
        runner.lives += 1;
        if !same || runner.life.is_empty() {
            runner.life = format!("i-{machine}-{}", runner.lives);
        }
        let lives = runner.lives;
        runner.born = unix_ms();
        runner.origin = Instant::now();
        runner.up = true;
        runner.fence = 0;
        runner.lease_until = 0;
        runner.running.clear();
        runner.finished.clear();
        runner.last_end = 0;
        runner.blocked.clear();
        runner.seq = 0;
        runner.draining = false;
        let life = runner.life.clone();
        let address = runner.address;
        self.write(&mut state, &format!("{machine} up as {life}"));
        drop(state);
        let world = self.clone();
        let (own_machine, own_life) = (machine.to_owned(), life.clone());
        let handler = move |request: Request| world.handle(&own_machine, &own_life, &request);
        let mut server = None;
        for _ in 0..200 {
            match Server::start(address, handler.clone()) {
                Ok((found, _)) => {
                    server = Some(found);
                    break;
                }
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        }
        self.lock().runners.get_mut(machine).unwrap().server = server;
        let world = self.clone();
        let machine = machine.to_owned();
        thread::spawn(move || world.heartbeat(&machine, lives));
    }

    /// The runner's process ends without notice.
    pub fn crash(&self, machine: &str) {
        let mut state = self.lock();
        let now = Instant::now();
        let runner = state.runners.get_mut(machine).unwrap();
        if !runner.up {
            return;
        }
        runner.up = false;
        let server = runner.server.take();
        let tasks: Vec<(Task, u64)> = runner
            .running
            .iter()
            .map(|(task, running)| (task.clone(), running.run))
            .collect();
        runner.running.clear();
        runner.finished.clear();
        let life = runner.life.clone();
        self.write(
            &mut state,
            &format!("{machine} crashes as {life} with {} tasks", tasks.len()),
        );
        for (task, run) in tasks {
            self.close_run(&mut state, &task, run, &life, now, "lost");
            self.break_gang(&mut state, &task, run, now);
        }
        drop(state);
        if let Some(server) = server {
            server.close();
        }
        self.state.1.notify_all();
    }

    fn heartbeat(&self, machine: &str, lives: u64) {
        loop {
            let (control, life, body) = {
                let mut state = self.lock();
                if state.stopped {
                    return;
                }
                let now = Instant::now();
                let runner = state.runners.get_mut(machine).unwrap();
                if !runner.up || runner.lives != lives {
                    return;
                }
                runner.seq += 1;
                let labels: Vec<Json> = runner
                    .labels
                    .iter()
                    .map(|label| label.as_str().into())
                    .collect();
                let mut body = format!(
                    "{{\"service\":\"s-1\",\"address\":\"{}\",\"zone\":\"z-1\",\"version\":\"v1\",\"slots\":8,\"state\":\"{}\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":100000,\"gpu\":0}},\"labels\":{},\"clock_ms\":{},\"seq\":{},\"born\":{}",
                    runner.address,
                    if runner.draining { "draining" } else { "ready" },
                    runner.capacity,
                    Json::from(labels),
                    runner.clock(now),
                    runner.seq,
                    runner.born
                );
                if runner.draining {
                    body.push_str(",\"remaining_ms\":5000");
                }
                body.push('}');
                (runner.control, runner.life.clone(), body)
            };
            let path = format!("/api/Instances.Heartbeat/{life}");
            let answer = http::call(control, "POST", &path, &[], &body, Duration::from_secs(1));
            let is_heard = answer.is_some_and(|(status, _)| status / 100 == 2);
            let pause = if is_heard { HEARTBEAT_MS } else { 200 };
            thread::sleep(Duration::from_millis(pause));
        }
    }

    fn handle(&self, machine: &str, life: &str, request: &Request) -> Reply {
        let mut state = self.lock();
        let now = Instant::now();
        let runner = &state.runners[machine];
        if !runner.up || runner.life != life {
            return Reply::Close;
        }
        if request
            .header("filbertbend-expect-instance")
            .is_some_and(|expected| expected != life)
        {
            return self.answer(&state, machine, 421, &[]);
        }
        match request.path.as_str() {
            "/api/run-start" => {
                let runner = state.runners.get_mut(machine).unwrap();
                if runner.late {
                    runner.held.push((
                        Request {
                            method: String::new(),
                            path: String::new(),
                            query: Vec::new(),
                            headers: Vec::new(),
                            body: request.body.clone(),
                        },
                        life.to_owned(),
                    ));
                    let text = format!("{machine} leaves unanswered: {}", request.body);
                    self.write(&mut state, &text);
                    return Reply::Silence;
                }
                let (status, reason) = self.start(&mut state, machine, now, request);
                let fields: Vec<(&str, Json)> = reason
                    .map(|reason| ("reason", reason.into()))
                    .into_iter()
                    .collect();
                self.answer(&state, machine, status, &fields)
            }
            "/api/run-stop" => {
                let Some(body) = Json::parse(&request.body) else {
                    return Reply::Answer(400, "{}".to_owned());
                };
                let Some(task) = parse_task(body.get("task").text()) else {
                    return Reply::Answer(400, "{}".to_owned());
                };
                let (run, fence) = (body.get("run").number(), body.get("fence").number());
                let runner = state.runners.get_mut(machine).unwrap();
                if fence < runner.fence {
                    return self.answer(&state, machine, 409, &[("reason", "fence".into())]);
                }
                runner.fence = fence;
                let blocked = runner.blocked.entry(task.clone()).or_default();
                *blocked = run.max(*blocked);
                if let Some(running) = runner
                    .running
                    .get_mut(&task)
                    .filter(|running| running.run <= run)
                {
                    running
                        .stop_at
                        .get_or_insert(now + Duration::from_millis(STOP_MS));
                }
                let text = format!("{machine} told to stop {} run {run}", task_name(&task));
                self.write(&mut state, &text);
                self.answer(&state, machine, 200, &[])
            }
            "/api/hold" => self.hold(state, machine, life, request),
            "/api/pace" => self.answer(&state, machine, 200, &[]),
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }

    fn answer(&self, state: &State, machine: &str, status: u16, extra: &[(&str, Json)]) -> Reply {
        let runner = &state.runners[machine];
        let mut fields: BTreeMap<String, Json> = extra
            .iter()
            .map(|(key, value)| ((*key).to_owned(), value.clone()))
            .collect();
        fields.insert("clock_ms".to_owned(), runner.clock(Instant::now()).into());
        fields.insert("born".to_owned(), runner.born.into());
        Reply::Answer(status, Json::Object(fields).to_string())
    }

    fn hold(
        &self,
        mut state: MutexGuard<'_, State>,
        machine: &str,
        life: &str,
        request: &Request,
    ) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let now = Instant::now();
        let fence = body.get("fence").number();
        let runner = state.runners.get_mut(machine).unwrap();
        if fence < runner.fence {
            return self.answer(&state, machine, 409, &[("reason", "fence".into())]);
        }
        runner.fence = fence;
        let acknowledged = body.get("ack_seq").number();
        let (noted, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut runner.finished)
            .into_iter()
            .partition(|(number, ..)| *number <= acknowledged);
        runner.finished = kept;
        if !body.get("deadline_ms").is_null() {
            runner.extend(now, body.get("deadline_ms").number());
        }
        for (_, task, run, how, _) in noted {
            if let Some(past) = state.runs.get_mut(&task).and_then(|runs| {
                runs.iter_mut()
                    .find(|past| past.run == run && past.life == life)
            }) {
                past.acknowledged = true;
            }
            self.write(
                &mut state,
                &format!(
                    "{machine} end taken note of: {} run {run} {how}",
                    task_name(&task)
                ),
            );
        }
        let until = now + Duration::from_millis(body.get("wait_ms").number().min(2000));
        loop {
            let runner = &state.runners[machine];
            if !runner.up || runner.life != life {
                return Reply::Close;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !runner.finished.is_empty() || left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        let runner = &state.runners[machine];
        let running: Vec<Json> = runner
            .running
            .iter()
            .map(|(task, running)| {
                vec![
                    task_name(task).into(),
                    running.run.into(),
                    running.saved.as_str().into(),
                    100_u64.into(),
                    0_u64.into(),
                ]
                .into()
            })
            .collect();
        let finished: Vec<Json> = runner
            .finished
            .iter()
            .take(500)
            .map(|(number, task, run, how, saved)| {
                vec![
                    (*number).into(),
                    task_name(task).into(),
                    (*run).into(),
                    (*how).into(),
                    saved.as_str().into(),
                ]
                .into()
            })
            .collect();
        self.answer(
            &state,
            machine,
            200,
            &[("running", running.into()), ("finished", finished.into())],
        )
    }

    fn start(
        &self,
        state: &mut State,
        machine: &str,
        now: Instant,
        request: &Request,
    ) -> (u16, Option<&'static str>) {
        let Some(body) = Json::parse(&request.body) else {
            return (400, None);
        };
        let Some(task) = parse_task(body.get("task").text()) else {
            return (400, None);
        };
        let (run, fence) = (body.get("run").number(), body.get("fence").number());
        let checkpoint = body.get("last_checkpoint").text().to_owned();
        let runner = state.runners.get_mut(machine).unwrap();
        if fence < runner.fence {
            return (409, Some("fence"));
        }
        runner.fence = fence;
        let deadline = body.get("deadline_ms").number();
        if runner
            .running
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            runner.extend(now, deadline);
            return (200, None);
        }
        if runner
            .blocked
            .get(&task)
            .is_some_and(|blocked| run <= *blocked)
        {
            runner.extend(now, deadline);
            return (409, Some("old"));
        }
        if deadline <= runner.clock(now) {
            return (409, Some("late"));
        }
        runner.extend(now, deadline);
        let life = runner.life.clone();
        let grey = runner.grey;
        let worked = u64::from_str_radix(checkpoint.get(..8).unwrap_or(""), 16).unwrap_or(0);
        let running = Running {
            run,
            started: now,
            worked_ms: worked as f64,
            saved: checkpoint.clone(),
            saved_at: worked as f64,
            stop_at: None,
            fail_at: grey.then(|| now + Duration::from_millis(30)),
        };
        runner.running.insert(task.clone(), running);
        state.peak_used = state.peak_used.max(cores_in_use(state));
        self.write(
            state,
            &format!(
                "{machine} starts {} run {run} fence {fence} checkpoint {checkpoint:?}",
                task_name(&task)
            ),
        );
        self.check_start(state, machine, &task, run, &checkpoint, now);
        state.runs.entry(task).or_default().push(Past {
            run,
            life,
            machine: machine.to_owned(),
            began: now,
            ended: None,
            acknowledged: false,
        });
        (200, None)
    }

    /// Checks the rules that a start may break.
    fn check_start(
        &self,
        state: &mut State,
        machine: &str,
        task: &Task,
        run: u64,
        checkpoint: &str,
        now: Instant,
    ) {
        let name = task_name(task);
        let Some(job) = state.jobs.get(&task.0).cloned() else {
            return self.violate(state, format!("UNASKED {name}: no client sent this job"));
        };
        let Some(step) = job.steps.get(task.2 as usize).cloned() else {
            return self.violate(state, format!("UNASKED {name}: no such step"));
        };
        let past = state.runs.get(task).cloned().unwrap_or_default();
        for other in &past {
            if other.ended.is_none() {
                self.violate(
                    state,
                    format!(
                        "TWICE {name}: run {run} on {machine} while run {} is on {}",
                        other.run, other.machine
                    ),
                );
            }
            if other.ended.is_some_and(|(_, how)| how == "done")
                && other.acknowledged
                && !step.long_running
            {
                self.violate(
                    state,
                    format!(
                        "TWICE {name}: run {run} on {machine} although run {} has ended done",
                        other.run
                    ),
                );
            }
        }
        let failed = past
            .iter()
            .filter(|other| {
                other.ended.is_some_and(|(_, how)| how == "failed") && other.acknowledged
            })
            .count();
        if !step.long_running && failed as u64 >= job.attempts {
            self.violate(
                state,
                format!("BUDGET {name}: run {run} after {failed} failures"),
            );
        }
        for earlier in &step.after {
            let Some(before) = job.steps.get(*earlier as usize) else {
                continue;
            };
            let is_done = |index: u64| {
                let runs = state.runs.get(&(task.0.clone(), task.1, *earlier, index));
                runs.is_some_and(|runs| {
                    runs.iter()
                        .any(|run| run.ended.is_some_and(|(_, how)| how == "done"))
                })
            };
            let done = (0..before.count).filter(|index| is_done(*index)).count() as u64;
            if done < before.count && !(before.gang && done > 0) {
                self.violate(state, format!("ORDER {name}: step {earlier} is not done"));
            }
        }
        if job.times > 0 && unix_ms() + 250 < job.start_ms + task.1 * job.interval_ms {
            self.violate(state, format!("ORDER {name}: before its time"));
        }
        if job
            .cancelled
            .is_some_and(|at| now > at + Duration::from_millis(3000))
        {
            self.violate(
                state,
                format!("UNASKED {name}: started after its job was cancelled"),
            );
        }
        let runner = &state.runners[machine];
        let own = runner
            .running
            .keys()
            .filter(|other| (&other.0, other.1, other.2) == (&task.0, task.1, task.2))
            .count() as u64;
        if step.max_per_server > 0 && own > step.max_per_server {
            let text = format!(
                "ROUTE {name}: {own} tasks of its step on {machine}, at most {}",
                step.max_per_server
            );
            self.violate(state, text);
        }
        let runner = &state.runners[machine];
        if step
            .label
            .as_ref()
            .is_some_and(|label| !runner.labels.contains(label))
        {
            self.violate(state, format!("ROUTE {name}: {machine} has not the label"));
        }
        let runner = &state.runners[machine];
        let jobs = &state.jobs;
        let cpu = |other: &Task| {
            jobs.get(&other.0)
                .and_then(|job| job.steps.get(other.2 as usize))
                .map_or(0, |step| step.cpu)
        };
        let used: u64 = runner.running.keys().map(cpu).sum();
        if used > runner.capacity {
            let text = format!("LIMIT {name}: {used} of {} on {machine}", runner.capacity);
            self.violate(state, text);
        }
        if !checkpoint.is_empty() {
            let known = state.saved.get(&checkpoint_key(task, step.gang));
            if !known.is_some_and(|known| known.contains(checkpoint)) {
                self.violate(
                    state,
                    format!("UNASKED {name}: {checkpoint:?} is not its checkpoint"),
                );
            }
        }
    }

    fn close_run(
        &self,
        state: &mut State,
        task: &Task,
        run: u64,
        life: &str,
        now: Instant,
        how: &'static str,
    ) {
        let runs = state.runs.get_mut(task);
        let past = runs.and_then(|runs| {
            runs.iter_mut()
                .find(|past| past.run == run && past.life == life && past.ended.is_none())
        });
        if let Some(past) = past {
            past.ended = Some((now, how));
        }
        self.write(
            state,
            &format!("{life} {} run {run} ends {how}", task_name(task)),
        );
    }

    fn end(&self, state: &mut State, machine: &str, task: &Task, how: &'static str, now: Instant) {
        let runner = state.runners.get_mut(machine).unwrap();
        let Some(running) = runner.running.remove(task) else {
            return;
        };
        runner.last_end += 1;
        let saved = if how == "done" {
            String::new()
        } else {
            running.saved
        };
        runner
            .finished
            .push((runner.last_end, task.clone(), running.run, how, saved));
        let blocked = runner.blocked.entry(task.clone()).or_default();
        *blocked = running.run.max(*blocked);
        let life = runner.life.clone();
        self.close_run(state, task, running.run, &life, now, how);
        if how != "done" {
            // The other runners learn of it a moment later.
            let (world, task, run) = (self.clone(), task.clone(), running.run);
            thread::spawn(move || {
                thread::sleep(BREAK_DELAY);
                let mut state = world.lock();
                world.break_gang(&mut state, &task, run, Instant::now());
            });
        }
        self.state.1.notify_all();
    }

    /// Ends the other members of a gang run.
    fn break_gang(&self, state: &mut State, task: &Task, run: u64, now: Instant) {
        let is_gang = state
            .jobs
            .get(&task.0)
            .and_then(|job| job.steps.get(task.2 as usize))
            .is_some_and(|step| step.gang);
        if !is_gang {
            return;
        }
        let mut others = Vec::new();
        for (machine, runner) in &state.runners {
            for (other, running) in &runner.running {
                // A member that is about to end by itself does so.
                let is_member = (&other.0, other.1, other.2) == (&task.0, task.1, task.2)
                    && running.run == run
                    && running.fail_at.is_none();
                if is_member && runner.up {
                    others.push((machine.clone(), other.clone()));
                }
            }
        }
        for (machine, other) in others {
            self.end(state, &machine, &other, "broken", now);
        }
    }

    fn tick(&self, state: &mut State) {
        let now = Instant::now();
        let passed = state
            .last_tick
            .replace(now)
            .map_or(0.0, |last| now.duration_since(last).as_secs_f64() * 1000.0);
        let mut present: BTreeMap<(String, u64, u64, u64), u64> = BTreeMap::new();
        for runner in state.runners.values().filter(|runner| runner.up) {
            for (task, running) in &runner.running {
                *present
                    .entry((task.0.clone(), task.1, task.2, running.run))
                    .or_default() += 1;
            }
        }
        let mut ends: Vec<(String, Task, &'static str)> = Vec::new();
        let State {
            runners,
            jobs,
            saved,
            ..
        } = state;
        for (machine, runner) in runners.iter_mut().filter(|(_, runner)| runner.up) {
            let lapsed = runner.clock(now) >= runner.lease_until;
            if lapsed && !runner.is_lapsed {
                runner.lapses.push((runner.life.clone(), now));
            }
            runner.is_lapsed = lapsed;
            for (task, running) in &mut runner.running {
                let step = jobs
                    .get(&task.0)
                    .and_then(|job| job.steps.get(task.2 as usize));
                let Some(step) = step else { continue };
                let key = (task.0.clone(), task.1, task.2, running.run);
                let complete = !step.gang || present.get(&key).copied().unwrap_or(0) >= step.count;
                if lapsed {
                    ends.push((machine.clone(), task.clone(), "lapsed"));
                } else if running.stop_at.is_some_and(|at| now >= at) {
                    if step.checkpoints {
                        save(running, task, step.gang, saved);
                    }
                    ends.push((machine.clone(), task.clone(), "stopped"));
                } else if running.fail_at.is_some_and(|at| now >= at) {
                    ends.push((machine.clone(), task.clone(), "failed"));
                } else if !complete {
                    if now >= running.started + Duration::from_millis(GANG_MS)
                        && running.worked_ms == running.saved_at
                    {
                        ends.push((machine.clone(), task.clone(), "alone"));
                    }
                } else {
                    running.worked_ms += passed;
                    let has_failed = step.hopeless
                        && task.3 == 0
                        && running.worked_ms >= step.work_ms as f64 / 2.0;
                    if has_failed {
                        ends.push((machine.clone(), task.clone(), "failed"));
                    } else if !step.long_running && running.worked_ms >= step.work_ms as f64 {
                        ends.push((machine.clone(), task.clone(), "done"));
                    } else if step.checkpoints
                        && running.worked_ms >= running.saved_at + SAVE_MS as f64
                    {
                        save(running, task, step.gang, saved);
                    }
                }
            }
        }
        for (machine, task, how) in ends {
            self.end(state, &machine, &task, how, now);
        }
    }

    pub fn stop(&self) {
        let mut state = self.lock();
        state.stopped = true;
        let servers: Vec<Server> = state
            .runners
            .values_mut()
            .filter_map(|runner| runner.server.take())
            .collect();
        drop(state);
        for server in servers {
            server.close();
        }
    }
}

fn cores_in_use(state: &State) -> u64 {
    let up = state.runners.values().filter(|runner| runner.up);
    up.map(|runner| runner.used(&state.jobs)).sum()
}

fn checkpoint_key(task: &Task, gang: bool) -> (String, u64, u64, u64) {
    let index = if gang { u64::MAX } else { task.3 };
    (task.0.clone(), task.1, task.2, index)
}

fn save(
    running: &mut Running,
    task: &Task,
    gang: bool,
    saved: &mut BTreeMap<(String, u64, u64, u64), BTreeSet<String>>,
) {
    running.saved_at = running.worked_ms;
    running.saved = format!("{:08x}{:08x}", running.worked_ms as u64, task.3);
    saved
        .entry(checkpoint_key(task, gang))
        .or_default()
        .insert(running.saved.clone());
}

/// The current time, for the due times of jobs.
pub fn wall_ms() -> u64 {
    unix_ms()
}
