//! What the agent reports about its worker.

use {
    super::{call::Snapshot, Agent},
    crate::{message::Inventory, worker::Running},
    filbertbend_state::time::Instant,
};

impl Agent {
    pub(super) fn report_profile(&mut self) {
        let inventoried = self
            .session
            .as_ref()
            .is_some_and(|session| session.inventoried);
        if inventoried && !self.profile_reported && self.heard {
            self.report.profile.clone_from(&self.profile);
            self.profile_reported = true;
        }
    }

    pub(super) fn report_ends(&mut self, snapshot: &Snapshot) {
        let Some(session) = &mut self.session else {
            return;
        };
        session.first_listed = snapshot.ends.iter().map(|end| end.sequence).min();
        for end in &snapshot.ends {
            if end.sequence > session.reported {
                session.reported = end.sequence;
                let key = (end.task, end.run);
                self.presence.ended(end.task, end.run);
                self.issued.remove(&key);
                self.roles.remove(&key);
                self.checkpoints.remove(&key);
                self.report.ends.push(end.clone());
            }
        }
    }

    /// Reports the ends in the last snapshot while the worker does not answer. A
    /// former leader may have ended before it had stored them, and a worker that
    /// has left will not list them again.
    pub(super) fn repeat_ends(&mut self) {
        let Some(session) = self.session.as_mut().filter(|session| !session.inventoried) else {
            return;
        };
        let reported = session.reported;
        let missing = self.ends.iter().filter(|end| end.sequence > reported);
        self.report.ends.extend(missing.cloned());
        let last = self.ends.iter().map(|end| end.sequence).max();
        session.reported = last.map_or(reported, |last| last.max(reported));
    }

    /// Examines the first list of an incarnation that the agent has seen begin.
    /// Nothing was ordered from it yet, so what it lists was started by orders to
    /// the former one, and has a lease by the clock of that one.
    fn examine_first_list(&mut self, now: Instant, snapshot: &Snapshot) {
        if !self.restarted || !self.former_listed || self.first_listed.is_some() {
            return;
        }
        let has_strays = !snapshot.running.is_empty() || !snapshot.ends.is_empty();
        self.foreign_lease = has_strays || self.extension.may_stray(now);
        let strays = snapshot.running.iter().map(|row| (row.task, row.run));
        self.strays = strays.collect();
    }

    /// Stops the strays, in each session anew, as stops of an earlier one may not
    /// have been carried out.
    fn stop_strays(&mut self, snapshot: &Snapshot) {
        for row in &snapshot.running {
            if self.strays.contains(&(row.task, row.run)) {
                self.stop(row.task, row.run);
            }
        }
    }

    pub(super) fn report_inventory(&mut self, now: Instant, snapshot: &Snapshot) {
        let incarnation = self.profile.as_ref().map(|own| own.incarnation.clone());
        let (Some(session), Some(incarnation)) = (&mut self.session, incarnation) else {
            return;
        };
        if session.inventoried || !snapshot.lists_all_ends() {
            return;
        }
        session.inventoried = true;
        self.examine_first_list(now, snapshot);
        self.stop_strays(snapshot);
        let first = *self.first_listed.get_or_insert(now);
        self.throttle.reset_reported();
        self.report.weights = self.throttle.changed_weights();
        self.report.inventory = Some(Inventory {
            incarnation,
            restarted: self.restarted.then(|| now.since(first)),
            foreign_lease: self.foreign_lease.then(|| now.since(first)),
            running: snapshot.running.clone(),
            crash: self.crash.clone(),
        });
        self.report_profile();
    }

    pub(super) fn report_checkpoints(&mut self, running: &[Running]) {
        for row in running {
            let Some(new) = &row.checkpoint else {
                continue;
            };
            let key = (row.task, row.run);
            if self.checkpoints.get(&key) != Some(new) {
                self.checkpoints.insert(key, new.clone());
                self.report
                    .checkpoints
                    .push((row.task, row.run, new.clone()));
            }
        }
    }
}
