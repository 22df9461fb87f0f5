//! The leaders of successive terms.

use {
    super::{Cluster, Happening, Message},
    crate::support::{catalog, node, settings},
    filbertbend_state::{
        time::{Instant, Wall},
        unit::Millis,
    },
    filbertbend_workload::{
        id::{Epoch, Link, Node, Run, Task},
        leadership::Leadership,
        planner::{Action, Batch, Decision, Event, Planner, Reason, Write, FORMER_LEASE_BOUND},
    },
    std::{collections::VecDeque, sync::Arc},
};

/// How late a message is read for the planner to be told of the delay.
const DELAY_THRESHOLD: u64 = 250;

pub(super) struct Leader {
    pub(super) planner: Planner,
    pub(super) leadership: Leadership,
    pub(super) inbox: VecDeque<(u64, usize, Message)>,
    pub(super) ended: bool,
    pub(super) paused_until: u64,
    /// Until when messages are read only `lag` milliseconds late.
    pub(super) lagging_until: u64,
    pub(super) cut_until: u64,
    pub(super) lag: u64,
    pub(super) last_tick: u64,
    began: u64,
    ended_at: u64,
    /// Whether it has been told that the leader before is gone.
    told: bool,
}

impl Cluster {
    /// Begins a new term, which reads what is stored.
    pub(crate) fn lead(&mut self) {
        let epoch = self.leaders.len() as u64 + 1;
        let mut leadership = Leadership::default();
        leadership.confirm(Instant(self.now));
        self.leaders.push(Leader {
            planner: Planner::new(settings(), Epoch(epoch), Instant(self.now)),
            leadership,
            inbox: VecDeque::new(),
            ended: false,
            paused_until: 0,
            lagging_until: 0,
            cut_until: 0,
            lag: 0,
            last_tick: self.now,
            began: self.now,
            ended_at: 0,
            told: false,
        });
        let leader = self.leaders.len() - 1;
        self.plan(leader, Event::Configured(Arc::new(catalog(0, 1000))));
        for (id, job) in self.jobs.clone() {
            let progress = self.stored.get(&id).cloned().unwrap_or_default();
            self.plan(leader, Event::Recovered(id, job, progress));
        }
        self.plan(leader, Event::Loaded);
        self.at(7, Happening::LeaderTick(leader));
    }

    pub(crate) fn kill_leader(&mut self) {
        let leader = self.leaders.len() - 1;
        self.end_leader(leader);
    }

    pub(super) fn end_leader(&mut self, leader: usize) {
        self.leaders[leader].ended = true;
        self.leaders[leader].ended_at = self.now;
        for link in 0..self.links.len() {
            if self.links[link].leader == leader {
                self.break_link(link);
            }
        }
    }

    pub(crate) fn pause_leader(&mut self, span: u64) {
        let until = self.now + span;
        self.leaders.last_mut().expect("a leader").paused_until = until;
    }

    pub(crate) fn slow_leader(&mut self, lag: u64, span: u64) {
        let until = self.now + span;
        let leader = self.leaders.last_mut().expect("a leader");
        (leader.lag, leader.lagging_until) = (lag, until);
    }

    /// Cuts the leader off from the store, so that another may lead.
    pub(crate) fn cut_leader(&mut self, span: u64) {
        let until = self.now + span;
        self.leaders.last_mut().expect("a leader").cut_until = until;
    }

    pub(super) fn plan(&mut self, leader: usize, event: Event) {
        let mut actions = Vec::new();
        let (now, wall) = (Instant(self.now), Wall(self.now));
        let found = &mut self.leaders[leader];
        let until = found.leadership.valid_until();
        found.planner.step(now, wall, until, event, &mut actions);
        for action in actions {
            match action {
                Action::Send(link, response) => {
                    let delay = self.transfer(link.0 as usize, 1);
                    let response = Happening::Response(link.0 as usize, Box::new(response));
                    self.at(delay, response);
                }
                Action::Persist(batch) => {
                    let late = self.chance(self.disorder.late);
                    let delay = if late { self.pick(5, 3000) } else { 5 };
                    self.at(delay, Happening::Persist(leader, batch));
                }
                Action::Decided(Decision::Lost {
                    reason: Reason::LeasePassed,
                    node: lost,
                    task,
                    run,
                    ..
                }) if leader == self.leaders.len() - 1 => self.lost(&lost, task, run),
                Action::Decided(_) => {}
            }
        }
    }

