//! Tests the registration of entries and the assignment of slices to them.

#[path = "support/ownership.rs"]
mod support;

use {
    filbertbend_coordination::{
        ownership::{Action, Event, LEASE_TTL, OWNERSHIP_HORIZON, STABLE_SPAN},
        store::{Answer, Call, Expect, Lease, Version},
    },
    filbertbend_standin::store::{network::Faults, Memory},
    filbertbend_state::{id, time::Instant, unit::Millis},
    proptest::{prelude::*, test_runner::RngSeed},
    support::{entry, settling_time, Cluster, Manual, LATENCY_MS, SLICES},
};

#[test]
fn a_single_entry_owns_everything_and_is_listed() {
    let mut cluster = Cluster::new(&["a"]);

    cluster.advance(settling_time());

    assert_eq!(cluster.owned(0).len(), usize::from(SLICES));
    let members = cluster.nodes[0].registry.members();
    assert_eq!(members.len(), 1);
    assert_eq!(
        (&members[0].entry, &*members[0].value),
        (&entry("a"), &b"a"[..])
    );
}

/// Guards against slices without an owner or with two, and against moving slices
/// between entries that neither joined nor left.
#[test]
fn entries_share_the_slices_and_hand_over_one_at_a_time() {
    let mut cluster = Cluster::new(&["a", "b"]);
    cluster.advance(settling_time());
    let before = [cluster.owned(0), cluster.owned(1)];
    cluster.clear_reports();

    cluster.join("d");
    cluster.nodes[0].cooperative = false;
    cluster.advance(settling_time());
    let asked = cluster.count(0, |action| matches!(action, Action::Release(_)));
    let moved = before[0]
        .difference(&cluster.expected_slices(0, &[0, 1, 2]))
        .count();
    assert!(moved > 1, "the entry names must make several slices move");
    assert_eq!(asked, 1, "a second hand-over began during the first");
    cluster.nodes[0].cooperative = true;
    let pending = cluster.nodes[0]
        .reports
        .iter()
        .find_map(|(_, action)| match action {
            Action::Release(slice) => Some(*slice),
            _ => None,
        });
    cluster.step(0, Event::Released(pending.unwrap()));
    cluster.advance(settling_time());

    for index in 0..3 {
        assert_eq!(
            cluster.owned(index),
            cluster.expected_slices(index, &[0, 1, 2])
        );
    }
    assert!(before[0].is_superset(&cluster.owned(0)));
    assert!(before[1].is_superset(&cluster.owned(1)));
    assert_eq!(
        cluster.count(0, |action| matches!(action, Action::Lost(_))),
        0
    );
}

/// Guards against hand-overs before the set of members is stable.
#[test]
fn nothing_is_handed_over_before_the_members_are_stable() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.advance(settling_time());

    cluster.join("b");
    let joined = cluster.now;
    cluster.advance(settling_time());

    let reports = cluster.nodes[0].reports.iter();
    let mut releases = reports.filter(|(_, a)| matches!(a, Action::Release(_)));
    let first = releases.next().unwrap().0;
    assert!(first >= joined + STABLE_SPAN, "{joined} {first}");
    assert!(
        first <= joined + STABLE_SPAN + Millis::from_secs(1),
        "{first}"
    );
}

/// Guards against slices that stay without an owner for longer than the target
/// for urgent work (8.6 s) allows.
#[test]
fn the_slices_of_a_dead_entry_are_claimed_in_time() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.advance(settling_time());
    cluster.nodes[1].frozen = true;

    cluster.advance(LEASE_TTL + Millis::from_secs(2));

    let all: usize = [0, 2]
        .into_iter()
        .map(|index| cluster.owned(index).len())
        .sum();
    assert_eq!(all, usize::from(SLICES));
}

