//! The times of leadership and of workers' leases.

use {
    filbertbend_state::unit::{Cores, Millis},
    filbertbend_workload::leadership::{
        claim_delay, deference, outage_grace, task_lease, KEY_TTL, LEASE_RENEW_INTERVAL,
        RENEW_INTERVAL, TAKEOVER_TIME,
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

/// Guards against a living leader that is deposed because its lease ran out in an
/// outage, and against a wait for a leader that died while the store answered.
#[test]
fn only_outages_in_which_leases_run_out_delay_a_claim() {
    let short = KEY_TTL - RENEW_INTERVAL - Millis(1);

    for silence in [Millis::ZERO, Millis(300), short] {
        assert_eq!(outage_grace(silence), Millis::ZERO, "{silence}");
    }
    for silence in [KEY_TTL - RENEW_INTERVAL, KEY_TTL, Millis(7200)] {
        let grace = outage_grace(silence);
        assert!(grace >= Millis(500), "{grace} after {silence}");
        assert!(grace + Millis(500) < TAKEOVER_TIME, "{grace}");
    }
}

/// Guards against a leader that has too little processor time because it saw the
/// vacancy first, and against a wait where all entries are alike.
#[test]
fn only_entries_weaker_than_the_last_leader_leave_others_time() {
    let last = Some(Cores(500));

    for own in [Cores(0), Cores(69), Cores(120), Cores(300)] {
        let wait = deference(own, last);
        assert!(wait >= Millis(500), "{own}");
        assert!(
            wait + claim_delay(7, own) + Millis(500) < TAKEOVER_TIME,
            "{own}"
        );
        assert_eq!(deference(own, None), Millis::ZERO, "{own}");
        assert_eq!(deference(own, Some(own)), Millis::ZERO, "{own}");
    }
    for own in [Cores(450), Cores(500), Cores(2000)] {
        assert_eq!(deference(own, last), Millis::ZERO, "{own}");
    }
}
