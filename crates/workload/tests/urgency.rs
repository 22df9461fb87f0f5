//! The order of jobs for which there is too little room.

use {
    filbertbend_state::{
        time::{Instant, Wall},
        unit::{Cores, Millis},
    },
    filbertbend_workload::{
        catalog::Objective,
        job::{Job, Policy, Step},
        urgency::{longest_chain, Outlook, Standing, Turns, Work},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// A job that should end at the age of 5 s and has 2 s of work left.
fn outlook(age: Millis, begun: bool) -> Outlook {
    Outlook {
        age,
        objective: Millis(5000),
        chain: Millis(2000),
        work: Work::of(4, Cores(1000), Millis(2000)),
        begun,
    }
}

fn step(after: &[u16]) -> Step {
    Step {
        tasks: 1,
        after: after.to_vec(),
        ..Step::default()
    }
}

/// Guards against jobs that keep their place although they cannot be in time, and
/// against jobs that lose it although they can.
#[test]
fn standing_follows_from_what_is_left_and_the_objective() {
    let standing = |age, begun| outlook(Millis(age), begun).standing();

    assert_eq!(standing(3000, true), Standing::InTime);
    assert_eq!(standing(3001, true), Standing::Late);
    assert_eq!(standing(13_000, true), Standing::Late);
    assert_eq!(standing(13_001, true), Standing::Overdue);
    assert_eq!(standing(1500, false), Standing::InTime);
    assert_eq!(standing(1501, false), Standing::Late);
}

/// Guards against room that is spread over many half-done jobs.
#[test]
fn jobs_that_have_begun_come_before_new_ones_while_they_are_of_use() {
    let begun = outlook(Millis(100), true).urgency();
    let new = outlook(Millis(100), false).urgency();
    let late = outlook(Millis(4000), true).urgency();
    let overdue = outlook(Millis(14_000), true).urgency();

    assert!(begun < late);
    assert!(late < new);
    assert!(new < overdue);
}

/// Guards against a sort whose result depends on the order of its input.
#[test]
fn order_is_total() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut any = || {
        let age = Millis(random.random_range(0..40_000));
        outlook(age, random.random()).urgency()
    };
    for _ in 0..2000 {
        let (first, second, third) = (any(), any(), any());

        assert_eq!(first.cmp(&second), second.cmp(&first).reverse());
        assert!(!(first <= second && second <= third) || first <= third);
    }
}

/// Guards against objectives of steps that run side by side, as if each waited for
/// the other, and against an overflow by an operator's figures.
#[test]
fn objective_stretches_the_longest_chain() {
    let job = Job {
        queue: "checks".into(),
        policy: Policy::default(),
        spec: "work".into(),
        steps: vec![step(&[]), step(&[]), step(&[0, 1])],
        accepted: Wall(0),
        schedule: None,
    };
    let times = [Millis(1000), Millis(3000), Millis(500)];
    let chain = longest_chain(&job, |index, _| times[index]);
    let age = |stretch| {
        let allowance = Millis(250);
        Objective { stretch, allowance }.age(chain)
    };

    assert_eq!(chain, Millis(3500));
    assert_eq!(age(2.0), Millis(7250));
    assert_eq!(age(f64::MAX), Millis(u64::MAX));
}

/// Guards against a job that never runs under lasting overload, and against turns
/// that take more than a small part of the room.
#[test]
fn a_deferred_job_takes_a_turn_after_eight_others() {
    let waiting = [
        (1, outlook(Millis(40_000), false)),
        (2, outlook(Millis(30_000), true)),
        (3, outlook(Millis(35_000), false)),
    ];
    let now = Instant(100_000);
    let mut turns = Turns::default();
    for _ in 0..7 {
        turns.job_ended(|_| false);
    }

    assert_eq!(turns.holder(now, waiting), None);
    turns.job_ended(|_| false);
    assert_eq!(turns.holder(now, waiting), Some(2));
    assert_eq!(turns.holder(now + Millis(4999), waiting), Some(2));
    assert_eq!(turns.holder(now + Millis(5000), waiting), None);
}

/// Guards against turns that keep others from theirs after their jobs have ended.
#[test]
fn turn_ends_with_its_job() {
    let mut turns = Turns::default();
    for _ in 0..8 {
        turns.job_ended(|_| false);
    }
    let now = Instant(100_000);
    let holder = turns.holder(now, [(1, outlook(Millis(6000), false))]);

    turns.job_ended(|job| job == 1);

    assert_eq!(holder, Some(1));
    assert_eq!(turns.holder(now, []), None);
}

/// Guards against a turn for a job that has not waited for longer than its caller
/// expects, and against one that passes the oldest.
#[test]
fn turns_go_to_the_oldest_whose_objective_has_passed() {
    let mut turns = Turns::default();
    for _ in 0..8 {
        turns.job_ended(|_| false);
    }

    let young = (1, outlook(Millis(4999), false));
    let old = (2, outlook(Millis(5000), false));
    let older = (3, outlook(Millis(5001), false));
    assert_eq!(turns.holder(Instant(0), [young]), None);
    assert_eq!(turns.holder(Instant(0), [young, old, older]), Some(3));
}
