//! What must hold after every session, whatever happened in it.

use {
    super::{
        node::{Node, Run},
        Asked,
    },
    filbertbend_coordination::job::{Answer, Call, Spec},
    filbertbend_standin::worker::overlaps,
    filbertbend_state::outcome::{Outcome, Ran},
    std::collections::{BTreeMap, BTreeSet},
};

type Calls = BTreeMap<u64, Asked>;

/// No task ran in two places at once.
pub(crate) fn spans<'a>(nodes: impl Iterator<Item = &'a Node>, faults: &mut Vec<String>) {
    let spans: Vec<_> = nodes.flat_map(|node| &node.model.trace().spans).collect();
    for (first, second) in overlaps(spans.iter().copied()) {
        faults.push(format!(
            "{} on {} from {} overlaps {} on {} from {}",
            first.attempt, first.worker, first.from.0, second.attempt, second.worker, second.from.0
        ));
    }
}

/// No order ran twice or out of its customer's sequence, and every output
/// belongs to a run.
pub(crate) fn orders<'a>(
    nodes: impl Iterator<Item = &'a Node>,
    calls: &Calls,
    faults: &mut Vec<String>,
) {
    let mut runs: Vec<&Run> = nodes.flat_map(|node| &node.runs).collect();
    runs.sort_by_key(|run| run.at);
    let mut ran = BTreeSet::new();
    let mut newest = BTreeMap::new();
    for run in runs {
        if !ran.insert((&run.customer, &run.key)) {
            faults.push(format!(
                "{}/{} ran again at {}",
                run.customer, run.key, run.at.0
            ));
            continue;
        }
        let submitted = submissions(calls).find(|(_, spec)| is_run_of(run, spec));
        let Some(order) = submitted.and_then(|(_, spec)| spec.order.as_ref()) else {
            faults.push(format!("{}/{} was never submitted", run.customer, run.key));
            continue;
        };
        let before = newest.insert(&run.customer, order.sequence);
        if before.is_some_and(|before| before >= order.sequence) {
            faults.push(format!(
                "{}/{} ran out of sequence at {}",
                run.customer, run.key, run.at.0
            ));
        }
    }
    for (asked, spec) in submissions(calls) {
        let (Some((_, Answer::Output(_))), Some(order)) = (&asked.answer, &spec.order) else {
            continue;
        };
        if !ran.contains(&(&order.customer, &order.key)) {
            faults.push(format!(
                "{}/{} has an output and did not run",
                order.customer, order.key
            ));
        }
    }
}

/// Every answer "not run" is true: whatever ran was submitted before by a call
/// that was not told so.
pub(crate) fn not_run<'a>(
    nodes: impl Iterator<Item = &'a Node>,
    calls: &Calls,
    faults: &mut Vec<String>,
) {
    for node in nodes {
        for run in &node.runs {
            let mut answerable = submissions(calls).filter(|(asked, spec)| {
                asked.at <= run.at && is_run_of(run, spec) && !says_not_run(asked)
            });
            if answerable.next().is_none() {
                faults.push(format!(
                    "{}/{} ran and was answered as not run",
                    run.customer, run.key
                ));
            }
        }
        for span in &node.model.trace().spans {
            let mut answerable = submissions(calls)
                .filter(|(asked, spec)| spec.id == span.attempt.task.job && !says_not_run(asked));
            if answerable.next().is_none() {
                faults.push(format!("{} ran and was answered as not run", span.attempt));
            }
        }
    }
}

/// Every call is answered whose connection was not lost. Sessions end later
/// than the deadline of any order.
pub(crate) fn answered(calls: &Calls, faults: &mut Vec<String>) {
    for (number, asked) in calls {
        if asked.answer.is_none() && asked.entry.is_some() {
            faults.push(format!("call {number} from {} has no answer", asked.at.0));
        }
    }
}

fn submissions(calls: &Calls) -> impl Iterator<Item = (&Asked, &Spec)> {
    calls.values().filter_map(|asked| match &asked.call {
        Call::Submit(spec) => Some((asked, spec)),
        _ => None,
    })
}

fn is_run_of(run: &Run, spec: &Spec) -> bool {
    let same = |order: &filbertbend_coordination::job::Order| {
        order.customer == run.customer && order.key == run.key
    };
    spec.order.as_ref().is_some_and(same) && spec.body == run.body
}

fn says_not_run(asked: &Asked) -> bool {
    let Some((_, Answer::Outcome(outcome))) = &asked.answer else {
        return false;
    };
    matches!(
        outcome,
        Outcome::Refused { .. } | Outcome::Expired { ran: Ran::No } | Outcome::Invalid
    )
}
