//! Preemption for gangs, whose members start together or not at all.

use {
    super::{
        pass::{Offer, Pass},
        place::Requirements,
        preempt::{preemptible, reclaimable, Choice},
        worker::Worker,
        Action, Planner, Rank, Reason,
    },
    crate::id::{Node, Run, Task},
    filbertbend_state::room::Room,
    std::collections::{BTreeMap, BTreeSet},
};

/// What a plan intends for one worker.
#[derive(Default)]
struct Share {
    /// What runs there use with the members and without those that end.
    used: Room,
    /// What the members need.
    need: Room,
    members: usize,
    ending: BTreeSet<(Task, Run)>,
    victims: Vec<(Task, Run)>,
}

impl Planner {
    /// Preempts less urgent tasks so that all members of a gang fit, or none if
    /// that is not possible. The workers are held until the gang starts: the
    /// stops end one after the other, and others would take the room meanwhile.
    pub(super) fn preempt_for_gang(
        &mut self,
        rank: Rank,
        tasks: &[Task],
        pass: &mut Pass,
        actions: &mut Vec<Action>,
    ) {
        self.drop_kept(rank, pass);
        let Some(plan) = self.plan_gang(rank, tasks, pass) else {
            return;
        };
        for (node, share) in plan {
            for (victim, run) in share.victims {
                self.stop(victim, run, &node, Reason::Preempted, actions);
            }
            self.keep(&node, rank, (share.members, share.need), pass);
        }
    }

    /// Assigns each member to the worker where the fewest tasks must be stopped
    /// for it. Returns `None` if a member fits nowhere.
    fn plan_gang(
        &self,
        rank: Rank,
        tasks: &[Task],
        pass: &mut Pass,
    ) -> Option<BTreeMap<Node, Share>> {
        // The members have the same requirements.
        let requirements = self.requirements(*tasks.first()?, pass)?;
        let need = requirements.step.reserved();
        let preempting = Some(rank.priority);
        let is_enough = |offer: &Offer| offer.room.fits(&need);
        if requirements.step.mode.best_effort
            || pass.is_excluded(&requirements, preempting, is_enough)
        {
            return None;
        }
        let mut choices: BTreeMap<&Node, Choice> = BTreeMap::new();
        for (node, worker) in self.fleet.iter() {
            let choice = self.choose_for_member(&requirements, (node, worker), None);
            choices.extend(choice.map(|choice| (node, choice)));
        }
        if choices.is_empty() {
            self.bound(&requirements, preempting, pass, |worker| Offer {
                room: reclaimable(worker, rank.priority),
                idle_cores: 0.0,
            });
        }
        let mut plan: BTreeMap<Node, Share> = BTreeMap::new();
        for _ in tasks {
            let (node, _) = choices
                .iter()
                .min_by_key(|(_, choice)| choice.victims.len())?;
            let (node, choice) = choices.remove_entry(*node)?;
            let share = plan.entry(node.clone()).or_default();
            share.used = choice.used + need;
            share.need += need;
            share.members += 1;
            share.ending.extend(choice.ending);
            share.victims.extend(choice.victims);
            let worker = self.fleet.get(node)?;
            let next = self.choose_for_member(&requirements, (node, worker), Some(share));
            choices.extend(next.map(|choice| (node, choice)));
        }
        Some(plan)
    }

    /// Chooses what must end on a worker for one more member of a gang.
    fn choose_for_member(
        &self,
        requirements: &Requirements<'_>,
        (node, worker): (&Node, &Worker),
        share: Option<&Share>,
    ) -> Option<Choice> {
        self.count_examined(1);
        let need = requirements.step.reserved();
        let priority = requirements.rank.priority;
        let members = share.map_or(0, |share| share.members);
        let most = requirements.step.placement.most_per_worker;
        if most.is_some_and(|most| members >= usize::from(most))
            || !reclaimable(worker, priority).fits(&need)
            || !self.is_feasible(requirements, node, worker)
        {
            return None;
        }
        // The room of unsent starts would be free at once, before the other
        // members have theirs.
        let mut excluded = worker.unsent();
        excluded.extend(share.iter().flat_map(|share| &share.ending));
        let candidates = preemptible(worker, priority)
            .filter(|(key, _)| !excluded.contains(key))
            .collect();
        let used = share.map_or(worker.used, |share| share.used);
        self.choose(worker, used, need, candidates)
    }
}
