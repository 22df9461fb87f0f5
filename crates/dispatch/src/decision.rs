//! Logs and counts the leader's decisions. Each decision is one log line that
//! holds the task, what was decided, and the reason.

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::planner::{Backlog, Decision},
    metrics::{counter, gauge, histogram},
    spdlog::prelude::*,
};

/// Logs one decision and updates its metrics.
pub(crate) fn log(decision: &Decision) {
    match decision {
        Decision::Placed {
            task,
            run,
            node,
            waited,
            resumed,
        } => {
            counter!("filbertbend_starts_total").increment(1);
            histogram!("filbertbend_placement_wait_seconds")
                .record(waited.duration().as_secs_f64());
            info!("task placed", kv: { job: = task.job, task:, run = run.0, node:, waited_ms = waited.0, resumed = *resumed });
        }
        Decision::Stopped {
            task,
            run,
            node,
            reason,
        } => {
            counter!("filbertbend_stops_total", "reason" => reason.to_string()).increment(1);
            info!("run stop requested", kv: { job: = task.job, task:, run = run.0, node:, reason: });
        }
        Decision::Ended {
            task,
            run,
            node,
            exit,
            failures,
            timing,
        } => {
            counter!("filbertbend_ends_total", "how" => exit.to_string()).increment(1);
            if let Some(timing) = timing {
                record_error("estimate", timing.estimate, timing.took);
                record_error("learned", timing.expected, timing.took);
            }
            let took = timing.map(|timing| timing.took.0);
            let expected = timing.map(|timing| timing.expected.0);
            let estimate = timing.map(|timing| timing.estimate.0);
            info!("run ended", kv: { job: = task.job, task:, run = run.0, node:, how: = exit, failures = *failures, took_ms:? = took, expected_ms:? = expected, estimate_ms:? = estimate });
        }
        Decision::Refused {
            task,
            run,
            node,
            status,
            stopping,
            pause,
        } => {
            counter!("filbertbend_lost_total", "reason" => "refused").increment(1);
            counter!("filbertbend_starts_refused_total", "status" => status.to_string())
                .increment(1);
            info!("run abandoned", kv: { job: = task.job, task:, run = run.0, node:, reason: = "refused", status:, stopping = *stopping, pause_ms = pause.0 });
        }
        Decision::Lost {
            task,
            run,
            node,
            reason,
            silent,
        } => {
            counter!("filbertbend_lost_total", "reason" => reason.to_string()).increment(1);
            info!("run abandoned", kv: { job: = task.job, task:, run = run.0, node:, reason:, silent_ms = silent.0 });
        }
        Decision::Probed { node, silent } => {
            counter!("filbertbend_probes_total").increment(1);
            info!("lease seems expired, agent asked", kv: { node:, silent_ms = silent.0 });
        }
        Decision::LeaseKnown { node, known, wait } => {
            info!("worker not listed yet, lease known to its agent", kv: { node:, left_ms = known.left.0, agent_ms = known.age.0, restarted_ms:? = known.restarted.map(|age| age.0), unconfirmed_ms:? = known.unconfirmed_start.map(|age| age.0), listed = known.listed.len(), wait_ms = wait.0 });
        }
        Decision::Evacuation {
            data_centre,
            evacuated,
            workers,
            runs,
        } => {
            info!("evacuation of a data centre changed", kv: { data_centre: = &**data_centre, evacuated = *evacuated, workers = *workers, runs = *runs });
        }
        Decision::Job { job, state } => info!("job ended", kv: { job:, state: }),
        Decision::Joined {
            node,
            incarnation,
            fence,
            adopted,
            withheld,
        } => {
            info!("worker joined", kv: { node:, life: = incarnation, fence = fence.0, adopted = *adopted, withheld_ms = withheld.0 });
        }
        Decision::Crashed {
            node,
            incarnation,
            runs,
        } => {
            counter!("filbertbend_worker_crashes_total").increment(1);
            info!("worker has crashed", kv: { node:, life: = incarnation, runs = *runs });
        }
        Decision::Blamed {
            task,
            run,
            node,
            lasted,
            blame,
        } => {
            counter!("filbertbend_blamed_total").increment(1);
            info!("task blamed for a crash", kv: { job: = task.job, task:, run = run.0, node:, lasted_ms = lasted.0, blame = *blame });
        }
        Decision::GivenUp { task, run, node } => {
            counter!("filbertbend_given_up_total").increment(1);
            warn!("task crashes its workers, job given up", kv: { job: = task.job, task:, run = run.0, node: });
        }
        Decision::Deferred {
            job,
            occurrence,
            priority,
            standing,
            outlook,
        } => {
            counter!("filbertbend_deferred_total").increment(1);
            info!("job deferred", kv: { job:, occurrence = *occurrence, priority = *priority, standing:, age_ms = outlook.age.0, objective_ms = outlook.objective.0, chain_ms = outlook.chain.0, millicore_seconds = outlook.work.millicore_seconds(), begun = outlook.begun });
        }
        Decision::Waiting(backlog) => log_backlog(backlog),
    }
}

/// Updates the metric of the errors of predicted run times.
fn record_error(prediction: &'static str, predicted: Millis, took: Millis) {
    let error = Millis(predicted.0.abs_diff(took.0));
    histogram!("filbertbend_run_time_error_seconds", "prediction" => prediction)
        .record(error.duration().as_secs_f64());
}

/// Logs what the planner waits for and updates its metrics.
fn log_backlog(backlog: &Backlog) {
    let Backlog {
        blocked,
        jobs,
        waiting_services,
        longest_wait,
        held_workers,
        awaited_runs,
        overdue_workers,
        overdue,
    } = backlog;
    let waited = blocked
        .as_ref()
        .map_or(0.0, |blocked| blocked.waited.duration().as_secs_f64());
    gauge!("filbertbend_blocked_seconds").set(waited);
    gauge!("filbertbend_waiting_jobs", "standing" => "in_time").set(jobs.in_time as f64);
    gauge!("filbertbend_waiting_jobs", "standing" => "late").set(jobs.late as f64);
    gauge!("filbertbend_waiting_jobs", "standing" => "overdue").set(jobs.overdue as f64);
    gauge!("filbertbend_waiting_services").set(*waiting_services as f64);
    gauge!("filbertbend_held_workers").set(*held_workers as f64);
    gauge!("filbertbend_awaited_runs").set(*awaited_runs as f64);
    gauge!("filbertbend_overdue_workers").set(*overdue_workers as f64);
    if let Some(blocked) = blocked {
        let task = blocked.task;
        let cores = blocked.required.cores.0;
        let memory = blocked.required.memory.0 >> 20;
        let (node, free_cores, free_memory) = match &blocked.freest {
            Some((node, free)) => (&*node.0, free.cores.0, free.memory.0 >> 20),
            None => ("", 0, 0),
        };
        info!("task finds no worker", kv: { job: = task.job, task:, waited_ms = blocked.waited.0, millicores = cores, mib = memory, freest: = node, free_millicores = free_cores, free_mib = free_memory });
    }
    if *waiting_services > 0 {
        info!("services wait for room", kv: { tasks = *waiting_services, longest_ms = longest_wait.0, held_workers = *held_workers });
    }
    if *awaited_runs > 0 {
        info!("runs of a former leader await their workers' reports", kv: { runs = *awaited_runs });
    }
    if *overdue_workers > 0 {
        info!("expired leases not acted on yet", kv: { workers = *overdue_workers, longest_ms = overdue.0 });
    }
}
