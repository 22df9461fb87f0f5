//! A stand-in for the runners: heartbeats, starts, stops, leases and lists, as
//! PROTOCOL.md describes them.
//!
//! The spec of a task says what it does: `work MS`, `last`, or `gang MS`.

use {
    crate::{
        http::{self, Reply, Request, Server},
        json::{quote, Json},
        record::Record,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant, SystemTime},
    },
};

const HEARTBEAT: Duration = Duration::from_millis(1500);
const HOLD_MAX_MS: u64 = 10_000;
const STOP: Duration = Duration::from_millis(60);
const GANG_WAIT: Duration = Duration::from_millis(3000);

/// One start that a runner has begun, and its end.
#[derive(Clone, Debug)]
pub struct Fact {
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub begun_ms: u64,
    pub ended: Option<(u64, String)>,
    pub noted: bool,
}

struct Running {
    begun: Instant,
    spec: String,
    stopping: Option<Instant>,
    fact: usize,
}

struct Finished {
    number: u64,
    task: String,
    run: u64,
    how: String,
    fact: usize,
}

/// The state of one life.
struct Life {
    id: String,
    born: u64,
    started: Instant,
    fence: u64,
    deadline: u64,
    running: BTreeMap<(String, u64), Running>,
    finished: Vec<Finished>,
    count: u64,
    floors: HashMap<String, u64>,
}

/// How a runner of the deployment is set up.
#[derive(Clone)]
pub struct Setup {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddr,
    /// Where heartbeats go: the agent or a proxy before it.
    pub control: SocketAddr,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// What all runners share: the facts, and how gangs fare.
#[derive(Clone)]
pub struct World {
    pub record: Record,
    pub facts: Arc<Mutex<Vec<Fact>>>,
    /// Which members of a gang's run are there, and when all were.
    gangs: Arc<Mutex<HashMap<String, Gang>>>,
    /// How many members a gang has.
    pub gang_size: Arc<AtomicU64>,
}

#[derive(Default)]
struct Gang {
    present: Vec<String>,
    since: Option<Instant>,
    ended: Option<String>,
}

impl World {
    pub fn new(record: Record) -> Self {
        Self {
            record,
            facts: Arc::default(),
            gangs: Arc::default(),
            gang_size: Arc::new(AtomicU64::new(2)),
        }
    }

