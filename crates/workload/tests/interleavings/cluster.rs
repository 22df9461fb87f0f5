//! Planners of successive terms, agents and model workers, joined by links and
//! calls that are late, lost or silent in one direction.

mod calls;
mod leader;

use {
    crate::{
        support::profile,
        worker::{Truth, Wall, Worker},
    },
    calls::Pending,
    filbertbend_state::time::Instant,
    filbertbend_workload::{
        agent::{Action as Effect, Agent, Answer, Event as Input},
        id::{Job, Run, Task},
        job,
        message::{Query, Reply, Report, Response},
        planner::{Batch, Event},
        record::{Progress, State},
        worker::{Exit, Profile},
    },
    leader::Leader,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, sync::Arc},
};

const LEADER_TIMEOUT: u64 = 1600;
const WELCOME_TIMEOUT: u64 = 3000;

pub(crate) use calls::Restarts;

/// A message to a leader.
pub(crate) enum Message {
    Hello,
    Report(Box<Report>),
    Ping,
    Closed,
}

/// Something that happens at a time.
enum Happening {
    Agent(usize, u64, Box<Input>),
    AgentTick(usize),
    Dial(usize, u64),
    Response(usize, Box<Response>),
    Message(usize, Message),
    LeaderTick(usize),
    Persist(usize, Batch),
    Arrive(u64),
    Answer(u64, Answer),
    Wait(usize),
    Timeout(u64),
    Heartbeat(usize),
    Thaw(usize),
    /// The end of a run on a life of a worker.
    Finish(usize, u64, Task, Run, Exit),
    Expire(usize),
    Restart(usize, Wall),
    Submit(Job, Arc<job::Job>),
}

struct Session {
    agent: usize,
    generation: u64,
    leader: usize,
    open: bool,
    welcomed: bool,
    heard: u64,
    /// Until when nothing arrives at the leader and at the agent.
    silent: [u64; 2],
    /// When the last message arrives at the leader and at the agent.
    arrived: [u64; 2],
}

struct Side {
    agent: Agent,
    generation: u64,
    link: Option<usize>,
    cut_until: u64,
    /// Until when the agent does not hear of a new leader.
    blind_until: u64,
    /// Until when calls to the worker are lost.
    silent_until: u64,
    /// Until when the worker sends no heartbeat.
    quiet_until: u64,
    /// Until when the agent does nothing.
    frozen_until: u64,
    /// What has happened to the agent since.
    backlog: Vec<Input>,
}

/// How often calls and messages are late or lost, in percent.
#[derive(Clone, Copy, Default)]
pub(crate) struct Disorder {
    pub(crate) late: u32,
    pub(crate) lost: u32,
}

pub(crate) struct Cluster {
    pub(crate) now: u64,
    rng: ChaCha8Rng,
    order: u64,
    queue: BTreeMap<(u64, u64), Happening>,
    pub(crate) workers: Vec<Worker>,
    sides: Vec<Side>,
    links: Vec<Session>,
    leaders: Vec<Leader>,
    calls: BTreeMap<u64, Pending>,
    /// The polls that wait for an end of each worker.
    waiting: Vec<Vec<u64>>,
    jobs: BTreeMap<Job, Arc<job::Job>>,
    stored: BTreeMap<Job, Progress>,
    pub(crate) truth: Truth,
    pub(crate) disorder: Disorder,
    pub(crate) restarts: Restarts,
    /// The longest duration of a run.
    pub(crate) run_limit: u64,
}

