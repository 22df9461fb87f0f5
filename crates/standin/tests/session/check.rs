//! Invariants that must hold after every session.

use {
    super::{
        instance::{Instance, Run},
        Exchange,
    },
    filbertbend_coordination::job::{Answer, Call, Spec},
    filbertbend_standin::worker::overlaps,
    filbertbend_state::outcome::{Outcome, Ran},
    std::collections::{BTreeMap, BTreeSet},
};

type Calls = BTreeMap<u64, Exchange>;

/// Checks that no task ran in two places at once.
pub(crate) fn spans<'a>(
    instances: impl Iterator<Item = &'a Instance>,
    violations: &mut Vec<String>,
) {
    let spans: Vec<_> = instances
        .flat_map(|instance| &instance.model.trace().spans)
        .collect();
    for (first, second) in overlaps(spans.iter().copied()) {
        violations.push(format!(
            "{} on {} from {} overlaps {} on {} from {}",
            first.attempt, first.worker, first.from.0, second.attempt, second.worker, second.from.0
        ));
    }
}

/// Checks that no order ran twice or out of its customer's sequence, and that
/// every order with an output ran.
pub(crate) fn orders<'a>(
    instances: impl Iterator<Item = &'a Instance>,
    calls: &Calls,
    violations: &mut Vec<String>,
) {
    let mut runs: Vec<&Run> = instances.flat_map(|instance| &instance.runs).collect();
    runs.sort_by_key(|run| run.at);
    let mut ran = BTreeSet::new();
    let mut newest = BTreeMap::new();
    for run in runs {
        if !ran.insert((&run.customer, &run.key)) {
            violations.push(format!(
                "{}/{} ran again at {}",
                run.customer, run.key, run.at.0
            ));
            continue;
        }
        let submitted = submissions(calls).find(|(_, spec)| is_run_of(run, spec));
        let Some(order) = submitted.and_then(|(_, spec)| spec.order.as_ref()) else {
            violations.push(format!("{}/{} was never submitted", run.customer, run.key));
            continue;
        };
        let before = newest.insert(&run.customer, order.sequence);
        if before.is_some_and(|before| before >= order.sequence) {
            violations.push(format!(
                "{}/{} ran out of sequence at {}",
                run.customer, run.key, run.at.0
            ));
        }
    }
    for (call, spec) in submissions(calls) {
        let (Some((_, Answer::Output(_))), Some(order)) = (&call.answer, &spec.order) else {
            continue;
        };
        if !ran.contains(&(&order.customer, &order.key)) {
            violations.push(format!(
                "{}/{} has an output and did not run",
                order.customer, order.key
            ));
        }
    }
}

/// Checks that answers of "not run" are correct: whatever ran must have been
/// submitted by a call that was not answered as not run.
pub(crate) fn not_run<'a>(
    instances: impl Iterator<Item = &'a Instance>,
    calls: &Calls,
    violations: &mut Vec<String>,
) {
    for instance in instances {
        for run in &instance.runs {
            let mut answerable = submissions(calls).filter(|(call, spec)| {
                call.at <= run.at && is_run_of(run, spec) && !says_not_run(call)
            });
            if answerable.next().is_none() {
                violations.push(format!(
                    "{}/{} ran and was answered as not run",
                    run.customer, run.key
                ));
            }
        }
        for span in &instance.model.trace().spans {
            let mut answerable = submissions(calls)
                .filter(|(call, spec)| spec.id == span.attempt.task.job && !says_not_run(call));
            if answerable.next().is_none() {
                violations.push(format!("{} ran and was answered as not run", span.attempt));
            }
        }
    }
}

/// Checks that every call is answered unless its connection was lost. Sessions
/// end later than the deadline of any order.
pub(crate) fn answered(calls: &Calls, violations: &mut Vec<String>) {
    for (number, call) in calls {
        if call.answer.is_none() && call.entry.is_some() {
            violations.push(format!("call {number} from {} has no answer", call.at.0));
        }
    }
}

fn submissions(calls: &Calls) -> impl Iterator<Item = (&Exchange, &Spec)> {
    calls.values().filter_map(|exchange| match &exchange.call {
        Call::Submit(spec) => Some((exchange, spec)),
        _ => None,
    })
}

fn is_run_of(run: &Run, spec: &Spec) -> bool {
    let same = |order: &filbertbend_coordination::job::Order| {
        order.customer == run.customer && order.key == run.key
    };
    spec.order.as_ref().is_some_and(same) && spec.body == run.body
}

fn says_not_run(exchange: &Exchange) -> bool {
    let Some((_, Answer::Outcome(outcome))) = &exchange.answer else {
        return false;
    };
    matches!(
        outcome,
        Outcome::Refused { .. } | Outcome::Expired { ran: Ran::No } | Outcome::Invalid
    )
}
