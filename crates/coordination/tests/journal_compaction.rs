//! Tests of compactions that are interrupted, delayed or blocked.

#[allow(dead_code)]
#[path = "support/journal.rs"]
mod support;

use {
    filbertbend_coordination::{
        journal::{key, Event, Image, Limits},
        store::{Answer, Call},
    },
    filbertbend_standin::slices::{Ledger, Line},
    std::collections::{BTreeMap, BTreeSet},
    support::{append_each, small_limits, Owner, Store, SLICE},
};

fn is_put(call: &Call, part: &str) -> bool {
    matches!(call, Call::Put { key, .. } if key.contains(part))
}

fn is_delete(call: &Call) -> bool {
    matches!(call, Call::Delete { .. })
}

/// Appends records until `stop` returns true for the next call.
fn run_until(store: &mut Store, owner: &mut Owner, stop: impl Fn(&Call) -> bool) {
    for id in 1.. {
        if owner.calls.is_empty() {
            owner.append(store, id);
        }
        while let Some((_, call)) = owner.calls.front() {
            if stop(call) {
                return;
            }
            owner.answer_next(store);
        }
        owner.advance_to_wake(store);
    }
}

/// Answers `calls` calls while appending records. Returns whether this took at
/// most 40 records.
fn run_calls(store: &mut Store, owner: &mut Owner, calls: usize) -> bool {
    let mut id = 0;
    for _ in 0..calls {
        while owner.calls.is_empty() {
            if owner.journal.pending() == 0 {
                id += 1;
                owner.append(store, id);
            }
            owner.advance_to_wake(store);
        }
        owner.answer_next(store);
    }
    id <= 40
}

/// Checks that no segment or entry is left that the manifest does not need.
fn check_no_leftovers(store: &Store, owners: usize) {
    let mut segments: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut entries = 0;
    for key in store.keys() {
        if let Some(name) = key.strip_prefix(&*key::segments(SLICE)) {
            let fields: Vec<&str> = name.split('-').collect();
            let seqs = segments.entry(fields[0].into()).or_default();
            seqs.insert(fields[1].into());
        } else if key.starts_with(&*key::journal(SLICE)) {
            entries += 1;
        }
    }
    assert!(
        segments.values().all(|seqs| seqs.len() == 1),
        "{segments:?}"
    );
    assert!(
        entries <= small_limits().compact_entries + owners,
        "{entries}"
    );
}

/// Guards against lost or duplicated records when a process crashes at any step
/// of a compaction, whether its last call takes effect or not, and against
/// unreferenced values that are never deleted.
#[test]
fn a_crash_at_every_step_loses_nothing() {
    let mut steps = 0;
    for calls in 0.. {
        let mut ended = false;
        for applied in [false, true] {
            let mut store = Store::new();
            let mut former = Owner::recovered(&mut store, "a", 1);
            ended = !run_calls(&mut store, &mut former, calls);
            if applied && !former.calls.is_empty() {
                former.apply_next(&mut store);
            }

            let mut owner = Owner::recovered(&mut store, "b", 2);

            let ids = owner.ids();
            let unique: BTreeSet<u64> = ids.iter().copied().collect();
            assert_eq!(unique.len(), ids.len(), "doubled after {calls} calls");
            assert!(former.durable().iter().all(|id| unique.contains(id)));
            assert!(ids.len() <= former.durable().len() + 1);
            append_each(&mut store, &mut owner, 1001..=1020);
            check_no_leftovers(&store, 2);
            let last = Owner::recovered(&mut store, "c", 3);
            assert_eq!(last.ids(), owner.ids(), "after {calls} calls");
        }
        steps += 1;
        if ended {
            break;
        }
    }
    assert!(steps > 100, "{steps} steps contain no compaction");
}

/// Guards against deleting values that the manifest in force still refers to.
#[test]
fn nothing_is_deleted_before_the_manifest_is_confirmed() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);
    run_until(&mut store, &mut owner, |call| is_put(call, "/manifest"));

    owner.answer_with(&store, Answer::Lost);
    for _ in 0..20 {
        owner.advance_to_wake(&mut store);
        assert!(!owner.calls.iter().any(|(_, call)| is_delete(call)));
        owner.answer_with(&store, Answer::Lost);
    }
    let keys = store.keys().len();
    owner.run_until_idle(&mut store);

    assert!(store.keys().len() < keys);
    let successor = Owner::recovered(&mut store, "b", 2);
    assert_eq!(successor.ids(), owner.ids());
}

/// Guards against lost records when the manifest of a former owner takes effect
/// late, at every step of its successor.
#[test]
fn a_delayed_manifest_of_a_former_owner_is_adopted() {
    for calls in 0..80 {
        let mut store = Store::new();
        let mut former = Owner::recovered(&mut store, "a", 1);
        run_until(&mut store, &mut former, |call| is_put(call, "/manifest"));
        let (ticket, delayed) = former.take_call();
        let mut owner = Owner::new("b", 2, small_limits());
        owner.step(&store, Event::Recover);
        let recovered_first = run_some(&mut store, &mut owner, calls);

        let answer = store.call(delayed);
        former.answer(&store, ticket, answer);
        former.run_until_idle(&mut store);
        owner.run_until_idle(&mut store);
        append_each(&mut store, &mut owner, 2001..=2030);
        let successor = Owner::recovered(&mut store, "c", 3);

        assert!(!former.durable().is_empty());
        assert!(former.durable().iter().all(|id| owner.ids().contains(id)));
        assert_eq!(successor.ids(), owner.ids(), "{calls} {recovered_first}");
        check_no_leftovers(&store, 3);
    }
}

