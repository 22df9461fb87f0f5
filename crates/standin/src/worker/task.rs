//! A task that runs on the worker, with its body and its output.

use {
    filbertbend_coordination::attempt::{Attempt, Output, Work},
    filbertbend_state::{
        id,
        room::Room,
        time::Instant,
        unit::{Millis, Share},
    },
    serde::{Deserialize, Serialize},
};

/// The body of a task, as JSON.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// How long the task runs unthrottled, in milliseconds.
    pub work_ms: u64,
    /// Text that the output repeats.
    #[serde(default)]
    pub echo: String,
    /// Whether the task fails at its end.
    #[serde(default)]
    pub fail: bool,
}

/// The body of a task's output, as JSON.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Echo {
    /// The task that ran.
    pub task: id::Task,
    /// The attempt that completed.
    pub attempt: id::Attempt,
    /// The work that the task's body asked for, in milliseconds.
    pub work_ms: u64,
    /// The work already done when the attempt started, in milliseconds.
    pub resumed_ms: u64,
    /// The text from the task's body.
    pub echo: String,
}

pub(super) struct Task {
    pub(super) attempt: Attempt,
    pub(super) service: id::Service,
    pub(super) size: Room,
    pub(super) lease_end: Instant,
    pub(super) throttle: Share,
    body: Body,
    resumed_ms: u64,
    done_ms: f64,
    /// When the checkpoint in progress completes, and the work that it saves.
    pub(super) checkpoint: Option<(Instant, id::Checkpoint)>,
}

impl Task {
    /// Creates a task from its work. An order and an invalid body are errors.
    pub(super) fn new(
        attempt: Attempt,
        work: Work,
        size: Room,
        lease_end: Instant,
    ) -> Result<Self, String> {
        let Work::Batch {
            service,
            body,
            resume,
        } = work
        else {
            return Err("a worker cannot run an order".to_owned());
        };
        let body: Body = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        let resumed_ms = resume.map_or(0, |number| number.0).min(body.work_ms);
        Ok(Self {
            attempt,
            service,
            size,
            lease_end,
            throttle: Share::FULL,
            done_ms: resumed_ms as f64,
            body,
            resumed_ms,
            checkpoint: None,
        })
    }

    /// Advances the work by `span` at the current throttle share.
    pub(super) fn run(&mut self, span: Millis) {
        self.done_ms += span.0 as f64 * self.throttle.fraction();
    }

    /// Returns the work done, which is the number of a checkpoint taken now.
    pub(super) fn done(&self) -> id::Checkpoint {
        id::Checkpoint((self.done_ms as u64).min(self.body.work_ms))
    }

    /// Returns when the work completes at the current throttle share, or `None`
    /// if it makes no progress.
    pub(super) fn completes_at(&self, now: Instant) -> Option<Instant> {
        let remaining = (self.body.work_ms as f64 - self.done_ms).max(0.0);
        let speed = self.throttle.fraction();
        // A remainder from rounding would never complete.
        let remaining = if remaining < 1e-6 { 0.0 } else { remaining };
        if remaining == 0.0 {
            return Some(now);
        }
        (speed > 0.0).then(|| now + Millis((remaining / speed).ceil() as u64))
    }

    pub(super) fn fails(&self) -> bool {
        self.body.fail
    }

    pub(super) fn output(&self) -> Output {
        let echo = Echo {
            task: self.attempt.task,
            attempt: self.attempt.number,
            work_ms: self.body.work_ms,
            resumed_ms: self.resumed_ms,
            echo: self.body.echo.clone(),
        };
        Output {
            status: 200,
            content_type: "application/json".into(),
            body: serde_json::to_vec(&echo).unwrap_or_default(),
        }
    }
}
