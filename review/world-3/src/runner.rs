//! A stand-in of a runner: it runs tasks on the orders of its machine's agent.

use crate::{
    http::{self, Reply, Request, Server},
    json::{quote, Json},
    record::Record,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The longest lease that a runner accepts.
const HOLD_MAX_MS: u64 = 10_000;
/// What a runner has room for.
const CAPACITY: &str = r#"{"cpu":16000,"mem_mb":32768,"gpu":0}"#;
/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// What stays the same over all lives of a runner.
#[derive(Clone)]
pub struct Place {
    pub name: String,
    pub service: String,
    pub zone: String,
    /// Where the runner accepts calls.
    pub app: SocketAddr,
    /// Where the agent accepts heartbeats.
    pub control: SocketAddr,
    /// Kind and rack.
    pub labels: Vec<String>,
}

struct Run {
    number: u64,
    since: Instant,
    lasts: Option<Duration>,
    saved: String,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

/// One life of a runner.
struct Life {
    id: String,
    born: u64,
    began: Instant,
    fence: u64,
    deadline: u64,
    running: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
    sequence: u64,
    is_draining: bool,
}

/// Starts that get no answer.
#[derive(Clone)]
pub struct Unanswered {
    /// The job that they are of.
    pub job: &'static str,
    /// How many there are, over all runners that share this.
    pub left: Arc<AtomicUsize>,
    /// When they are carried out.
    pub carried_out: Instant,
}

#[derive(Default)]
struct State {
    life: Option<Life>,
    server: Option<Server>,
    lives: u64,
    unanswered: Option<Unanswered>,
    has_unanswered: bool,
    drain_acknowledged: Option<f64>,
}

#[derive(Clone)]
pub struct Runner {
    pub place: Place,
    state: Arc<(Mutex<State>, Condvar)>,
    /// All starts and ends, for the judgement of the play.
    pub history: Arc<Mutex<Vec<Event>>>,
    record: Record,
}

/// Something that a runner has done.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: f64,
    pub task: String,
    pub run: u64,
    pub runner: String,
    /// `start`, how the run ended, `crash`, or `taken note of`.
    pub what: String,
}

impl Life {
    fn heartbeat(&self, place: &Place) -> String {
        let labels: Vec<String> = place.labels.iter().map(|label| quote(label)).collect();
        let state = match self.is_draining {
            true => "\"draining\",\"remaining_ms\":30000",
            false => "\"ready\"",
        };
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":{state},\"cold_left_ms\":0,\"capacity\":{CAPACITY},\"labels\":[{}],\"clock_ms\":{},\"seq\":{},\"born\":{}}}",
            quote(&place.service), place.app, quote(&place.zone), labels.join(","),
            self.clock(), self.sequence, self.born
        )
    }

    fn clock(&self) -> u64 {
        1000 + self.began.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<u64> {
        let run = self.running.remove(task)?;
        self.last_end += 1;
        let over = self.over.entry(task.to_owned()).or_insert(0);
        *over = run.number.max(*over);
        let (task, number) = (task.to_owned(), self.last_end);
        self.ends.push(End {
            number,
            task,
            run: run.number,
            how,
            saved: run.saved,
        });
        Some(run.number)
    }
}

impl Runner {
    pub fn new(place: Place, history: Arc<Mutex<Vec<Event>>>, record: Record) -> Runner {
        let runner = Runner {
            place,
            state: Arc::default(),
            history,
            record,
        };
        let ticking = runner.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            ticking.tick();
        });
        runner
    }

    fn note(&self, task: &str, run: u64, what: &str) {
        let (runner, what) = (self.place.name.clone(), what.to_owned());
        let event = Event {
            at: self.record.time(),
            task: task.into(),
            run,
            runner,
            what,
        };
        self.record
            .line(format!("{}: {task} run {run} {}", event.runner, event.what));
        self.history.lock().unwrap().push(event);
    }

    pub fn leave_unanswered(&self, starts: Unanswered) {
        self.state.0.lock().unwrap().unanswered = Some(starts);
    }

    /// Starts the next life, under a new id.
    pub fn start(&self) {
        let lives = {
            let mut state = self.state.0.lock().unwrap();
            state.lives += 1;
            state.lives
        };
        self.begin(format!("i-{}-{lives}", self.place.name), Duration::ZERO);
    }

    /// Starts the next life under the id of the last one. Its first heartbeat comes
    /// after `quiet`.
    pub fn start_again(&self, quiet: Duration) {
        let lives = self.state.0.lock().unwrap().lives;
        self.begin(format!("i-{}-{lives}", self.place.name), quiet);
    }

    fn begin(&self, id: String, quiet: Duration) {
        let mut state = self.state.0.lock().unwrap();
        self.record.line(format!("{}: up as {id}", self.place.name));
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        state.life = Some(Life {
            id: id.clone(),
            born: born.as_millis() as u64,
            began: Instant::now(),
            fence: 0,
            deadline: 0,
            running: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            over: BTreeMap::new(),
            sequence: 0,
            is_draining: false,
        });
        let serving = self.clone();
        state.server = Some(Server::start(self.place.app, move |request| {
            serving.handle(&request)
        }));
        let beating = self.clone();
        thread::spawn(move || {
            thread::sleep(quiet);
            beating.beat(&id);
        });
    }

    /// Ends the present life without notice.
    pub fn crash(&self) {
        let mut state = self.state.0.lock().unwrap();
        let (life, server) = (state.life.take(), state.server.take());
        drop(state);
        self.state.1.notify_all();
        if let Some(server) = server {
            server.close();
        }
        self.record.line(format!("{}: crashes", self.place.name));
        for (task, run) in life.map(|life| life.running).unwrap_or_default() {
            self.note(&task, run.number, "crash");
        }
    }

    /// Reports from now on that the runner drains, and that it stays for 30 s.
    pub fn drain(&self) {
        if let Some(life) = &mut self.state.0.lock().unwrap().life {
            life.is_draining = true;
        }
    }

    /// When the runner's draining was first acknowledged.
    pub fn drain_acknowledged(&self) -> Option<f64> {
        self.state.0.lock().unwrap().drain_acknowledged
    }

    /// Sends a heartbeat that another writer has made: it lacks `labels` and
    /// `clock_ms`, and says that the runner is ready.
    pub fn send_foreign_heartbeat(&self) {
        let state = self.state.0.lock().unwrap();
        let Some(life) = &state.life else { return };
        let place = &self.place;
        let body = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{CAPACITY},\"seq\":{},\"born\":{}}}",
            quote(&place.service), place.app, quote(&place.zone), life.sequence + 1, life.born
        );
        let path = format!("/api/Instances.Heartbeat/{}", life.id);
        drop(state);
        let limit = Duration::from_secs(1);
        let answer = http::call(place.control, "POST", "control", &path, &body, limit);
        let status = answer.map(|(status, _)| status);
        self.record
            .line(format!("another writer: heartbeat {body}: {status:?}"));
    }

    fn beat(&self, id: &str) {
        let mut is_told = false;
        loop {
            let mut state = self.state.0.lock().unwrap();
            let Some(life) = state.life.as_mut().filter(|life| life.id == id) else {
                return;
            };
            life.sequence += 1;
            let body = life.heartbeat(&self.place);
            let is_draining = life.is_draining;
            drop(state);
            let path = format!("/api/Instances.Heartbeat/{id}");
            let limit = Duration::from_secs(1);
            let answered = http::call(self.place.control, "POST", "control", &path, &body, limit);
            let is_acknowledged = answered.is_some_and(|(status, _)| status / 100 == 2);
            if is_acknowledged && is_draining && !std::mem::replace(&mut is_told, true) {
                self.record
                    .line(format!("{}: draining is acknowledged", self.place.name));
                self.state.0.lock().unwrap().drain_acknowledged = Some(self.record.time());
            }
            // Without an acknowledgement the runner tries again soon.
            thread::sleep(if is_acknowledged {
                HEARTBEAT
            } else {
                Duration::from_millis(200)
            });
        }
    }

    fn tick(&self) {
        let mut state = self.state.0.lock().unwrap();
        let Some(life) = state.life.as_mut() else {
            return;
        };
        let lapsed = life.clock() > life.deadline;
        let running = life.running.iter();
        let over: Vec<(String, &'static str)> = running
            .filter_map(|(task, run)| {
                if lapsed {
                    return Some((task.clone(), "lapsed"));
                }
                let is_over = run.lasts.is_some_and(|lasts| run.since.elapsed() >= lasts);
                is_over.then(|| (task.clone(), "done"))
            })
            .collect();
        for (task, how) in over {
            if let Some(run) = life.end(&task, how) {
                self.note(&task, run, how);
            }
            self.state.1.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let task = body.text("task").unwrap_or("");
        let is_start = request.path == "/api/run-start";
        let starts = self.state.0.lock().unwrap().unanswered.clone();
        let starts = starts.filter(|starts| is_start && task.starts_with(starts.job));
        let take = |left: usize| left.checked_sub(1);
        let order = Ordering::SeqCst;
        if let Some(starts) =
            starts.filter(|known| known.left.fetch_update(order, order, take).is_ok())
        {
            self.carry_out_late(request, starts.carried_out);
            thread::sleep(Duration::from_secs(3));
            return Reply::Close;
        }
        self.carry_out(request)
    }

    /// Whether a start here was left unanswered.
    pub fn has_unanswered(&self) -> bool {
        self.state.0.lock().unwrap().has_unanswered
    }

    fn carry_out_late(&self, request: &Request, at: Instant) {
        self.state.0.lock().unwrap().has_unanswered = true;
        let (runner, request) = (self.clone(), request.clone());
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let name = self.place.name.clone();
        self.record
            .line(format!("{name}: no answer to the start {text}"));
        thread::spawn(move || {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let shown = match runner.carry_out(&request) {
                Reply::Answer(status, body) => format!("{status} {body}"),
                Reply::Close => "the runner is down".into(),
            };
            runner
                .record
                .line(format!("{name}: late, the start {text}: {shown}"));
        });
    }

    fn carry_out(&self, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.state.0.lock().unwrap();
        let Some(life) = state.life.as_mut() else {
            return Reply::Close;
        };
        let clock = life.clock();
        if request
            .header("Filbertbend-Expect-Instance")
            .is_some_and(|id| id != life.id)
        {
            return Reply::Answer(421, format!("{{\"clock_ms\":{clock}}}"));
        }
        let refuse = |reason| {
            Reply::Answer(
                409,
                format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"),
            )
        };
        let fence = body.number("fence").unwrap_or(0);
        if fence < life.fence {
            return refuse("fence");
        }
        life.fence = fence;
        if let Some(deadline) = body.number("deadline_ms") {
            if deadline <= clock {
                return refuse("late");
            }
            life.deadline = life.deadline.max(deadline.min(clock + HOLD_MAX_MS));
        }
        let task = body.text("task").unwrap_or("").to_owned();
        let run = body.number("run").unwrap_or(0);
        let done = Reply::Answer(
            200,
            format!("{{\"clock_ms\":{clock},\"born\":{}}}", life.born),
        );
        match request.path.as_str() {
            "/api/run-start" => {
                if life
                    .running
                    .get(&task)
                    .is_some_and(|known| known.number == run)
                {
                    return done;
                }
                if life.over.get(&task).is_some_and(|over| run <= *over)
                    || life.running.contains_key(&task)
                {
                    return refuse("old");
                }
                let spec = body.text("spec").unwrap_or("");
                let lasts = spec.strip_prefix("ms=").and_then(|ms| ms.parse().ok());
                let since = Instant::now();
                let lasts = lasts.map(Duration::from_millis);
                let saved = body.text("last_checkpoint").unwrap_or("").to_owned();
                life.running.insert(
                    task.clone(),
                    Run {
                        number: run,
                        since,
                        lasts,
                        saved,
                    },
                );
                self.note(&task, run, "start");
                done
            }
            "/api/run-stop" => {
                let over = life.over.entry(task.clone()).or_insert(0);
                *over = run.max(*over);
                if life
                    .running
                    .get(&task)
                    .is_some_and(|known| known.number == run)
                {
                    life.end(&task, "stopped");
                    self.note(&task, run, "stopped");
                    self.state.1.notify_all();
                }
                done
            }
            "/api/pace" => done,
            "/api/hold" => {
                let acknowledged = body.number("ack_seq").unwrap_or(0);
                for end in life.ends.iter().filter(|end| end.number <= acknowledged) {
                    self.note(&end.task, end.run, "taken note of");
                }
                life.ends.retain(|end| end.number > acknowledged);
                let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0));
                let (id, until) = (life.id.clone(), Instant::now() + wait);
                loop {
                    let Some(life) = state.life.as_ref().filter(|life| life.id == id) else {
                        return Reply::Close;
                    };
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.ends.is_empty() || left.is_zero() {
                        return Reply::Answer(200, lists(life));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Reply::Answer(404, "{}".into()),
        }
    }
}

fn lists(life: &Life) -> String {
    let running = life.running.iter();
    let running: Vec<String> = running
        .map(|(task, run)| {
            format!(
                "[{},{},{},50,1]",
                quote(task),
                run.number,
                quote(&run.saved)
            )
        })
        .collect();
    let ends = life.ends.iter().take(500);
    let ends: Vec<String> = ends
        .map(|end| {
            format!(
                "[{},{},{},\"{}\",{}]",
                end.number,
                quote(&end.task),
                end.run,
                end.how,
                quote(&end.saved)
            )
        })
        .collect();
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        life.clock(),
        life.born,
        running.join(","),
        ends.join(",")
    )
}