/// Answers up to `calls` calls, and appends records once the slice is recovered.
/// Returns whether it is recovered.
fn run_some(store: &mut Store, owner: &mut Owner, calls: usize) -> bool {
    for id in 0..calls as u64 {
        if owner.is_recovered() && owner.journal.pending() == 0 {
            owner.append(store, 1001 + id);
        }
        if owner.calls.is_empty() {
            owner.advance_to_wake(store);
        }
        if !owner.calls.is_empty() {
            owner.answer_next(store);
        }
    }
    owner.is_recovered()
}

/// Guards against a sweep that deletes the segments of a newer owner, to which no
/// manifest refers yet.
#[test]
fn a_former_owner_deletes_nothing_of_its_successor() {
    for calls in 0..60 {
        let mut store = Store::new();
        let mut former = Owner::recovered(&mut store, "a", 1);
        run_until(&mut store, &mut former, is_delete);
        let mut owner = Owner::recovered(&mut store, "b", 2);
        run_some(&mut store, &mut owner, calls);

        former.run_until_idle(&mut store);
        owner.run_until_idle(&mut store);
        let successor = Owner::recovered(&mut store, "c", 3);

        assert_eq!(successor.ids(), owner.ids(), "{calls}");
    }
}

/// Guards against a journal, and thus a recovery, that grows without bound while
/// no compaction succeeds.
#[test]
fn appends_wait_for_a_compaction_that_is_held_up() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);
    for id in 1..400 {
        owner.append(&store, id);
        for _ in 0..8 {
            match owner.calls.front() {
                Some((_, call)) if is_put(call, "/segment/") => {
                    owner.answer_with(&store, Answer::Lost);
                }
                Some(_) => owner.answer_next(&mut store),
                None => {
                    owner.advance_to_wake(&mut store);
                }
            }
        }
    }

    let entries = store.memory.pairs(key::journal(SLICE)).len();
    let waiting = owner.journal.pending();
    owner.run_until_idle(&mut store);

    assert_eq!(entries, 8 * small_limits().compact_entries);
    assert!(waiting > 300, "{waiting}");
    assert_eq!(owner.durable(), (1..400).collect::<Vec<_>>());
}

/// Guards against recoveries with an unbounded number or size of reads.
#[test]
fn a_recovery_reads_in_bounded_pages() {
    let mut store = Store::new();
    let limits = Limits::default();
    let mut former = Owner::recovered_with(&mut store, "a", 1, limits);
    append_each(&mut store, &mut former, 1..=500);

    let mut owner = Owner::new("b", 2, limits);
    owner.step(&store, Event::Recover);
    let mut calls = 0;
    while !owner.is_recovered() {
        let in_flight = owner.calls.len();
        assert!(in_flight <= 8, "{in_flight} calls at once");
        if let Some((_, Call::List { limit, .. })) = owner.calls.front() {
            assert!(*limit <= 32, "{limit} entries in a page");
        }
        owner.answer_next(&mut store);
        calls += 1;
    }

    assert_eq!(owner.ids(), former.ids());
    assert!(calls <= 16 + 256 / 32 + 4, "{calls} calls");
}

/// Guards against rewriting buckets that have not changed.
#[test]
fn unchanged_buckets_are_carried_over() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);
    append_each(&mut store, &mut owner, 1..=100);
    let before = store.memory.pairs(key::segments(SLICE));
    let line = |id| Line { id, body: vec![] };
    let bucket = Ledger::bucket(&line(1));
    let same = (1000..).filter(|id| Ledger::bucket(&line(*id)) == bucket);

    for id in same.take(20) {
        append_each(&mut store, &mut owner, id..=id);
    }

    let after = store.memory.pairs(key::segments(SLICE));
    let kept = before.iter().filter(|pair| after.contains(pair)).count();
    let changed: BTreeSet<&str> = after
        .iter()
        .filter(|pair| !before.contains(pair))
        .map(|pair| &pair.key[..key::segments(SLICE).len() + 2])
        .collect();
    assert!(kept > 0);
    // The entries that were not compacted before may change other buckets.
    assert!(
        changed.len() <= 1 + small_limits().compact_entries,
        "{changed:?}"
    );
    assert!(changed.len() < 16, "{changed:?}");
}

/// Guards against `Epoch` entries that accumulate without bound.
#[test]
fn only_the_newest_epochs_are_kept() {
    let mut store = Store::new();
    let limits = Limits {
        fences: 3,
        ..small_limits()
    };
    for seed in 1..=10 {
        let mut owner = Owner::recovered_with(&mut store, "a", seed, limits);
        let first = 100 * seed;
        append_each(&mut store, &mut owner, first..=first + 20);
    }

    let entries = store.memory.pairs(key::journal(SLICE)).len();

    assert!(entries <= 3 + small_limits().compact_entries, "{entries}");
    let last = Owner::recovered_with(&mut store, "b", 99, limits);
    assert_eq!(last.ids().len(), 210);
}
