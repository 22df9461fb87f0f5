//! The workers for the tasks of a step, by score.

use {
    super::{pass::Pass, place::Requirements, Planner},
    crate::id::Node,
    std::{cmp::Ordering, collections::BinaryHeap},
};

/// The feasible workers for a task, the one with the highest score first.
pub(super) type Ranking = BinaryHeap<Candidate>;

/// A worker with its score for a task. Equal scores are ordered by name, so
/// that the choice does not depend on the order of examination.
pub(super) struct Candidate {
    score: f64,
    node: Node,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score.then_with(|| self.node.cmp(&other.node))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Candidate {}

impl Planner {
    /// Returns the feasible worker with the highest score for one of several
    /// like tasks of a step. Their scores are computed once, and again only for
    /// workers that got a task since.
    pub(super) fn search_next(
        &self,
        requirements: &Requirements<'_>,
        ranking: &mut Option<Ranking>,
        pass: &mut Pass,
    ) -> Option<Node> {
        if requirements.is_individual() {
            return self.search(requirements, pass);
        }
        let ranking = ranking.get_or_insert_with(|| {
            let mut ranking = Ranking::default();
            self.searches.set(self.searches.get() + 1);
            for (node, _) in self.fleet.iter() {
                self.rank(requirements, node, &mut ranking);
            }
            ranking
        });
        while let Some(best) = ranking.pop() {
            let score = self.examine(requirements, &best.node);
            if score.is_some_and(|score| score.total_cmp(&best.score).is_eq()) {
                return Some(best.node);
            }
            // The worker was ranked again when it changed.
        }
        None
    }

    /// Adds a worker to a ranking if it is feasible.
    pub(super) fn rank(&self, requirements: &Requirements<'_>, node: &Node, ranking: &mut Ranking) {
        if let Some(score) = self.examine(requirements, node) {
            ranking.push(Candidate {
                score,
                node: node.clone(),
            });
        }
    }
}
