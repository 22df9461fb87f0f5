//! Workers that restart under their names while calls are under way and long
//! tasks run.

use {
    crate::{
        cluster::{Cluster, Restarts},
        replace_leader,
        support::{job, step},
        RECOVERY_LIMIT, WORKERS,
    },
    std::ops::Range,
};

const SEEDS: Range<u64> = 0..200;
/// The longest run.
const RUN_LIMIT: u64 = 15_000;

/// Lets workers restart within a second. Soon after, one is cut off from its
/// leader, which ends or is cut off from the store in half of the sessions.
fn play(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, WORKERS);
    cluster.run_limit = RUN_LIMIT;
    cluster.restarts = Restarts {
        closes: true,
        notice: 1000,
    };
    for id in 1..=12 {
        let delay = cluster.pick(200, 9000);
        let tasks = cluster.pick(1, 3) as u16;
        cluster.submit(delay, id, job(vec![step(tasks)]));
    }
    let before = cluster.pick(500, 3000);
    cluster.run(before);
    for _ in 0..2 {
        let side = cluster.pick(0, WORKERS as u64 - 1) as usize;
        let down = cluster.pick(1, 1000);
        cluster.restart_worker(side, down);
        let until_cut = cluster.pick(500, 3000);
        cluster.run(down + until_cut);
        cluster.cut(side, 9000);
        if cluster.chance(50) {
            replace_leader(&mut cluster);
        }
        let cut = cluster.pick(5000, 14_000);
        cluster.run(cut);
    }
    let limit = cluster.now + RECOVERY_LIMIT + RUN_LIMIT;
    while cluster.now < limit && !cluster.is_settled() {
        cluster.run(1000);
    }
    cluster
}

/// Guards against tasks that run twice, since the lease by a former clock outlasts the granted one.
#[test]
fn restarted_worker_keeps_no_lease_by_its_former_clock() {
    let (mut starts, mut expiries) = (0, 0);

    for seed in SEEDS {
        let cluster = play(seed);
        let violations = &cluster.truth.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert!(cluster.is_settled(), "seed {seed}: {:?}", cluster.open());
        starts += cluster.truth.starts;
        expiries += cluster.truth.expiries;
    }

    assert!(starts > 4000, "only {starts} starts");
    assert!(expiries > 100, "only {expiries} leases expired");
}
