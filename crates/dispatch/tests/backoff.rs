//! Tests of the delays between attempts.

use {
    filbertbend_dispatch::backoff::Backoff,
    std::{collections::BTreeSet, time::Duration},
};

fn delays(node: &str, count: usize) -> Vec<Duration> {
    let mut backoff = Backoff::new(node);
    (0..count).map(|_| backoff.next_delay()).collect()
}

/// Guards against a peer that is dialled at a constant rate while it fails.
#[test]
fn delays_double_up_to_a_limit() {
    let delays = delays("worker-1", 7);

    for (delay, bound_ms) in delays.iter().zip([100, 200, 400, 800, 1600, 1600, 1600]) {
        let bound = Duration::from_millis(bound_ms);
        assert!((bound / 2..=bound).contains(delay), "{delays:?}");
    }
}

/// Guards against nodes that fail together and retry together.
#[test]
fn nodes_have_different_delays() {
    let fifth = (0..58).map(|number| delays(&format!("worker-{number}"), 5)[4]);

    let distinct: BTreeSet<_> = fifth.collect();

    assert_eq!(distinct.len(), 58);
}

/// Guards against long delays after a peer has recovered.
#[test]
fn reset_starts_from_the_shortest_delay() {
    let mut backoff = Backoff::new("worker-1");
    for _ in 0..5 {
        backoff.next_delay();
    }

    backoff.reset();

    assert!(backoff.next_delay() <= Duration::from_millis(100));
}