impl Cluster {
    pub(crate) fn new(seed: u64, workers: usize) -> Self {
        let mut cluster = Self {
            now: 100_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            order: 0,
            queue: BTreeMap::new(),
            workers: Vec::new(),
            sides: Vec::new(),
            links: Vec::new(),
            leaders: Vec::new(),
            calls: BTreeMap::new(),
            waiting: vec![Vec::new(); workers],
            jobs: BTreeMap::new(),
            stored: BTreeMap::new(),
            truth: Truth::default(),
            disorder: Disorder::default(),
            restarts: Restarts::default(),
            run_limit: 5000,
        };
        cluster.lead();
        for number in 0..workers {
            let mut worker = Worker::new(number, profile(number as u64));
            worker.speed = cluster.pick(980, 1000);
            let age = cluster.pick(1, 90_000);
            worker.restart(cluster.now - age, Wall::Right);
            cluster.workers.push(worker);
            cluster.sides.push(Side {
                agent: Agent::default(),
                generation: 0,
                link: None,
                cut_until: 0,
                blind_until: 0,
                silent_until: 0,
                quiet_until: 0,
                frozen_until: 0,
                backlog: Vec::new(),
            });
            cluster.at(0, Happening::Heartbeat(number));
            cluster.at(1, Happening::AgentTick(number));
            cluster.at(5, Happening::Dial(number, 0));
        }
        cluster
    }

    pub(crate) fn pick(&mut self, low: u64, high: u64) -> u64 {
        self.rng.random_range(low..=high)
    }

    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn at(&mut self, delay: u64, happening: Happening) {
        self.order += 1;
        self.queue.insert((self.now + delay, self.order), happening);
    }

