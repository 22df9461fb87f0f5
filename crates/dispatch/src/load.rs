//! Accounts for the leader's time by kind of work, so that an overloaded leader
//! can be explained from its log.

use {
    filbertbend_state::{time::Instant, unit::Millis},
    metrics::{counter, gauge},
    spdlog::prelude::*,
    std::{collections::BTreeMap, time::Duration},
};

/// Interval at which the leader logs what it spent its time on.
const LOG_INTERVAL: Millis = Millis(1000);

/// The number of steps of one kind, and the time that they took.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    steps: u64,
    time: Duration,
}

/// The work of a leader since it was last logged, by kind.
#[derive(Debug, Default)]
pub(crate) struct Load {
    logged: Instant,
    work: BTreeMap<&'static str, Work>,
    /// The longest delay of an input or a tick.
    delay: Millis,
}

impl Load {
    /// Adds a step of one kind that took `time`.
    pub(crate) fn record(&mut self, kind: &'static str, time: Duration) {
        let work = self.work.entry(kind).or_default();
        work.steps += 1;
        work.time += time;
    }

    /// Records that an input or a tick was late.
    pub(crate) fn delayed(&mut self, delay: Millis) {
        self.delay = self.delay.max(delay);
    }

    /// Logs and clears the work if [`LOG_INTERVAL`] has passed.
    pub(crate) fn log(&mut self, now: Instant) {
        if now < self.logged + LOG_INTERVAL {
            return;
        }
        self.logged = now;
        let work = std::mem::take(&mut self.work);
        let described: Vec<String> = work
            .iter()
            .map(|(kind, work)| format!("{kind} {} {}", work.steps, work.time.as_micros()))
            .collect();
        for (kind, work) in work {
            counter!("filbertbend_leader_work_total", "kind" => kind).increment(work.steps);
            counter!("filbertbend_leader_work_microseconds_total", "kind" => kind)
                .increment(work.time.as_micros() as u64);
        }
        let delay = std::mem::take(&mut self.delay);
        gauge!("filbertbend_leader_delay_seconds").set(delay.duration().as_secs_f64());
        info!("leader's work, in steps and microseconds", kv: { work: = described.join(", "), delay_ms = delay.0 });
    }
}
