//! What the agent reports about its worker.

use {
    super::{call::Snapshot, Agent},
    crate::{message::Inventory, worker::Running},
};

/// The maximum number of ends in a snapshot; a full list may be incomplete.
const ENDS_PER_PAGE: usize = 500;
impl Agent {
    pub(super) fn report_profile(&mut self) {
        let inventoried = self
            .session
            .as_ref()
            .is_some_and(|session| session.inventoried);
        if inventoried && !self.profile_reported {
            self.report.profile.clone_from(&self.profile);
            self.profile_reported = true;
        }
    }

    pub(super) fn report_ends(&mut self, snapshot: &Snapshot) {
        let Some(session) = &mut self.session else {
            return;
        };
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

    pub(super) fn report_inventory(&mut self, snapshot: &Snapshot) {
        let (Some(session), Some(profile)) = (&mut self.session, &self.profile) else {
            return;
        };
        if session.inventoried || snapshot.ends.len() >= ENDS_PER_PAGE {
            return;
        }
        session.inventoried = true;
        self.throttle.reset_reported();
        self.report.weights = self.throttle.changed_weights();
        self.report.inventory = Some(Inventory {
            incarnation: profile.incarnation.clone(),
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
