//! Tests of damaged and malformed values in the store.

#[allow(dead_code)]
#[path = "support/journal.rs"]
mod support;

use {
    filbertbend_coordination::{
        journal::{key, Action, Error, Event, Fault, Reason},
        store::{Answer, Lease, Pair, Version, VALUE_LIMIT_BYTES},
    },
    filbertbend_state::hash,
    proptest::{prelude::*, test_runner::RngSeed},
    support::{append_each, small_limits, Owner, Store, SLICE},
};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_260_101),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns a store with a slice that has a manifest, segments and entries after
/// the base.
fn filled_store() -> Store {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);
    append_each(&mut store, &mut owner, 1..=20);
    store
}

/// Tries to recover the slice and returns why it failed.
fn failure(store: &mut Store) -> Option<Error> {
    let mut owner = Owner::new("b", 2, small_limits());
    owner.step(store, Event::Recover);
    owner.run_until_idle(store);
    owner.reports.into_iter().find_map(|report| match report {
        Action::Failed(error) => Some(error),
        _ => None,
    })
}

/// Returns the pairs that a recovery reads: the manifest, the segments and the
/// entries after the `Epoch` entry that is kept for fencing.
fn read_by_recovery(store: &Store) -> Vec<Pair> {
    let fence = key::entry(SLICE, 1);
    let pairs = store.pairs().into_iter();
    pairs.filter(|pair| pair.key != fence).collect()
}

fn check_damage(damage: impl Fn(&Pair) -> Vec<u8>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for pair in read_by_recovery(&filled_store()) {
        let mut store = filled_store();
        store.overwrite(&pair.key, damage(&pair));
        let before = store.pairs();

        let error = failure(&mut store);

        match error {
            Some(Error::Damaged { key, fault, slice }) => {
                assert_eq!((key, slice), (pair.key, SLICE));
                faults.push(fault);
            }
            other => panic!("{}: {other:?}", pair.key),
        }
        assert_eq!(store.pairs(), before, "the slice was not left alone");
    }
    assert!(faults.len() > 10);
    faults
}

/// Guards against using a state that was read from a damaged value, and against
/// overwriting a value that an operator may still repair.
#[test]
fn a_flipped_bit_stops_the_recovery() {
    let faults = check_damage(|pair| {
        let mut value = pair.value.clone();
        let middle = value.len() / 2;
        value[middle] ^= 4;
        value
    });

    assert!(faults.iter().all(|fault| *fault == Fault::Checksum));
}

#[test]
fn a_truncated_value_stops_the_recovery() {
    check_damage(|pair| pair.value[..pair.value.len() - 1].to_vec());
    check_damage(|pair| pair.value[..5].to_vec());
    check_damage(|_| Vec::new());
}

#[test]
fn a_value_of_another_format_stops_the_recovery() {
    let faults = check_damage(|_| b"{\"jobs\": []}".to_vec());

    assert!(faults.iter().all(|fault| *fault == Fault::Format));
}

/// Guards against accepting an intact value that was written for another key.
#[test]
fn a_value_of_another_key_stops_the_recovery() {
    let mut other = Store::new();
    let mut owner = Owner::recovered(&mut other, "x", 9);
    append_each(&mut other, &mut owner, 1..=3);
    let foreign = other.pairs()[2].value.clone();

    check_damage(|_| foreign.clone());
}

/// Guards against a recovery that ignores a missing value.
#[test]
fn a_missing_value_stops_the_recovery() {
    let all = read_by_recovery(&filled_store());
    let last = all.iter().rposition(|pair| pair.key.contains("/journal/"));
    for (index, pair) in all.iter().enumerate() {
        // Without the last entry the journal is shorter, but has no gap.
        if Some(index) == last {
            continue;
        }
        let mut store = filled_store();
        store.call(filbertbend_coordination::store::Call::Delete {
            key: pair.key.clone(),
            version: None,
        });
        let before = store.pairs();

        let error = failure(&mut store);

        assert!(
            matches!(error, Some(Error::Missing { .. })),
            "{}: {error:?}",
            pair.key
        );
        assert_eq!(store.pairs(), before, "the slice was not left alone");
    }
}

/// Guards against applying an entry whose epoch did not own its sequence number.
#[test]
fn an_entry_of_another_epoch_stops_the_recovery() {
    let mut other = Store::new();
    let mut former = Owner::recovered(&mut other, "a", 7);
    append_each(&mut other, &mut former, 1..=2);
    let mut owner = Owner::recovered(&mut other, "b", 8);
    append_each(&mut other, &mut owner, 3..=3);
    let key = key::entry(SLICE, 5);
    let foreign = other.memory.pairs(&key)[0].value.clone();
    let mut store = Store::new();
    let mut former = Owner::recovered(&mut store, "a", 1);
    append_each(&mut store, &mut former, 1..=5);

    store.overwrite(&key, foreign);
    let error = failure(&mut store);

    let fault = Fault::Epoch;
    assert!(matches!(error, Some(Error::Damaged { fault: found, .. }) if found == fault));
}

