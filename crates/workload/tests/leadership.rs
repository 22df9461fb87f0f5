//! The times of leadership and of workers' leases.

use {
    filbertbend_state::unit::{Cores, Millis},
    filbertbend_workload::leadership::{
        claim_delay, task_lease, KEY_TTL, LEASE_RENEW_INTERVAL, TAKEOVER_TIME,
    },
};

/// The longest leases that the users' deployments accept.
const LIMITS: [Millis; 2] = [Millis(6000), Millis(10_000)];

/// Guards against tasks that are killed in a change of leader, because their
/// lease, not renewed just before, is shorter than the change.
#[test]
fn leases_outlive_a_change_of_leader() {
    for limit in LIMITS {
        let lease = task_lease(limit);

        assert!(lease >= LEASE_RENEW_INTERVAL + KEY_TTL + TAKEOVER_TIME);
        assert!(lease.0 * 102 / 100 < limit.0, "{lease} of {limit}");
    }
    assert!(task_lease(Millis(2000)) < Millis(2000));
}

/// Guards against a leader that has too little processor time, while other
/// entries have several times as much: a hash of the name decided.
#[test]
fn entries_with_more_processor_time_claim_first() {
    for ranks in [(0, 7), (7, 0), (3, 3)] {
        let strong = claim_delay(ranks.0, Cores(500));
        let weak = claim_delay(ranks.1, Cores(120));
        let weakest = claim_delay(ranks.0, Cores(0));

        assert!(strong + Millis(100) < weak, "{strong} and {weak}");
        assert!(weak < weakest, "{weak} and {weakest}");
        assert!(weakest < Millis(600), "{weakest}");
    }
}