    pub fn facts(&self) -> Vec<Fact> {
        self.facts.lock().unwrap().clone()
    }
}

#[derive(Clone)]
pub struct Runner {
    setup: Setup,
    world: World,
    life: Arc<Mutex<Option<Life>>>,
    server: Arc<Mutex<Option<Server>>>,
    lives: Arc<AtomicU64>,
    pub draining: Arc<AtomicBool>,
    /// When the agent first acknowledged that this life drains, in milliseconds
    /// of the record; 0 if it has not.
    pub draining_acked_ms: Arc<AtomicU64>,
    /// How long after its begin a life sends its first heartbeat.
    pub first_beat_ms: Arc<AtomicU64>,
    /// Whether everything that starts here fails at once.
    pub failing: Arc<AtomicBool>,
}

impl Runner {
    pub fn start(setup: Setup, world: World) -> Self {
        let runner = Self {
            setup,
            world,
            life: Arc::default(),
            server: Arc::default(),
            lives: Arc::default(),
            draining: Arc::default(),
            draining_acked_ms: Arc::default(),
            first_beat_ms: Arc::default(),
            failing: Arc::default(),
        };
        runner.begin();
        let ticking = runner.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(4));
            ticking.tick();
        });
        runner
    }

    /// Begins a life under a new id.
    pub fn begin(&self) {
        let number = self.lives.load(Ordering::SeqCst) + 1;
        self.begin_as(&format!("i-{}-{number}", self.setup.name));
    }

    /// Begins a life under an id, which may be that of the last life.
    pub fn begin_as(&self, id: &str) {
        let id = id.to_owned();
        let number = self.lives.fetch_add(1, Ordering::SeqCst) + 1;
        let born = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        *self.life.lock().unwrap() = Some(Life {
            id: id.clone(),
            born,
            started: Instant::now(),
            fence: 0,
            deadline: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            count: 0,
            floors: HashMap::new(),
        });
        let served = self.clone();
        let server = Server::start(self.setup.app, move |request| served.handle(&request));
        *self.server.lock().unwrap() = Some(server);
        self.world
            .record
            .line(&format!("{}: life {id} begins", self.setup.name));
        let beating = self.clone();
        thread::spawn(move || beating.beat(&id, born, number));
    }

    /// Ends the life at once, as a crash of the runner's process does.
    pub fn crash(&self) {
        let ended = self.life.lock().unwrap().take();
        if let Some(mut server) = self.server.lock().unwrap().take() {
            server.kill();
        }
        let Some(life) = ended else {
            return;
        };
        let ms = self.world.record.ms();
        let mut facts = self.world.facts.lock().unwrap();
        for running in life.running.values() {
            facts[running.fact].ended = Some((ms, "crash".to_owned()));
        }
        drop(facts);
        let names: Vec<String> = life
            .running
            .iter()
            .map(|((task, run), running)| {
                format!(
                    "{task} run {run} after {} ms",
                    running.begun.elapsed().as_millis()
                )
            })
            .collect();
        self.world.record.line(&format!(
            "{}: life {} crashes, running: [{}]",
            self.setup.name,
            life.id,
            names.join(", ")
        ));
    }

    fn beat(&self, id: &str, born: u64, number: u64) {
        let mut seq = 0;
        thread::sleep(Duration::from_millis(
            self.first_beat_ms.load(Ordering::SeqCst),
        ));
        loop {
            if self.lives.load(Ordering::SeqCst) != number || self.life.lock().unwrap().is_none() {
                return;
            }
            seq += 1;
            let draining = self.draining.load(Ordering::SeqCst);
            let state = if draining { "draining" } else { "ready" };
            let remaining = if draining {
                ",\"remaining_ms\":30000"
            } else {
                ""
            };
            let clock = self.clock();
            let setup = &self.setup;
            let body = format!(
                "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":{clock},\"seq\":{seq},\"born\":{born}{remaining}}}",
                quote(&setup.service), setup.app, quote(&setup.zone), setup.cpu, setup.mem_mb,
            );
            let path = format!("/api/Instances.Heartbeat/{id}");
            let sending = self.clone();
            let (name, control) = (setup.name.clone(), setup.control);
            // A heartbeat without an acknowledgement within a second is given up;
            // the next one goes out in its turn.
            thread::spawn(move || {
                let answer = http::call(
                    control,
                    "POST",
                    &path,
                    &control.to_string(),
                    "",
                    &body,
                    Duration::from_millis(1000),
                );
                let status = answer.map(|(status, _)| status);
                sending.world.record.line(&format!(
                    "{name}: heartbeat {seq} ({state}) answered {status:?}"
                ));
                if draining && status == Some(200) {
                    let ms = sending.world.record.ms();
                    let _ = sending.draining_acked_ms.compare_exchange(
                        0,
                        ms,
                        Ordering::SeqCst,
                        Ordering::SeqCst,
                    );
                }
            });
            let slept = Instant::now();
            while slept.elapsed() < HEARTBEAT {
                thread::sleep(Duration::from_millis(20));
                if self.draining.load(Ordering::SeqCst) != draining {
                    break;
                }
            }
        }
    }

    fn clock(&self) -> u64 {
        let life = self.life.lock().unwrap();
        life.as_ref()
            .map_or(0, |life| 1000 + life.started.elapsed().as_millis() as u64)
    }

    fn tick(&self) {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return;
        };
        let clock = 1000 + life.started.elapsed().as_millis() as u64;
        let lapsed = clock > life.deadline;
        let mut ends = Vec::new();
        for (key, running) in &life.running {
            if let Some(how) = self.end_of(&key.0, key.1, running, lapsed) {
                ends.push((key.clone(), how));
            }
        }
        for (key, how) in ends {
            self.finish(life, &key, &how);
        }
    }

    fn end_of(&self, task: &str, run: u64, running: &Running, lapsed: bool) -> Option<String> {
        let word = |index: usize| running.spec.split(' ').nth(index).unwrap_or_default();
        let work = Duration::from_millis(word(1).parse().unwrap_or(0));
        if lapsed {
            return Some("lapsed".into());
        }
        if running
            .stopping
            .is_some_and(|since| since.elapsed() >= STOP)
        {
            return Some("stopped".into());
        }
        if word(0) == "last" {
            return None;
        }
        if word(0) != "gang" {
            return (running.begun.elapsed() >= work).then(|| "done".into());
        }
        let mut gangs = self.world.gangs.lock().unwrap();
        let gang = gangs.entry(gang_of(task, run)).or_default();
        let size = self.world.gang_size.load(Ordering::SeqCst) as usize;
        if let Some(ended) = &gang.ended {
            return Some(ended.clone());
        }
        if gang.since.is_none() && gang.present.len() >= size {
            gang.since = Some(Instant::now());
        }
        match gang.since {
            Some(since) if since.elapsed() >= work => {
                gang.ended = Some("done".into());
                Some("done".into())
            }
            None if running.begun.elapsed() >= GANG_WAIT => {
                gang.ended = Some("broken".into());
                Some("alone".into())
            }
            _ => None,
        }
    }

    fn finish(&self, life: &mut Life, key: &(String, u64), how: &str) {
        let Some(running) = life.running.remove(key) else {
            return;
        };
        life.count += 1;
        let floor = life.floors.entry(key.0.clone()).or_default();
        *floor = (*floor).max(key.1);
        if running.spec.starts_with("gang") && how != "done" {
            let mut gangs = self.world.gangs.lock().unwrap();
            let gang = gangs.entry(gang_of(&key.0, key.1)).or_default();
            gang.ended.get_or_insert("broken".into());
        }
        life.finished.push(Finished {
            number: life.count,
            task: key.0.clone(),
            run: key.1,
            how: how.to_owned(),
            fact: running.fact,
        });
        let ms = self.world.record.ms();
        self.world.facts.lock().unwrap()[running.fact].ended = Some((ms, how.to_owned()));
        if !running.spec.starts_with("bulk") {
            self.world.record.line(&format!(
                "{}: {} run {} ends {how} (number {})",
                self.setup.name, key.0, key.1, life.count
            ));
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let wait_ms = body.get("wait_ms").u64().min(2000);
        let answer = {
            let mut guard = self.life.lock().unwrap();
            let Some(life) = guard.as_mut() else {
                return Reply::Silence;
            };
            let expected = request.headers.get("filbertbend-expect-instance");
            if expected.is_some_and(|id| *id != life.id) {
                return Reply::Answer(421, "{}".to_owned());
            }
            match request.path.as_str() {
                "/api/run-start" => Some(self.run_start(life, &body)),
                "/api/run-stop" => Some(self.run_stop(life, &body)),
                "/api/pace" => Some((200, String::new())),
                "/api/hold" => self.hold(life, &body),
                _ => return Reply::Answer(404, "{}".to_owned()),
            }
        };
        if let Some((status, reason)) = answer {
            let reason = if reason.is_empty() {
                String::new()
            } else {
                format!(",\"reason\":{}", quote(&reason))
            };
            return Reply::Answer(status, format!("{{\"clock_ms\":{}{reason}}}", self.clock()));
        }
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let guard = self.life.lock().unwrap();
                let Some(life) = guard.as_ref() else {
                    return Reply::Silence;
                };
                if !life.finished.is_empty() || Instant::now() >= until {
                    return Reply::Answer(200, lists(life));
                }
            }
            thread::sleep(Duration::from_millis(4));
        }
    }

    fn accept(&self, life: &mut Life, body: &Json) -> bool {
        let fence = body.get("fence").u64();
        if fence < life.fence {
            return false;
        }
        life.fence = fence;
        let clock = 1000 + life.started.elapsed().as_millis() as u64;
        let deadline = body.get("deadline_ms").u64().min(clock + HOLD_MAX_MS);
        life.deadline = life.deadline.max(deadline);
        true
    }

    fn run_start(&self, life: &mut Life, body: &Json) -> (u16, String) {
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").u64());
        let clock = 1000 + life.started.elapsed().as_millis() as u64;
        if !self.accept(life, body) {
            return (409, "fence".into());
        }
        if body.get("deadline_ms").u64() <= clock {
            return (409, "late".into());
        }
        if life.running.contains_key(&(task.clone(), run)) {
            return (200, String::new());
        }
        if life.floors.get(&task).is_some_and(|floor| run <= *floor) {
            return (409, "old".into());
        }
        let spec = body.get("spec").text().to_owned();
        let fact = {
            let mut facts = self.world.facts.lock().unwrap();
            facts.push(Fact {
                task: task.clone(),
                run,
                runner: self.setup.name.clone(),
                begun_ms: self.world.record.ms(),
                ended: None,
                noted: false,
            });
            facts.len() - 1
        };
        if !spec.starts_with("bulk") {
            let line = format!("{}: {task} run {run} starts", self.setup.name);
            self.world.record.line(&line);
        }
        let fails = self.failing.load(Ordering::SeqCst);
        let running = Running {
            begun: Instant::now(),
            spec: spec.clone(),
            stopping: None,
            fact,
        };
        let key = (task.clone(), run);
        life.running.insert(key.clone(), running);
        if fails {
            self.finish(life, &key, "failed");
        } else if spec.starts_with("gang") {
            let mut gangs = self.world.gangs.lock().unwrap();
            gangs
                .entry(gang_of(&task, run))
                .or_default()
                .present
                .push(task);
        }
        (200, String::new())
    }

    fn run_stop(&self, life: &mut Life, body: &Json) -> (u16, String) {
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").u64());
        if !self.accept(life, body) {
            return (409, "fence".into());
        }
        let floor = life.floors.entry(task.clone()).or_default();
        *floor = (*floor).max(run);
        if let Some(running) = life.running.get_mut(&(task, run)) {
            running.stopping.get_or_insert_with(Instant::now);
        }
        (200, String::new())
    }

    fn hold(&self, life: &mut Life, body: &Json) -> Option<(u16, String)> {
        if !self.accept(life, body) {
            return Some((409, "fence".into()));
        }
        let acked = body.get("ack_seq").u64();
        let mut facts = self.world.facts.lock().unwrap();
        life.finished.retain(|end| {
            if end.number <= acked {
                facts[end.fact].noted = true;
            }
            end.number > acked
        });
        None
    }
}

/// Returns the name that the members of one run of a gang share.
fn gang_of(task: &str, run: u64) -> String {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    format!("{step} {run}")
}

fn lists(life: &Life) -> String {
    let clock = 1000 + life.started.elapsed().as_millis() as u64;
    let running: Vec<String> = life
        .running
        .keys()
        .map(|(task, run)| format!("[{},{run},\"\",100,0]", quote(task)))
        .collect();
    let finished: Vec<String> = life
        .finished
        .iter()
        .take(500)
        .map(|end| {
            format!(
                "[{},{},{},{},\"\"]",
                end.number,
                quote(&end.task),
                end.run,
                quote(&end.how)
            )
        })
        .collect();
    format!(
        "{{\"clock_ms\":{clock},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        life.born,
        running.join(","),
        finished.join(",")
    )
}