/// Guards against giving up slices, and the work running in them, in a store
/// outage, against first grants without a store lease, and against grants beyond
/// the ownership horizon.
#[test]
fn an_outage_keeps_what_is_owned() {
    let mut cluster = Cluster::new(&["a", "b"]);
    cluster.advance(settling_time());
    let before = [cluster.owned(0), cluster.owned(1)];
    let slice = *before[0].first().unwrap();
    cluster.clear_reports();
    let down_at = cluster.now;

    cluster.network.down = true;
    cluster.advance(Millis::from_secs(60));
    let granted = cluster.nodes[0]
        .registry
        .may_grant_first(cluster.now, slice);
    let limit = cluster.nodes[0].registry.grant_limit(slice).unwrap();
    let stalled = cluster.nodes[0].registry.stalled();
    cluster.nodes[0].cooperative = false;
    cluster.network.down = false;
    cluster.advance(settling_time());
    let unconfirmed = cluster.nodes[0].registry.grant_limit(slice).unwrap();
    let granted_unconfirmed = cluster.nodes[0]
        .registry
        .may_grant_first(cluster.now, slice);
    let at = cluster.now;
    cluster.step(0, Event::Confirmed { slice, at });

    assert!(!granted && !granted_unconfirmed);
    assert!(limit <= down_at + OWNERSHIP_HORIZON);
    assert!(limit + Millis::from_secs(2) >= down_at + OWNERSHIP_HORIZON);
    assert!(stalled.is_some_and(|since| since.since(down_at) <= Millis::from_secs(2)));
    assert_eq!(unconfirmed, limit);
    assert!(cluster.nodes[0]
        .registry
        .may_grant_first(cluster.now, slice));
    assert_eq!([cluster.owned(0), cluster.owned(1)], before);
    for (index, owned) in before.iter().enumerate() {
        let changed = |action: &Action| matches!(action, Action::Owned(_) | Action::Lost(_));
        assert_eq!(cluster.count(index, changed), 0, "entry {index}");
        let reclaimed = cluster.count(index, |action| matches!(action, Action::Reclaimed(_)));
        assert_eq!(reclaimed, owned.len());
    }
}

/// Guards against a process that still acts as an owner after it was frozen for
/// longer than its lease.
#[test]
fn a_frozen_entry_loses_what_others_have_claimed() {
    let mut cluster = Cluster::new(&["a", "b"]);
    cluster.advance(settling_time());
    let before = cluster.owned(0);
    cluster.clear_reports();
    cluster.nodes[0].frozen = true;
    cluster.advance(Millis::from_secs(20));
    let claimed = cluster.owned(1).len();

    let granted = before.iter().any(|slice| {
        cluster.nodes[0]
            .registry
            .may_grant_first(cluster.now, *slice)
    });
    cluster.unfreeze(0);
    cluster.advance(Millis::from_secs(2));
    let lost = cluster.count(0, |action| matches!(action, Action::Lost(_)));
    cluster.advance(settling_time());

    assert!(!granted);
    assert_eq!(claimed, usize::from(SLICES));
    assert_eq!(lost, before.len());
    assert_eq!(cluster.owned(0), before);
}

/// Guards against the first entry that reconnects after an outage claiming all
/// slices before the others have registered again.
#[test]
fn an_early_entry_waits_for_the_others_after_an_outage() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.advance(settling_time());
    let before = cluster.owned(1);
    cluster.network.down = true;
    cluster.advance(Millis::from_secs(10));
    cluster.clear_reports();

    cluster.nodes[1].frozen = true;
    cluster.network.down = false;
    cluster.advance(Millis(600));
    cluster.unfreeze(1);
    cluster.advance(settling_time());

    assert_eq!(cluster.owned(1), before);
    assert_eq!(
        cluster.count(1, |action| matches!(action, Action::Lost(_))),
        0
    );
}

/// Guards against counting the lease from the arrival of the answer. The store
/// counts it from the arrival of the call, which may be much earlier.
#[test]
fn the_lease_counts_from_before_the_call() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.advance(settling_time());
    let slice = id::Slice(0);
    cluster.network.faults.latency_ms = 3000;
    cluster.advance(Millis::from_secs(10));

    cluster.network.down = true;
    let granted_before = cluster.nodes[0]
        .registry
        .may_grant_first(cluster.now, slice);
    cluster.advance(Millis::from_secs(3));

    // The last renewal that arrived was sent at least 1.5 s before the outage.
    assert!(granted_before);
    assert!(!cluster.nodes[0]
        .registry
        .may_grant_first(cluster.now, slice));
}