/// Guards against an owner that continues to append after it has found a value
/// that it did not write at its next key.
#[test]
fn a_malformed_entry_at_the_next_key_stops_the_owner() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);
    store.overwrite(&key::entry(SLICE, 2), b"hostile".to_vec());

    append_each(&mut store, &mut owner, 1..=1);

    let failed = owner.reports.last();
    assert!(matches!(
        failed,
        Some(Action::Failed(Error::Damaged {
            fault: Fault::Format,
            ..
        }))
    ));
    assert_eq!(owner.not_written(), [(1, Reason::NotOwner)]);
}

/// Guards against replacing a manifest that cannot be decoded.
#[test]
fn a_malformed_manifest_stops_the_owner() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);
    store.overwrite(&key::manifest(SLICE), b"hostile".to_vec());

    append_each(&mut store, &mut owner, 1..=8);

    let failed = owner.reports.iter().any(|r| matches!(r, Action::Failed(_)));
    assert!(failed, "{:?}", owner.reports);
    let manifest = store.memory.pairs(key::manifest(SLICE));
    assert_eq!(manifest[0].value, b"hostile");
}

/// Guards against an error that does not identify the value to repair.
#[test]
fn an_error_names_the_key_and_the_fault() {
    let mut store = filled_store();
    store.overwrite(&key::manifest(SLICE), vec![0; 40]);

    let error = failure(&mut store).unwrap();

    let text = "slice 3: the value at `slice/3/manifest` is damaged: it is not in the \
                journal's format, or of another version; the slice is left as it is until the \
                value is repaired";
    assert_eq!(error.to_string(), text);
}

/// Adds an envelope with a valid marker, version and checksum.
fn with_envelope(body: &[u8]) -> Vec<u8> {
    let mut value = vec![0xfb, 1];
    value.extend(hash::of(body).to_le_bytes());
    value.extend(body);
    value
}

fn answers() -> impl Strategy<Value = Answer> {
    let pair = (0..40u64, prop::collection::vec(any::<u8>(), 0..40)).prop_map(|(seq, body)| Pair {
        key: key::entry(SLICE, seq),
        value: with_envelope(&body),
        version: Version(seq),
    });
    prop_oneof![
        Just(Answer::Unavailable),
        Just(Answer::Lost),
        Just(Answer::LeaseGone),
        Just(Answer::Unchanged),
        Just(Answer::Leased(Lease(1))),
        Just(Answer::Conflict(None)),
        any::<u64>().prop_map(|version| Answer::Written(Version(version))),
        prop::option::of(pair.clone()).prop_map(Answer::Value),
        prop::collection::vec(pair, 0..40).prop_map(Answer::Page),
    ]
}

proptest! {
    #![proptest_config(config(400))]

    /// Guards against panics and unbounded memory use on values whose checksum is
    /// valid but whose fields are malformed.
    #[test]
    fn malformed_values_with_valid_checksums_are_rejected(
        index in any::<prop::sample::Index>(),
        cut in any::<prop::sample::Index>(),
        noise in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let mut store = filled_store();
        let all = read_by_recovery(&store);
        let pair = index.get(&all);
        let body = &pair.value[10..];
        let mut malformed = body[..cut.index(body.len())].to_vec();
        malformed.extend(&noise);
        prop_assume!(malformed != body);
        store.overwrite(&pair.key, with_envelope(&malformed));
        let before = store.pairs();

        if failure(&mut store).is_some() {
            prop_assert_eq!(store.pairs(), before);
        }
    }

    /// Guards against panics on arbitrary answers of the store.
    #[test]
    fn no_answer_makes_a_journal_panic(
        warm in 0..40usize,
        answers in prop::collection::vec(answers(), 0..60),
    ) {
        let mut store = Store::new();
        let mut owner = Owner::new("a", 1, small_limits());
        owner.step(&store, Event::Recover);
        for id in 0..warm as u64 {
            owner.append_sized(&store, id, 4);
            if !owner.calls.is_empty() {
                owner.answer_next(&mut store);
            }
        }

        for (id, answer) in (100..).zip(answers) {
            owner.append(&store, id);
            if !owner.calls.is_empty() {
                owner.answer_with(&store, answer);
            }
            owner.advance_to_wake(&mut store);
        }

        prop_assert!(owner.journal.pending() < VALUE_LIMIT_BYTES);
    }
}