    pub(crate) fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            self.now = entry.key().0;
            let happening = entry.remove();
            self.happen(happening);
        }
        self.now = end;
    }

    pub(crate) fn submit(&mut self, delay: u64, id: u64, job: Arc<job::Job>) {
        self.at(delay, Happening::Submit(Job(id), job));
    }

    /// Lists the jobs that the newest leader does not show as complete.
    pub(crate) fn open(&self) -> Vec<Job> {
        let planner = &self.leaders[self.leaders.len() - 1].planner;
        let is_open = |id: &Job| match planner.answer(&Query::State(*id)) {
            Reply::State(Some(State::Complete)) => false,
            Reply::State(Some(State::Failed)) => !self.truth.may_be_given_up(*id),
            _ => true,
        };
        self.jobs.keys().copied().filter(is_open).collect()
    }

    /// Returns whether all jobs are complete or rightly given up, and all ends acknowledged.
    pub(crate) fn is_settled(&self) -> bool {
        self.open().is_empty() && !self.workers.iter().any(Worker::has_ends)
    }

    /// Returns whether nothing runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.workers.iter().all(Worker::is_idle)
    }

    pub(crate) fn cut(&mut self, side: usize, span: u64) {
        self.sides[side].cut_until = self.now + span;
        if let Some(link) = self.sides[side].link {
            self.links[link].silent = [self.now + span; 2];
        }
    }

    /// Keeps the news of a new leader from an agent.
    pub(crate) fn blind(&mut self, side: usize, span: u64) {
        self.sides[side].blind_until = self.now + span;
    }

    /// Loses all calls of an agent to its worker, which runs on.
    pub(crate) fn silence_worker(&mut self, side: usize, span: u64) {
        self.sides[side].silent_until = self.now + span;
    }

    /// Makes a link silent towards the leader (0) or the agent (1).
    pub(crate) fn mute(&mut self, side: usize, direction: usize, span: u64) {
        if let Some(link) = self.sides[side].link {
            self.links[link].silent[direction] = self.now + span;
        }
    }

    pub(crate) fn drop_link(&mut self, side: usize) {
        if let Some(link) = self.sides[side].link {
            self.break_link(link);
        }
    }

    pub(crate) fn kill_agent(&mut self, side: usize) {
        self.drop_link(side);
        let found = &mut self.sides[side];
        found.agent = Agent::default();
        found.frozen_until = 0;
        found.backlog.clear();
        found.generation += 1;
        found.link = None;
        let generation = found.generation;
        let delay = self.pick(100, 2500);
        self.at(delay, Happening::Dial(side, generation));
    }

    pub(crate) fn restart_worker(&mut self, side: usize, delay: u64) {
        self.restart_worker_at(side, delay, Wall::Right);
    }

    pub(crate) fn restart_worker_at(&mut self, side: usize, delay: u64, wall: Wall) {
        if self.workers[side].up {
            self.workers[side].crash(&mut self.truth);
            self.waiting[side].clear();
            if self.restarts.closes {
                self.close_calls(side);
            }
            self.at(delay, Happening::Restart(side, wall));
        }
    }

    /// Stops an agent, to which everything happens after `span`.
    pub(crate) fn freeze_agent(&mut self, side: usize, span: u64) {
        let frozen_until = &mut self.sides[side].frozen_until;
        *frozen_until = (*frozen_until).max(self.now + span);
        self.at(span, Happening::Thaw(side));
    }

    fn thaw(&mut self, side: usize) {
        if self.sides[side].frozen_until <= self.now {
            for input in std::mem::take(&mut self.sides[side].backlog) {
                self.agent(side, input);
            }
        }
    }

    /// Closes a link. What is under way is lost.
    fn break_link(&mut self, link: usize) {
        let found = &mut self.links[link];
        if !std::mem::take(&mut found.open) {
            return;
        }
        let (side, generation, silent) = (found.agent, found.generation, found.silent[0]);
        let seen = silent.saturating_sub(self.now) + self.pick(1, 300);
        self.at(seen.min(6000), Happening::Message(link, Message::Closed));
        if self.sides[side].generation == generation && self.sides[side].link == Some(link) {
            self.sides[side].link = None;
            self.agent(side, Input::Disconnected);
            let delay = self.pick(50, 400);
            self.at(delay, Happening::Dial(side, generation));
        }
    }

    fn dial(&mut self, side: usize, generation: u64) {
        let leader = self.leaders.len() - 1;
        if self.sides[side].generation != generation || self.sides[side].link.is_some() {
            return;
        }
        let found = &self.sides[side];
        let unable = found.cut_until.max(found.blind_until) > self.now;
        if unable || self.leaders[leader].ended {
            return self.at(100, Happening::Dial(side, generation));
        }
        self.links.push(Session {
            agent: side,
            generation,
            leader,
            open: true,
            welcomed: false,
            heard: self.now,
            silent: [0; 2],
            arrived: [0; 2],
        });
        self.sides[side].link = Some(self.links.len() - 1);
        self.agent(side, Input::Connected);
    }

    /// Returns after which delay a message on a link arrives.
    fn transfer(&mut self, link: usize, direction: usize) -> u64 {
        let late = self.chance(self.disorder.late / 4);
        let delay = if late {
            self.pick(10, 1500)
        } else {
            self.pick(1, 4)
        };
        let now = self.now;
        let found = &mut self.links[link];
        let sent = now.max(found.silent[direction]) + delay;
        found.arrived[direction] = found.arrived[direction].max(sent);
        found.arrived[direction] - now
    }

    fn message(&mut self, side: usize, message: Message) {
        if let Some(link) = self.sides[side].link {
            let delay = self.transfer(link, 0);
            self.at(delay, Happening::Message(link, message));
        }
    }

    fn agent(&mut self, side: usize, input: Input) {
        let found = &mut self.sides[side];
        if found.frozen_until > self.now || !found.backlog.is_empty() {
            return found.backlog.push(input);
        }
        let mut effects = Vec::new();
        let now = Instant(self.now);
        self.sides[side].agent.step(now, input, &mut effects);
        for effect in effects {
            match effect {
                Effect::Hello => self.message(side, Message::Hello),
                Effect::Send(report) => self.message(side, Message::Report(report)),
                Effect::Ping => self.message(side, Message::Ping),
                Effect::Call(call) => self.call(side, call),
                Effect::Crashed(_) | Effect::Rejected(_) => {}
            }
        }
    }

    fn agent_tick(&mut self, side: usize) {
        let frozen = self.sides[side].frozen_until.saturating_sub(self.now);
        if frozen > 0 {
            return self.at(frozen, Happening::AgentTick(side));
        }
        if let Some(link) = self.sides[side].link {
            let found = &self.links[link];
            let limit = if found.welcomed {
                LEADER_TIMEOUT
            } else {
                WELCOME_TIMEOUT
            };
            let is_blind = self.sides[side].blind_until > self.now;
            let replaced = found.leader < self.leaders.len() - 1 && !is_blind && self.chance(5);
            if replaced || self.now > self.links[link].heard + limit {
                self.break_link(link);
            }
        }
        self.agent(side, Input::Tick);
        self.at(60, Happening::AgentTick(side));
    }

    fn heartbeat(&mut self, side: usize) {
        if self.workers[side].up && self.sides[side].quiet_until <= self.now {
            let late = self.chance(self.disorder.late);
            let delay = if late { self.pick(5, 2500) } else { 2 };
            let profile: Profile = self.workers[side].profile.clone();
            let generation = self.sides[side].generation;
            let heartbeat = Box::new(Input::Heartbeat(profile));
            self.at(delay, Happening::Agent(side, generation, heartbeat));
        }
        self.at(700, Happening::Heartbeat(side));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Agent(side, generation, input) => {
                if self.sides[side].generation == generation {
                    self.agent(side, *input);
                }
            }
            Happening::AgentTick(side) => self.agent_tick(side),
            Happening::Dial(side, generation) => self.dial(side, generation),
            Happening::Response(link, response) => {
                let found = &mut self.links[link];
                if !found.open {
                    return;
                }
                found.heard = self.now;
                found.welcomed |= matches!(*response, Response::Welcome { .. });
                let side = found.agent;
                match *response {
                    Response::Welcome {
                        epoch,
                        fence,
                        profile,
                    } => self.agent(side, Input::Welcome(epoch, fence, profile)),
                    Response::Orders(orders) => self.agent(side, Input::Orders(orders)),
                    _ => {}
                }
            }
            Happening::Message(link, message) => {
                let leader = self.links[link].leader;
                if self.links[link].open || matches!(message, Message::Closed) {
                    if matches!(message, Message::Ping) {
                        let delay = self.transfer(link, 1);
                        let pong = Box::new(Response::Pong);
                        self.at(delay, Happening::Response(link, pong));
                    }
                    let entry = (self.now, link, message);
                    self.leaders[leader].inbox.push_back(entry);
                    self.read(leader);
                }
            }
            Happening::LeaderTick(leader) => self.leader_tick(leader),
            Happening::Persist(leader, batch) => self.persist(leader, batch),
            Happening::Arrive(id) => self.arrive(id),
            Happening::Answer(id, answer) => self.answered(id, answer),
            Happening::Wait(side) => self.wake(side),
            Happening::Timeout(id) => self.answered(id, Answer::Lost),
            Happening::Heartbeat(side) => self.heartbeat(side),
            Happening::Thaw(side) => self.thaw(side),
            Happening::Finish(side, life, task, run, exit) => {
                if self.workers[side].life == life {
                    self.workers[side].finish(task, run, exit, &mut self.truth);
                    if self.workers[side].has_ends() {
                        self.wake(side);
                    }
                }
            }
            Happening::Expire(side) => self.workers[side].expire(self.now, &mut self.truth),
            Happening::Restart(side, wall) => {
                self.workers[side].restart(self.now, wall);
                if self.restarts.notice > 0 {
                    let notice = self.pick(0, self.restarts.notice);
                    self.sides[side].quiet_until = self.now + notice;
                }
                self.heartbeat(side);
            }
            Happening::Submit(id, job) => {
                self.jobs.insert(id, job.clone());
                let leader = self.leaders.len() - 1;
                if !self.leaders[leader].ended {
                    self.plan(leader, Event::Submitted(id, job));
                }
            }
        }
    }
}