    /// Checks that the lease of a lost run has expired.
    fn lost(&mut self, lost: &Node, task: Task, run: Run) {
        self.truth.abandoned += 1;
        let holders = (0..self.workers.len()).filter(|side| node(*side as u64) == *lost);
        for side in holders.filter(|side| self.workers[*side].may_run(self.now, task, run)) {
            let left = self.workers[side].remaining(self.now);
            let found = format!("{lost} keeps its lease of {task} for {left} ms");
            self.truth.violations.push(found);
        }
    }

    pub(super) fn persist(&mut self, leader: usize, batch: Batch) {
        let newest = self.leaders.len() - 1;
        let found = &self.leaders[leader];
        if found.ended {
            return;
        }
        if found.cut_until > self.now {
            return self.at(
                found.cut_until - self.now,
                Happening::Persist(leader, batch),
            );
        }
        if leader < newest {
            return self.end_leader(leader);
        }
        for write in &batch.writes {
            match write {
                Write::Progress(id, progress) => self.stored.insert(*id, progress.clone()),
                Write::Remove(id) => self.stored.remove(id),
            };
        }
        self.plan(leader, Event::Persisted(batch.number));
    }

    /// Tells a leader that the one before has ended, if the leases of earlier ones
    /// were over by then.
    fn tell_former_term_over(&mut self, leader: usize) {
        let Some(former) = leader.checked_sub(1).map(|former| &self.leaders[former]) else {
            return;
        };
        let age = Millis(self.now - former.ended_at.min(self.now));
        let settled = former.began + FORMER_LEASE_BOUND.0 <= former.ended_at;
        if former.ended && (settled || leader == 1) && !self.leaders[leader].told {
            self.leaders[leader].told = true;
            self.plan(leader, Event::FormerTermOver(age));
        }
    }

    pub(super) fn read(&mut self, leader: usize) {
        let found = &mut self.leaders[leader];
        let now = self.now;
        let lag = if found.lagging_until > now {
            found.lag
        } else {
            0
        };
        while !self.leaders[leader].ended && self.leaders[leader].paused_until <= now {
            let found = &mut self.leaders[leader];
            let first = found.inbox.front();
            if first.is_none_or(|(since, ..)| now < since + lag) {
                return;
            }
            let Some((since, link, message)) = found.inbox.pop_front() else {
                return;
            };
            if now - since >= DELAY_THRESHOLD {
                self.plan(leader, Event::Delayed(Millis(now - since)));
            }
            let number = Link(link as u64);
            match message {
                Message::Hello => {
                    let node = node(self.links[link].agent as u64);
                    self.plan(leader, Event::Opened(number, node));
                }
                Message::Report(report) => self.plan(leader, Event::Report(number, report)),
                Message::Closed => self.plan(leader, Event::Closed(number)),
                Message::Ping => {}
            }
        }
    }

    pub(super) fn leader_tick(&mut self, leader: usize) {
        let newest = leader == self.leaders.len() - 1;
        let now = self.now;
        let found = &mut self.leaders[leader];
        if found.ended {
            return;
        }
        let paused = found.paused_until.saturating_sub(now);
        if paused > 0 {
            return self.at(paused, Happening::LeaderTick(leader));
        }
        if found.cut_until <= now {
            if !newest {
                return self.end_leader(leader);
            }
            found.leadership.confirm(Instant(now));
        }
        if newest && self.chance(5) {
            self.tell_former_term_over(leader);
        }
        let found = &mut self.leaders[leader];
        let gap = now - std::mem::replace(&mut found.last_tick, now);
        if self.chance(50) {
            self.read(leader);
        }
        if gap >= DELAY_THRESHOLD {
            self.plan(leader, Event::Delayed(Millis(gap)));
        }
        self.plan(leader, Event::Tick);
        self.read(leader);
        self.at(50, Happening::LeaderTick(leader));
    }
}