/// Guards against a slice that is claimed but not used because the answer to the
/// claim was lost.
#[test]
fn a_lost_answer_to_a_claim_is_settled() {
    let mut store = Memory::new();
    let mut manual = Manual::new();
    let ticket = manual.run_until_claim(&mut store);

    manual.answer(ticket, Answer::Lost);
    manual.run(&mut store, Millis(2000), |_| false);

    assert!(manual.reports.contains(&Action::Owned(id::Slice(0))));
}

/// Guards against taking ownership under a lease that lapsed before the claim was
/// answered.
#[test]
fn a_claim_under_a_lapsed_lease_does_not_count() {
    let mut store = Memory::new();
    let mut manual = Manual::new();
    let claim = manual.run_until_claim(&mut store);
    let renews = |call: &Call| matches!(call, Call::Renew { .. });
    manual.run(&mut store, Millis(1500), renews);
    let renewal = manual.take(renews).unwrap().0;
    manual.answer(renewal, Answer::LeaseGone);
    let claims = |call: &Call| matches!(call, Call::Put { key, .. } if key.ends_with("/owner"));
    manual.run(&mut store, Millis(10_000), claims);

    manual.answer(claim, Answer::Written(Version(99)));

    assert!(!manual.registry.owns(id::Slice(0)));
}

/// Guards against recovering a slice that the entry no longer wants when its claim
/// succeeds.
#[test]
fn a_claim_that_is_not_wanted_is_given_up() {
    let mut store = Memory::new();
    let mut manual = Manual::new();
    let claim = manual.run_until_claim(&mut store);
    let version = store.pairs("slice/0/owner")[0].version;

    manual.step(manual.now, Event::Leave);
    manual.answer(claim, Answer::Written(version));
    manual.run(&mut store, Millis(2000), |_| false);

    assert!(!manual.reports.contains(&Action::Owned(id::Slice(0))));
    assert!(manual.reports.contains(&Action::Left));
    assert!(store.pairs("slice/").is_empty());
}

/// Guards against a slice without an owner because a claim took effect late, after
/// the entry no longer wanted the slice.
#[test]
fn a_late_claim_that_is_not_wanted_is_given_up() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.advance(settling_time());
    cluster.join("b");
    cluster.network.faults.lost_calls = 100;
    cluster.network.faults.late_calls = 150;
    cluster.network.faults.lost_answers = 100;
    for round in 0..12 {
        let index = round % 2;
        cluster.nodes[index].frozen = true;
        cluster.advance(Millis(4000 + 300 * round as u64));
        cluster.unfreeze(index);
        cluster.advance(Millis(3000));
    }

    cluster.network.faults = Faults {
        latency_ms: LATENCY_MS,
        ..Faults::default()
    };
    cluster.advance(settling_time());

    for index in 0..2 {
        assert_eq!(
            cluster.owned(index),
            cluster.expected_slices(index, &[0, 1]),
            "entry {index}"
        );
    }
}

/// Guards against deleting a claim that is still wanted: a fenced owner that still
/// holds the key takes ownership again.
#[test]
fn a_fenced_owner_that_holds_the_key_begins_again() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.advance(settling_time());
    cluster.clear_reports();

    cluster.step(0, Event::Fenced(id::Slice(5)));
    let owned = cluster.nodes[0].registry.owns(id::Slice(5));
    cluster.advance(Millis::from_secs(1));

    assert!(!owned);
    let again = cluster.count(0, |action| *action == Action::Owned(id::Slice(5)));
    assert_eq!(again, 1);
}

/// Guards against two processes with the same name that overwrite each other's
/// registration.
#[test]
fn a_second_process_of_the_same_name_waits() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.advance(settling_time());

    cluster.join("a");
    cluster.advance(Millis::from_secs(10));
    let waits = cluster.count(1, |action| *action == Action::NameTaken);
    let owned = cluster.owned(1).len();
    cluster.nodes[0].frozen = true;
    cluster.advance(Millis::from_secs(10));

    assert!(waits > 0);
    assert_eq!(owned, 0);
    assert_eq!(cluster.owned(1).len(), usize::from(SLICES));
}

