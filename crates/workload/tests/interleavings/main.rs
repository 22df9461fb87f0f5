//! Seeded interleavings of planners, agents and workers: links and calls are
//! late, lost or silent in one direction, agents and workers restart, and the
//! leader is paused, slow or replaced.

mod cluster;
mod restarts;
#[path = "../support/mod.rs"]
mod support;
mod worker;

use {
    cluster::{Cluster, Disorder},
    support::{job, step},
};

const SEEDS: std::ops::Range<u64> = 0..400;
/// The seeds of the sessions with several changes of leader.
const TAKEOVER_SEEDS: std::ops::Range<u64> = 0..200;
const WORKERS: usize = 3;
/// How long the jobs may take after the troubles. A new leader waits for up to
/// 10 s for a worker that it cannot reach.
const RECOVERY_LIMIT: u64 = 35_000;

/// Lets one trouble begin, mostly on the same side as the last ones.
fn trouble(cluster: &mut Cluster, side: &mut usize) {
    if cluster.chance(40) {
        *side = cluster.pick(0, WORKERS as u64 - 1) as usize;
    }
    let side = *side;
    let span = cluster.pick(100, 9000);
    match cluster.pick(0, 9) {
        0 => cluster.cut(side, span),
        1 => cluster.mute(side, 0, span),
        2 => cluster.mute(side, 1, span),
        3 => cluster.drop_link(side),
        4 => cluster.kill_agent(side),
        5 => cluster.restart_worker(side, span / 8),
        6 => cluster.restart_worker(side, 1),
        7 => cluster.pause_leader(span / 2),
        8 => cluster.slow_leader(span / 3, 4000),
        _ => cluster.disorder = Disorder { late: 30, lost: 10 },
    }
}

/// Replaces the leader, which has ended or is cut off from the store.
fn replace_leader(cluster: &mut Cluster) {
    if cluster.chance(50) {
        cluster.kill_leader();
    } else {
        cluster.cut_leader(20_000);
    }
    let vacant = cluster.pick(2000, 3000);
    cluster.run(vacant);
    cluster.lead();
}

fn play(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, WORKERS);
    for id in 1..=8 {
        let delay = cluster.pick(200, 18_000);
        let tasks = cluster.pick(1, 4) as u16;
        cluster.submit(delay, id, job(vec![step(tasks)]));
    }
    let replaced = cluster.pick(2, 40);
    let mut side = 0;
    for round in 0..20 {
        let pause = cluster.pick(20, 1500);
        cluster.run(pause);
        cluster.disorder = Disorder { late: 8, lost: 2 };
        trouble(&mut cluster, &mut side);
        if round == replaced {
            replace_leader(&mut cluster);
        }
    }
    cluster.disorder = Disorder::default();
    let limit = cluster.now + RECOVERY_LIMIT;
    while cluster.now < limit && !cluster.is_settled() {
        cluster.run(1000);
    }
    cluster
}

/// Lets leaders follow one another, while former ones still renew leases of
/// workers that the new one doesn't see.
fn play_takeovers(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, WORKERS);
    for id in 1..=8 {
        let delay = cluster.pick(200, 18_000);
        let tasks = cluster.pick(1, 4) as u16;
        cluster.submit(delay, id, job(vec![step(tasks)]));
    }
    let mut side = 0;
    for _ in 0..3 {
        let pause = cluster.pick(20, 4000);
        cluster.run(pause);
        cluster.disorder = Disorder { late: 8, lost: 2 };
        trouble(&mut cluster, &mut side);
        let span = cluster.pick(1000, 25_000);
        cluster.blind(side, span);
        let silent = cluster.pick(0, WORKERS as u64 - 1) as usize;
        let span = cluster.pick(1000, 15_000);
        cluster.silence_worker(silent, span);
        replace_leader(&mut cluster);
        if cluster.chance(50) {
            let other = cluster.pick(0, WORKERS as u64 - 1) as usize;
            let delay = cluster.pick(5000, 15_000);
            cluster.restart_worker(other, delay);
        }
        let pause = cluster.pick(20, 12_000);
        cluster.run(pause);
    }
    cluster.disorder = Disorder::default();
    let limit = cluster.now + RECOVERY_LIMIT;
    while cluster.now < limit && !cluster.is_settled() {
        cluster.run(1000);
    }
    cluster
}

/// Guards against a new leader that gives a run up whose worker still has a
/// lease from a former leader.
#[test]
fn leases_of_former_leaders_are_waited_for() {
    let mut abandoned = 0;

    for seed in TAKEOVER_SEEDS {
        let cluster = play_takeovers(seed);
        let violations = &cluster.truth.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert!(cluster.is_settled(), "seed {seed}: {:?}", cluster.open());
        abandoned += cluster.truth.abandoned;
    }

    assert!(abandoned > 200, "only {abandoned} runs were given up");
}

/// Guards against tasks that run twice at once, are started again after an end
/// that was acknowledged, or are forgotten.
#[test]
fn tasks_run_once_and_to_the_end() {
    let (mut starts, mut expiries) = (0, 0);

    for seed in SEEDS {
        let cluster = play(seed);
        let violations = &cluster.truth.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert!(cluster.is_settled(), "seed {seed}: {:?}", cluster.open());
        starts += cluster.truth.starts;
        expiries += cluster.truth.expiries;
    }

    assert!(starts > 6000, "only {starts} starts");
    assert!(expiries > 300, "only {expiries} leases expired");
}
