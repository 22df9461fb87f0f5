//! The beginning of sessions with agents, and the end of lost runs.

use {
    super::{Action, Decision, Planner, Reason},
    crate::{
        id::{Fence, Link, Node, Run, Task},
        message::Response,
    },
    filbertbend_state::unit::Millis,
};

impl Planner {
    /// Opens a session, or defers it until all jobs are loaded: until then its
    /// reports would concern unknown jobs.
    pub(super) fn open(&mut self, link: Link, node: Node, actions: &mut Vec<Action>) {
        if !self.loaded {
            self.waiting_sessions.push((link, node));
            return;
        }
        self.sessions += 1;
        let fence = Fence::new(self.epoch, self.sessions);
        self.fleet
            .open(link, node.clone(), fence, self.now, &self.settings);
        let welcome = Response::Welcome {
            epoch: self.epoch,
            fence,
            profile: self
                .fleet
                .get(&node)
                .and_then(|worker| worker.profile.clone()),
        };
        actions.push(Action::Send(link, welcome));
    }

    /// Removes every run on a worker whose lease has certainly expired. If its
    /// agent is connected, it gets a new session: a start of the present one
    /// could still take effect once the worker has a lease again. Before that,
    /// removes those that are over already.
    pub(super) fn abandon(&mut self, node: &Node, actions: &mut Vec<Action>) {
        let lease_until = self.fleet.get(node).and_then(|worker| worker.lease_until);
        if lease_until.is_some_and(|until| self.now < until) {
            let over = self.fleet.clear_early(node);
            return self.remove_lost(node, over, actions);
        }
        let over = self.fleet.clear(node);
        self.remove_lost(node, over, actions);
        if let Some(link) = self.fleet.get(node).and_then(|worker| worker.link) {
            self.open(link, node.clone(), actions);
        }
    }

    /// Removes runs whose lease has passed.
    fn remove_lost(&mut self, node: &Node, runs: Vec<(Task, Run)>, actions: &mut Vec<Action>) {
        let silent = self.silence(node);
        for (task, run) in runs {
            self.remove_execution(task, run, actions);
            actions.push(Action::Decided(Decision::Lost {
                task,
                run,
                node: node.clone(),
                reason: Reason::LeasePassed,
                silent,
            }));
        }
    }

    /// Returns the time since the last report of a worker.
    pub(super) fn silence(&self, node: &Node) -> Millis {
        let worker = self.fleet.get(node);
        worker.map_or(Millis::ZERO, |worker| self.now.since(worker.last_report))
    }
}