/// Guards against a graceful shutdown that leaves slices without an owner
/// until a lease lapses.
#[test]
fn a_leaving_entry_hands_everything_over_at_once() {
    let mut cluster = Cluster::new(&["a", "b"]);
    cluster.advance(settling_time());

    cluster.step(0, Event::Leave);
    cluster.advance(Millis::from_secs(2));

    assert_eq!(cluster.count(0, |action| *action == Action::Left), 1);
    assert_eq!(cluster.owned(1).len(), usize::from(SLICES));
    assert_eq!(cluster.nodes[1].registry.members().len(), 1);
}

/// Guards against a shutdown that never finishes because the store was down when
/// it began.
#[test]
fn a_departure_ends_when_the_store_is_back() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.advance(settling_time());
    cluster.network.down = true;
    cluster.advance(Millis::from_secs(10));

    cluster.step(0, Event::Leave);
    cluster.advance(Millis::from_secs(1));
    cluster.network.down = false;
    cluster.advance(Millis::from_secs(5));

    assert_eq!(cluster.count(0, |action| *action == Action::Left), 1);
    assert!(cluster.network.memory.pairs("member/").is_empty());
    assert!(cluster.network.memory.pairs("slice/").is_empty());
}

/// Guards against a malformed value that makes the whole list of members
/// unreadable.
#[test]
fn a_damaged_member_is_passed_over_and_reported() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.advance(settling_time());

    for key in ["member/b", "member/../x"] {
        let call = Call::Put {
            key: key.into(),
            value: vec![0xff; 40],
            expect: Expect::Absent,
            lease: None,
        };
        cluster.network.memory.call(cluster.now, call);
    }
    cluster.advance(Millis::from_secs(1));

    let key = "member/b".into();
    assert!(
        cluster.count(0, |action| *action
            == Action::Malformed {
                key: std::sync::Arc::clone(&key)
            })
            > 0
    );
    assert_eq!(cluster.nodes[0].registry.members().len(), 1);
    assert_eq!(cluster.owned(0).len(), usize::from(SLICES));
}

/// Guards against renewals that wait for an earlier one whose connection is dead.
#[test]
fn a_silent_renewal_does_not_delay_the_next() {
    let mut manual = Manual::new();
    manual.step(Instant(0), Event::Start);
    let grant = manual
        .take(|call| matches!(call, Call::Grant { .. }))
        .unwrap();
    let answer = Answer::Leased(Lease(1));
    let ticket = grant.0;
    manual.step(Instant(5), Event::Answer { ticket, answer });

    for ms in (100..3500).step_by(100) {
        manual.step(Instant(ms), Event::Tick);
    }

    let renewals = manual.calls.iter();
    let renewals = renewals.filter(|(_, call)| matches!(call, Call::Renew { .. }));
    assert_eq!(renewals.count(), 3);
}

fn answers() -> impl Strategy<Value = Answer> {
    let pair = prop::collection::vec(any::<u8>(), 0..40).prop_map(|value| {
        filbertbend_coordination::store::Pair {
            key: "member/b".into(),
            value,
            version: Version(3),
        }
    });
    prop_oneof![
        Just(Answer::Unavailable),
        Just(Answer::Lost),
        Just(Answer::LeaseGone),
        Just(Answer::Unchanged),
        Just(Answer::Leased(Lease(1))),
        Just(Answer::Conflict(None)),
        any::<u64>().prop_map(|version| Answer::Written(Version(version))),
        any::<u64>().prop_map(|version| Answer::Changed(Version(version))),
        prop::option::of(pair.clone()).prop_map(Answer::Value),
        prop::collection::vec(pair, 0..70).prop_map(Answer::Page),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_260_102),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against panics on arbitrary answers of the store.
    #[test]
    fn no_answer_makes_a_registry_panic(answers in prop::collection::vec(answers(), 0..80)) {
        let mut manual = Manual::new();
        manual.step(Instant(0), Event::Start);

        for (tick, answer) in (1..).zip(answers) {
            let now = Instant(tick * 100);
            if !manual.calls.is_empty() {
                let (ticket, _) = manual.calls.remove(0);
                manual.step(now, Event::Answer { ticket, answer });
            }
            manual.step(now, Event::Tick);
        }

        prop_assert!(manual.calls.len() < 100);
    }
}
