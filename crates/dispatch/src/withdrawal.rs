//! Withdrawals of job identifiers: a caller has cancelled a job that is not
//! stored, and a submission of it may still be on its way.
//!
//! A withdrawal is a key that every submission expects to be absent. A store
//! lease removes it, so that the number of keys is bounded although callers may
//! cancel any identifier. See `docs/incidents/unasked-32.md`.

use {
    crate::platform::{Failure, Lease, Store},
    filbertbend_state::unit::Millis,
    filbertbend_workload::id::Job,
    metrics::counter,
    spdlog::prelude::*,
    std::{cell::RefCell, collections::HashSet},
    tokio::time::Instant,
};

/// How long a withdrawal lasts at least. Submissions are carried out seconds
/// late, and callers repeat them within their deadline, which is shorter.
const MIN_RETENTION: Millis = Millis(60_000);
/// How long a store lease is used for further withdrawals.
const LEASE_USE: Millis = Millis(60_000);
/// How long a withdrawal lasts at most: the time to live of its store lease.
pub(crate) const MAX_RETENTION: Millis = Millis(MIN_RETENTION.0 + LEASE_USE.0);
/// The maximum number of identifiers that an entry withdraws with one lease,
/// 68 a second. An entry thus keeps at most twice as many keys in the store.
const LEASE_LIMIT: usize = 4096;

/// Whether an identifier may be withdrawn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Permit {
    /// The key is to be bound to this lease.
    Granted(Lease),
    /// Too many identifiers have been withdrawn lately.
    Exhausted,
}

/// The withdrawals of one entry.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    current: RefCell<Option<Period>>,
}

/// The withdrawals that share a lease.
#[derive(Debug)]
struct Period {
    lease: Lease,
    since: Instant,
    jobs: HashSet<Job>,
}

impl Ledger {
    /// Returns the lease for the withdrawal of `id`, and counts it.
    pub(crate) async fn permit(&self, store: &impl Store, id: Job) -> Result<Permit, Failure> {
        let since = Instant::now();
        let is_usable = |period: &Period| since < period.since + LEASE_USE.duration();
        if !self.current.borrow().as_ref().is_some_and(is_usable) {
            let lease = store.grant(MAX_RETENTION).await?;
            // Another cancellation may have obtained a lease meanwhile.
            let mut current = self.current.borrow_mut();
            if !current.as_ref().is_some_and(is_usable) {
                *current = Some(Period {
                    lease,
                    since,
                    jobs: HashSet::new(),
                });
            }
        }
        let mut current = self.current.borrow_mut();
        let Some(period) = current.as_mut() else {
            return Ok(Permit::Exhausted);
        };
        if period.jobs.len() >= LEASE_LIMIT && !period.jobs.contains(&id) {
            counter!("filbertbend_withdrawals_refused_total").increment(1);
            return Ok(Permit::Exhausted);
        }
        period.jobs.insert(id);
        Ok(Permit::Granted(period.lease))
    }

    /// Drops a lease that the store no longer knows.
    pub(crate) fn discard(&self, lease: Lease) {
        let mut current = self.current.borrow_mut();
        if current.take_if(|period| period.lease == lease).is_some() {
            warn!("lease of withdrawals has expired", kv: { lease = lease.0 });
        }
    }
}
