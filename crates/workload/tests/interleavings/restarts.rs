//! Workers that restart under their names while calls are under way and long
//! tasks run.

use {
    crate::{
        cluster::{Cluster, Disorder, Restarts},
        replace_leader,
        support::{job, step},
        worker::Wall,
        RECOVERY_LIMIT, WORKERS,
    },
    std::ops::Range,
};

const SEEDS: Range<u64> = 0..200;
/// The seeds of the sessions in which former lives leave calls behind.
const LATE_SEEDS: Range<u64> = 0..200;
/// The seeds of the sessions in which lives have the same start time.
const EQUAL_SEEDS: Range<u64> = 0..100;
/// The longest run.
const RUN_LIMIT: u64 = 15_000;

/// Runs until all jobs have ended, or nothing has run for too long.
fn settle(cluster: &mut Cluster) {
    let mut last_busy = cluster.now;
    while cluster.now < last_busy + RECOVERY_LIMIT && !cluster.is_settled() {
        cluster.run(1000);
        if !cluster.is_idle() {
            last_busy = cluster.now;
        }
    }
}

/// Lets workers restart within a second. Soon after, one is cut off from its
/// leader, which ends or is cut off from the store in half of the sessions.
fn play(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, WORKERS);
    cluster.run_limit = RUN_LIMIT;
    cluster.restarts = Restarts {
        closes: true,
        notice: 1000,
        ..Restarts::default()
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
    settle(&mut cluster);
    cluster
}

/// Starts a worker again, mostly within a poll, and at times twice within a
/// second. Its wall clock may have gone back.
fn restart(cluster: &mut Cluster, side: usize) {
    let times = cluster.pick(1, 2);
    for _ in 0..times {
        let wall = match cluster.pick(0, 9) {
            0..=2 => Wall::Back(cluster.pick(1, 50)),
            _ => Wall::Right,
        };
        let down = cluster.pick(1, 450);
        cluster.restart_worker_at(side, down, wall);
        let up = cluster.pick(1, 500);
        cluster.run(down + up);
    }
}

/// Lets workers restart while calls are under way that take effect late, and
/// while agents are killed, frozen, silent or cut off.
fn play_late_calls(seed: u64, late_starts: bool) -> Cluster {
    let mut cluster = Cluster::new(seed, WORKERS);
    cluster.run_limit = RUN_LIMIT;
    cluster.restarts = Restarts {
        closes: true,
        notice: 1000,
        late_starts,
    };
    for id in 1..=12 {
        let delay = cluster.pick(200, 20_000);
        let tasks = cluster.pick(1, 3) as u16;
        cluster.submit(delay, id, job(vec![step(tasks)]));
    }
    let replaced = cluster.pick(1, 8);
    for round in 1..=4 {
        cluster.disorder = Disorder { late: 15, lost: 2 };
        let before = cluster.pick(500, 6000);
        cluster.run(before);
        let side = cluster.pick(0, WORKERS as u64 - 1) as usize;
        restart(&mut cluster, side);
        let span = cluster.pick(500, 12_000);
        match cluster.pick(0, 7) {
            0 => cluster.kill_agent(side),
            1 => cluster.freeze_agent(side, span / 2),
            2 => cluster.silence_worker(side, span),
            3 => cluster.mute(side, 0, span),
            4..=6 => cluster.cut(side, span),
            _ => {}
        }
        if round == replaced {
            replace_leader(&mut cluster);
        }
    }
    cluster.disorder = Disorder::default();
    settle(&mut cluster);
    cluster
}

/// Guards against tasks that run twice, since a lease by a former clock outlasts
/// the granted one.
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

/// Lets workers restart whose wall clocks show the start of their former lives.
fn play_equal_starts(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, WORKERS);
    cluster.run_limit = RUN_LIMIT;
    cluster.restarts = Restarts {
        closes: true,
        notice: 1000,
        late_starts: true,
    };
    for id in 1..=6 {
        let delay = cluster.pick(200, 6000);
        let tasks = cluster.pick(1, 3) as u16;
        cluster.submit(delay, id, job(vec![step(tasks)]));
    }
    for _ in 0..2 {
        let before = cluster.pick(500, 4000);
        cluster.run(before);
        let side = cluster.pick(0, WORKERS as u64 - 1) as usize;
        let down = cluster.pick(1, 1000);
        cluster.restart_worker_at(side, down, Wall::Same);
    }
    settle(&mut cluster);
    cluster
}

/// Guards against tasks that are forgotten: only its clock tells that the worker
/// has restarted.
#[test]
fn restart_at_the_same_wall_time_is_noticed() {
    for seed in EQUAL_SEEDS {
        let cluster = play_equal_starts(seed);
        let violations = &cluster.truth.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert!(cluster.is_settled(), "seed {seed}: {:?}", cluster.open());
    }
}

/// Plays the sessions with calls to former lives.
fn check_late_calls(late_starts: bool) {
    let (mut starts, mut expiries, mut crossings) = (0, 0, 0);

    for seed in LATE_SEEDS {
        let cluster = play_late_calls(seed, late_starts);
        let violations = &cluster.truth.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert!(cluster.is_settled(), "seed {seed}: {:?}", cluster.open());
        starts += cluster.truth.starts;
        expiries += cluster.truth.expiries;
        crossings += cluster.truth.crossings;
    }

    assert!(starts > 4000, "only {starts} starts");
    assert!(expiries > 10, "only {expiries} leases expired");
    assert!(
        crossings > 500,
        "only {crossings} calls reached another life"
    );
}

/// Guards against tasks that run twice or are forgotten: a restarted worker carries
/// out calls that its former life never got.
#[test]
fn late_calls_of_a_former_life_extend_and_end_nothing() {
    check_late_calls(false);
}

/// Guards against tasks that run twice: a restarted worker carries out starts that
/// its former life never got.
#[test]
fn late_starts_of_a_former_life_run_nothing_twice() {
    check_late_calls(true);
}
