//! Decides which incarnation of the worker is running.
//!
//! A heartbeat may be delayed or come from another writer, so one of another
//! incarnation only nominates a candidate. The worker decides by how it answers
//! a call that is meant for the candidate.

use {
    super::{Action, Agent, Answer, Call, Refusal, Snapshot, RETRY_DELAY},
    crate::{
        id::{Fence, Incarnation},
        worker::Profile,
    },
    filbertbend_state::{time::Instant, unit::Millis},
};

/// The maximum number of candidates; a further one replaces the oldest.
const CANDIDATE_LIMIT: usize = 4;
/// How long the worker is asked about a candidate after its last heartbeat.
const CANDIDATE_RETENTION: Millis = Millis(3000);

/// Another incarnation that sent a heartbeat, until the worker has answered.
#[derive(Debug)]
pub(super) struct Candidate {
    profile: Profile,
    heard: Instant,
    /// When to ask the worker; `None` while a call is in progress.
    ask_at: Option<Instant>,
}

impl Agent {
    pub(super) fn heartbeat(&mut self, now: Instant, profile: Profile, actions: &mut Vec<Action>) {
        match &self.profile {
            Some(known) if known.incarnation == profile.incarnation => {
                self.heard = true;
                if *known != profile {
                    self.profile = Some(profile);
                    self.profile_reported = false;
                }
                self.report_profile();
            }
            Some(_) => self.nominate(now, profile),
            // The first poll shows whether it is running.
            None => self.begin_incarnation(profile, actions),
        }
    }

    fn nominate(&mut self, now: Instant, profile: Profile) {
        let known = self
            .candidates
            .iter_mut()
            .find(|candidate| candidate.profile.incarnation == profile.incarnation);
        if let Some(known) = known {
            known.profile = profile;
            known.heard = now;
            return;
        }
        if self.candidates.len() >= CANDIDATE_LIMIT {
            self.candidates.pop_front();
        }
        self.candidates.push_back(Candidate {
            profile,
            heard: now,
            ask_at: Some(now),
        });
    }

    /// Asks the worker about the candidates, with the fence of the session. Without
    /// one, the next fence rules out the starts of the last session, which the
    /// worker may have got late. Fences rise from one session to the next.
    pub(super) fn identify(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let fence = match (&self.session, self.last_fence) {
            (Some(session), _) => session.fence,
            (None, Some(last)) => Fence(last.0 + 1),
            (None, None) => return,
        };
        for candidate in &mut self.candidates {
            if candidate.ask_at.take_if(|at| now >= *at).is_some() {
                actions.push(Action::Call(Call::Identify {
                    fence,
                    incarnation: candidate.profile.incarnation.clone(),
                }));
            }
        }
    }

    pub(super) fn identified(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        answer: &Answer,
        actions: &mut Vec<Action>,
    ) {
        let position = self
            .candidates
            .iter()
            .position(|candidate| candidate.profile.incarnation == *incarnation);
        let Some(position) = position else {
            return;
        };
        match answer {
            Answer::Snapshot(snapshot)
                if snapshot
                    .started_ms
                    .is_none_or(|started_ms| started_ms == incarnation.started_ms) =>
            {
                if let Some(found) = self.candidates.remove(position) {
                    self.begin_incarnation(found.profile, actions);
                }
            }
            Answer::Snapshot(_) | Answer::Refused(Refusal::Restarted | Refusal::Invalid) => {
                self.candidates.remove(position);
            }
            Answer::Done | Answer::Refused(_) | Answer::Unreachable | Answer::Lost => {
                let candidate = &mut self.candidates[position];
                candidate.ask_at = Some(now + RETRY_DELAY);
                if now >= candidate.heard + CANDIDATE_RETENTION {
                    self.candidates.remove(position);
                }
            }
        }
    }

    /// Returns whether a snapshot that was requested at `sent` is one of another
    /// incarnation. Two have the same start time if the wall clock was set back,
    /// but the worker's own clock then begins anew.
    pub(super) fn is_other_incarnation(&self, sent: Instant, snapshot: &Snapshot) -> bool {
        let started_ms = self.profile.as_ref().map(|own| own.incarnation.started_ms);
        let differs = snapshot.started_ms.is_some()
            && started_ms.is_some()
            && snapshot.started_ms != started_ms;
        // Within a millisecond, answers may overtake one another.
        let is_behind = |(read, clock): (Instant, u64)| sent > read && snapshot.clock < clock;
        differs || self.clock.is_some_and(is_behind)
    }
}
