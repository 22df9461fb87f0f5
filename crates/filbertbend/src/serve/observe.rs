//! Records each request in the log and in the metrics.

use {
    super::{answer, api::Options},
    filbertbend_state::{
        id,
        outcome::Outcome,
        service::{Class, Declaration},
    },
    metrics::{counter, histogram},
    spdlog::prelude::*,
    std::time::Instant,
};

/// Measures one request and records its outcome.
pub(crate) struct Observation {
    request: id::Request,
    service: id::Service,
    team: id::Team,
    class: Class,
    started: Instant,
}

impl Observation {
    /// Starts measuring when a request has arrived.
    pub(crate) fn start(declaration: &Declaration, options: &Options) -> Self {
        Self {
            request: options.request,
            service: declaration.name.clone(),
            team: options.team.clone(),
            class: declaration.class,
            started: Instant::now(),
        }
    }

    /// Records a request that no endpoint answered.
    pub(crate) fn end(&self, outcome: &Outcome) {
        if let Outcome::Refused { reason, .. } = outcome {
            counter!(
                "filbertbend_refusals_total",
                "service" => self.service.to_string(),
                "class" => self.class.to_string(),
                "reason" => reason.to_string(),
            )
            .increment(1);
        }
        self.record(answer::name(outcome));
    }

    /// Records a request that an endpoint answered. An incomplete answer counts as
    /// broken, because the caller cannot use it.
    pub(crate) fn complete(&self, complete: bool) {
        self.record(if complete { "done" } else { "broken" });
    }

    fn record(&self, outcome: &'static str) {
        let elapsed = self.started.elapsed();
        counter!(
            "filbertbend_requests_total",
            "service" => self.service.to_string(),
            "class" => self.class.to_string(),
            "team" => self.team.to_string(),
            "outcome" => outcome,
        )
        .increment(1);
        histogram!(
            "filbertbend_request_duration_seconds",
            "service" => self.service.to_string(),
            "class" => self.class.to_string(),
        )
        .record(elapsed.as_secs_f64());
        debug!(
            "request served",
            kv: {
                request = self.request.0,
                service: = self.service,
                team: = self.team,
                outcome,
                elapsed_ms = elapsed.as_millis() as u64,
            }
        );
    }
}
