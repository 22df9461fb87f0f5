//! Seeded sessions of several entries in which processes freeze, die, leave
//! and restart while store calls are delayed, lost and refused.

use {
    filbertbend_coordination::journal::Limits,
    filbertbend_standin::{
        slices::{Plan, Tally, World},
        store::network::Faults,
    },
};

/// Small sizes, so that a short session contains many compactions.
fn limits() -> Limits {
    Limits {
        compact_entries: 12,
        entry_bytes: 200,
        part_bytes: 300,
        ..Limits::default()
    }
}

fn plan() -> Plan {
    Plan {
        processes: 3,
        slices: 2,
        length_ms: 40_000,
        limits: limits(),
        faults: Faults {
            latency_ms: 4,
            jitter_ms: 8,
            lost_calls: 10,
            lost_answers: 20,
            late_calls: 20,
        },
        freezes: 4,
        pauses: 1,
        freeze_ms: 9000,
        deaths: 3,
        leaves: 3,
        outages: 2,
        outage_ms: 6000,
    }
}

/// Runs `seeds` and returns the sums, after checking each session.
fn run(plan: Plan, seeds: std::ops::Range<u64>) -> Tally {
    let mut sum = Tally::default();
    for seed in seeds {
        let tally = World::new(plan, seed).run();
        assert!(
            tally.violations.is_empty(),
            "seed {seed}: {:#?}",
            &tally.violations[..tally.violations.len().min(10)]
        );
        sum.appended += tally.appended;
        sum.durable += tally.durable;
        sum.not_written += tally.not_written;
        sum.unknown += tally.unknown;
        sum.recoveries += tally.recoveries;
        sum.losses += tally.losses;
        sum.manifests += tally.manifests;
    }
    sum
}

/// Guards against lost and doubled records, and against two processes that may
/// grant at the same time, under all faults together.
#[test]
fn every_record_meets_its_reported_fate() {
    let sum = run(plan(), 0..60);

    assert!(sum.durable * 2 > sum.appended, "{sum:?}");
    assert!(sum.unknown > 0, "no append was cut off: {sum:?}");
    assert!(sum.losses > 10, "no owner was fenced: {sum:?}");
    assert!(sum.manifests > 100, "nothing was compacted: {sum:?}");
}

/// Guards against appends of a process that froze between its decision and
/// the call, which then reach the store long after a successor's.
#[test]
fn delayed_appends_of_frozen_owners_are_harmless() {
    let plan = Plan {
        pauses: 10,
        freezes: 0,
        deaths: 0,
        leaves: 0,
        outages: 0,
        ..plan()
    };

    let sum = run(plan, 1000..1040);

    assert!(sum.losses > 100, "no owner was fenced: {sum:?}");
}
