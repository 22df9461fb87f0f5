//! Checks a configuration before an operator puts it in force.
//!
//! A configuration that can be decoded may still hold queues that no request
//! reaches, or limits that refuse every request. [`check`] finds both, and
//! [`difference::between`] lists what a configuration changes. The command that
//! prints them is described in `docs/OPERATIONS.md`.

pub mod difference;
mod finding;
mod routes;

pub use finding::{Finding, Problem, Severity, Subject};

use {
    filbertbend_state::unit::Millis,
    std::{collections::BTreeMap, sync::Arc},
};

/// Time of a request that goes to one attempt to store a job, 50 ms, and to returning
/// the answer, 150 ms. A queue with a shorter timeout refuses every job.
pub const MIN_TIMEOUT: Millis = Millis(200);
/// Size of the smallest job that callers can submit, in bytes.
pub const MIN_BODY_BYTES: u64 = 32;
/// Size of the smallest head of a request that submits a job, in bytes: the request
/// line, `Host` and the length of the body.
pub const MIN_HEADER_BYTES: u64 = 128;

/// A configuration as its author wrote it, with entries that hide each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// The version; processes only take a higher one than they know.
    pub version: u64,
    /// The queues in the order in which they are written.
    pub queues: Vec<Queue>,
    /// The pools of workers in the order in which they are written.
    pub pools: Vec<Arc<str>>,
    /// The limits for all callers.
    pub limits: Limits,
}

/// A queue of a [`Draft`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// The name of the queue.
    pub name: Arc<str>,
    /// The host that callers address.
    pub host: Arc<str>,
    /// The prefix of request paths.
    pub prefix: Arc<str>,
    /// The pool whose workers run the tasks.
    pub pool: Arc<str>,
    /// The priority of the jobs; 0 is the most urgent.
    pub priority: u64,
    /// The number of failures of a task at which its job fails.
    pub attempts: u64,
    /// The timeout of a request.
    pub timeout: Millis,
    /// The factor by which a job may take longer than its longest chain of tasks.
    pub stretch: Option<f64>,
    /// The time that is added to this.
    pub objective: Option<Millis>,
}

/// The limits of a [`Draft`]; `None` where it sets none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub header_bytes: Option<u64>,
    /// The largest body of a request, in bytes.
    pub body_bytes: Option<u64>,
    /// How long a caller may take to send the head of a request.
    pub header_timeout: Option<Millis>,
    /// How long a connection without a request stays open.
    pub idle_timeout: Option<Millis>,
}

/// Returns everything that is wrong with a configuration, errors first.
pub fn check(draft: &Draft) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_names(draft, &mut findings);
    routes::check(draft, &mut findings);
    check_pools(draft, &mut findings);
    for queue in &draft.queues {
        check_queue(queue, &mut findings);
    }
    check_limits(&draft.limits, &mut findings);
    findings.sort_by_key(|finding| finding.problem.severity());
    findings
}

fn report(findings: &mut Vec<Finding>, subject: Subject, problem: Problem) {
    findings.push(Finding { subject, problem });
}

fn check_names(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut uses: BTreeMap<&str, usize> = BTreeMap::new();
    for queue in &draft.queues {
        *uses.entry(&queue.name).or_default() += 1;
    }
    for (name, count) in uses {
        if count > 1 {
            let subject = Subject::Queue(name.into());
            report(findings, subject, Problem::DuplicateName { count });
        }
    }
}

fn check_pools(draft: &Draft, findings: &mut Vec<Finding>) {
    for queue in &draft.queues {
        if !draft.pools.contains(&queue.pool) {
            let pool = queue.pool.clone();
            let subject = Subject::Queue(queue.name.clone());
            report(findings, subject, Problem::UnknownPool { pool });
        }
    }
    for pool in &draft.pools {
        if !draft.queues.iter().any(|queue| queue.pool == *pool) {
            let subject = Subject::Pool(pool.clone());
            report(findings, subject, Problem::UnusedPool);
        }
    }
}

fn check_queue(queue: &Queue, findings: &mut Vec<Finding>) {
    let mut add = |problem| report(findings, Subject::Queue(queue.name.clone()), problem);
    if queue.timeout < MIN_TIMEOUT {
        let timeout = queue.timeout;
        add(Problem::TimeoutTooShort { timeout });
    }
    if queue.attempts == 0 {
        add(Problem::NoAttempts);
    }
    if queue.priority > u64::from(u8::MAX) {
        let priority = queue.priority;
        add(Problem::PriorityTooLarge { priority });
    }
    if let Some(stretch) = queue.stretch {
        if !stretch.is_finite() || stretch < 0.0 {
            add(Problem::InvalidStretch { stretch });
        } else if stretch < 1.0 && queue.objective.unwrap_or_default() == Millis::ZERO {
            add(Problem::UnreachableObjective { stretch });
        }
    }
}

fn check_limits(limits: &Limits, findings: &mut Vec<Finding>) {
    let mut add = |problem| report(findings, Subject::Limits, problem);
    if let Some(bytes) = limits
        .header_bytes
        .filter(|bytes| *bytes < MIN_HEADER_BYTES)
    {
        add(Problem::HeaderLimitTooSmall { bytes });
    }
    if let Some(bytes) = limits.body_bytes.filter(|bytes| *bytes < MIN_BODY_BYTES) {
        add(Problem::BodyLimitTooSmall { bytes });
    }
    if limits.header_timeout == Some(Millis::ZERO) {
        add(Problem::NoHeaderTime);
    }
    if let (Some(header), Some(idle)) = (limits.header_timeout, limits.idle_timeout) {
        if idle < header {
            add(Problem::IdleBeforeHeader { header, idle });
        }
    }
}
