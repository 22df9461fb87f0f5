//! Seeded simulations of several entries whose processes are suspended, crash,
//! leave and restart while store calls are delayed, lost and refused.

use filbertbend_standin::slices::{Plan, Simulation, Tally};

/// Runs one simulation for each seed, asserts that it has no violations, and
/// returns the sum of the tallies.
fn run(plan: Plan, seeds: std::ops::Range<u64>) -> Tally {
    let mut sum = Tally::default();
    for seed in seeds {
        let tally = Simulation::new(plan, seed).run();
        assert!(
            tally.violations.is_empty(),
            "seed {seed}: {:#?}",
            &tally.violations[..tally.violations.len().min(10)]
        );
        sum.add(&tally);
    }
    sum
}

/// Guards against lost and duplicated records, and against two processes that may
/// grant leases at the same time, under all faults together.
#[test]
fn every_record_meets_its_reported_fate() {
    let sum = run(Plan::all_faults(), 0..60);

    assert!(sum.durable * 2 > sum.appended, "{sum:?}");
    assert!(sum.unknown > 0, "no append was cut off: {sum:?}");
    assert!(sum.losses > 10, "no owner was fenced: {sum:?}");
    assert!(sum.manifests > 100, "nothing was compacted: {sum:?}");
}

/// Guards against appends of a process that was suspended between deciding on a
/// call and sending it, so that they reach the store long after those of its
/// successor.
#[test]
fn delayed_appends_of_frozen_owners_are_harmless() {
    let plan = Plan {
        send_freezes: 10,
        freezes: 0,
        crashes: 0,
        departures: 0,
        outages: 0,
        ..Plan::all_faults()
    };

    let sum = run(plan, 1000..1040);

    assert!(sum.losses > 100, "no owner was fenced: {sum:?}");
}
