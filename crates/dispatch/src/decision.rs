//! The leader's decisions in the log: a line each, with the task's name, what
//! was decided and on what grounds.

use {
    filbertbend_workload::planner::Decision,
    metrics::{counter, histogram},
    spdlog::prelude::*,
};

/// Writes one decision to the log and counts it.
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
            info!("placed", kv: { job: = task.job, task:, run = run.0, node:, waited_ms = waited.0, resumed = *resumed });
        }
        Decision::Stopped {
            task,
            run,
            node,
            reason,
        } => {
            counter!("filbertbend_stops_total", "reason" => reason.to_string()).increment(1);
            info!("stopped", kv: { job: = task.job, task:, run = run.0, node:, reason: });
        }
        Decision::Ended {
            task,
            run,
            node,
            exit,
            failures,
        } => {
            counter!("filbertbend_ends_total", "how" => exit.to_string()).increment(1);
            info!("ended", kv: { job: = task.job, task:, run = run.0, node:, how: = exit, failures = *failures });
        }
        Decision::Lost {
            task,
            run,
            node,
            reason,
        } => {
            counter!("filbertbend_lost_total", "reason" => reason.to_string()).increment(1);
            info!("given up", kv: { job: = task.job, task:, run = run.0, node:, reason: });
        }
        Decision::Job { job, state } => info!("job ended", kv: { job:, state: }),
        Decision::Joined {
            node,
            incarnation,
            fence,
            adopted,
        } => {
            info!("worker joined", kv: { node:, life: = incarnation, fence = fence.0, adopted = *adopted });
        }
    }
}
