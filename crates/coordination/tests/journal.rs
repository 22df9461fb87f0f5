//! Tests of appends, lost answers, fencing and release of a journal.

#[allow(dead_code)]
#[path = "support/journal.rs"]
mod support;

use {
    filbertbend_coordination::{
        journal::{key, Action, Budget, Event, Limits, Predecessor, Reason, Ticket},
        store::{Answer, Call, VALUE_LIMIT_BYTES},
    },
    filbertbend_state::{id, time::Instant, unit::Millis},
    support::{append_each, small_limits, Owner, Store, SLICE},
};

#[test]
fn a_new_slice_begins_with_an_empty_state() {
    let mut store = Store::new();

    let owner = Owner::recovered(&mut store, "a", 1);

    assert_eq!(owner.predecessor(), Some(Predecessor::None));
    assert!(owner.ids().is_empty());
}

/// Guards against losing records between owners.
#[test]
fn a_successor_recovers_every_durable_record() {
    let mut store = Store::new();
    let mut former = Owner::recovered(&mut store, "a", 1);
    append_each(&mut store, &mut former, 1..=5);

    let owner = Owner::recovered(&mut store, "b", 2);

    assert_eq!(former.durable(), [1, 2, 3, 4, 5]);
    assert_eq!(owner.ids(), [1, 2, 3, 4, 5]);
    assert_eq!(owner.predecessor(), Some(Predecessor::Unreleased));
}

/// Guards against one store write per record.
#[test]
fn records_that_wait_share_the_next_entry() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);

    (1..=50).for_each(|id| owner.append(&store, id));
    let calls_at_once = owner.calls.len();
    let writes_before = store.memory.count().writes;
    owner.run_until_idle(&mut store);

    assert_eq!(calls_at_once, 1);
    assert_eq!(store.memory.count().writes - writes_before, 2);
    assert_eq!(owner.durable(), (1..=50).collect::<Vec<_>>());
}

/// Guards against a duplicated or rejected record when the answer to an append
/// that took effect is lost.
#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);

    owner.append(&store, 1);
    owner.answer_lost(&mut store);
    owner.run_until_idle(&mut store);
    let successor = Owner::recovered(&mut store, "b", 2);

    assert_eq!(owner.durable(), [1]);
    assert_eq!(successor.ids(), [1]);
}

/// Guards against abandoning an append that never reached the store.
#[test]
fn a_lost_call_is_sent_again() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);

    owner.append(&store, 1);
    owner.answer_with(&store, Answer::Lost);
    owner.run_until_idle(&mut store);
    let successor = Owner::recovered(&mut store, "b", 2);

    assert_eq!(owner.durable(), [1]);
    assert_eq!(successor.ids(), [1]);
}

/// Guards against a duplicated record when the first try of an append reaches
/// the store after the second one, or between the read and the second one.
#[test]
fn a_late_first_try_does_not_double_a_record() {
    for early in [false, true] {
        let mut store = Store::new();
        let mut owner = Owner::recovered(&mut store, "a", 1);
        owner.append(&store, 1);
        let (ticket, first) = owner.take_call();
        owner.answer(&store, ticket, Answer::Lost);
        owner.advance_to_wake(&mut store);
        owner.answer_next(&mut store);

        if early {
            store.call(first);
            owner.run_until_idle(&mut store);
        } else {
            owner.run_until_idle(&mut store);
            store.call(first);
        }
        append_each(&mut store, &mut owner, 2..=2);
        let successor = Owner::recovered(&mut store, "b", 2);

        assert_eq!(owner.durable(), [1, 2]);
        assert_eq!(successor.ids(), [1, 2]);
    }
}

/// Guards against a former owner that makes records durable after the epoch of
/// its successor: its append is delayed until the successor has compacted and
/// deleted the entries that would conflict with it.
#[test]
fn a_delayed_append_of_a_former_owner_never_succeeds() {
    for ambiguous in [false, true] {
        let mut store = Store::new();
        let mut former = Owner::recovered(&mut store, "a", 1);
        append_each(&mut store, &mut former, 1..=3);
        former.append(&store, 4);
        former.append(&store, 5);
        let (ticket, delayed) = former.take_call();
        let mut owner = Owner::recovered(&mut store, "b", 2);
        append_each(&mut store, &mut owner, 10..=40);

        let answer = store.call(delayed);
        let answer = if ambiguous { Answer::Lost } else { answer };
        former.answer(&store, ticket, answer);
        former.run_until_idle(&mut store);
        let successor = Owner::recovered(&mut store, "c", 3);

        assert!(former.is_lost(), "{:?}", former.reports);
        assert_eq!(former.durable(), [1, 2, 3]);
        let never_sent = (5, Reason::NotOwner);
        if ambiguous {
            assert_eq!(former.unknown(), [4]);
            assert_eq!(former.not_written(), [never_sent]);
        } else {
            assert!(former.unknown().is_empty());
            assert_eq!(former.not_written(), [(4, Reason::NotOwner), never_sent]);
        }
        assert!(!successor.ids().contains(&4));
    }
}

/// Guards against reporting a record as not written that the successor has read.
#[test]
fn an_append_in_flight_is_unknown_when_the_ownership_ends() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);
    owner.append(&store, 1);
    owner.append(&store, 2);
    owner.apply_next(&mut store);

    owner.step(&store, Event::Revoke);
    let successor = Owner::recovered(&mut store, "b", 2);

    assert_eq!(owner.unknown(), [1]);
    assert_eq!(owner.not_written(), [(2, Reason::NotOwner)]);
    assert_eq!(owner.reports.last(), Some(&Action::Lost { newer: None }));
    assert_eq!(successor.ids(), [1]);
}

/// Guards against an `Epoch` entry that does not fence the former owner: while a
/// claimer is suspended after its listing, the owner keeps appending, compacts
/// and deletes the key that the claimer then creates.
#[test]
fn an_epoch_at_a_compacted_key_does_not_fence() {
    let mut store = Store::new();
    let mut former = Owner::recovered(&mut store, "a", 1);
    append_each(&mut store, &mut former, 1..=3);
    let mut claimer = Owner::new("b", 2, small_limits());
    claimer.step(&store, Event::Recover);
    while !matches!(claimer.calls.front(), Some((_, Call::Put { .. }))) {
        claimer.answer_next(&mut store);
    }
    append_each(&mut store, &mut former, 4..=30);

    claimer.run_until_idle(&mut store);
    former.append(&store, 31);
    former.run_until_idle(&mut store);

    assert!(former.is_lost(), "{:?}", former.reports);
    assert_eq!(claimer.ids(), (1..=30).collect::<Vec<_>>());
    append_each(&mut store, &mut claimer, 40..=60);
    let successor = Owner::recovered(&mut store, "c", 3);
    assert_eq!(successor.ids(), claimer.ids());
}

/// Guards against reporting values that a concurrent compaction has deleted as
/// missing.
#[test]
fn a_compaction_during_a_recovery_restarts_it() {
    let mut store = Store::new();
    let mut former = Owner::recovered(&mut store, "a", 1);
    append_each(&mut store, &mut former, 1..=6);
    let mut owner = Owner::new("b", 2, small_limits());
    owner.step(&store, Event::Recover);
    owner.answer_next(&mut store);

    append_each(&mut store, &mut former, 7..=20);
    owner.run_until_idle(&mut store);

    assert_eq!(owner.ids(), (1..=20).collect::<Vec<_>>());
}

/// Guards against an owner whose `Epoch` entry loses a race for a sequence number
/// to the last append of its predecessor, and whose state lacks that append.
#[test]
fn an_append_that_beats_the_epoch_is_recovered() {
    let mut store = Store::new();
    let mut former = Owner::recovered(&mut store, "a", 1);
    let mut owner = Owner::new("b", 2, small_limits());
    owner.step(&store, Event::Recover);
    while !matches!(owner.calls.front(), Some((_, Call::Put { .. }))) {
        owner.answer_next(&mut store);
    }

    append_each(&mut store, &mut former, 1..=1);
    owner.run_until_idle(&mut store);

    assert_eq!(owner.ids(), [1]);
}

/// Guards against records that are lost or stuck in the queue during an outage,
/// and against withdrawing one that may have been sent.
#[test]
fn an_outage_keeps_queued_records_and_allows_withdrawal() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);
    let since = store.now;
    (1..=3).for_each(|id| owner.append(&store, id));
    for _ in 0..10 {
        owner.answer_with(&store, Answer::Unavailable);
        owner.advance_to_wake(&mut store);
    }
    owner.answer_with(&store, Answer::Unavailable);

    let stalled = owner.journal.stalled();
    owner.step(&store, Event::Withdraw(Ticket(2)));
    owner.advance_to_wake(&mut store);
    owner.run_until_idle(&mut store);

    assert_eq!(stalled, Some(since));
    assert_eq!(owner.reports[1], Action::Stalled { since });
    assert_eq!(owner.not_written(), [(2, Reason::Withdrawn)]);
    assert_eq!(owner.durable(), [1, 3]);
    assert!(owner.reports.contains(&Action::Resumed));
    assert_eq!(owner.journal.stalled(), None);
    assert_eq!(owner.journal.pending(), 0);
}

/// Guards against reporting a record as not written although an earlier try
/// of its entry may still take effect.
#[test]
fn a_record_that_may_have_been_sent_is_kept() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);
    owner.append(&store, 1);
    let (ticket, late) = owner.take_call();
    owner.answer(&store, ticket, Answer::Lost);
    owner.advance_to_wake(&mut store);
    owner.answer_next(&mut store);
    owner.answer_with(&store, Answer::Unavailable);

    owner.step(&store, Event::Withdraw(Ticket(1)));
    store.call(late);
    owner.run_until_idle(&mut store);

    assert!(owner.not_written().is_empty());
    let ticket = Ticket(1);
    assert!(owner.reports.contains(&Action::NotWithdrawn { ticket }));
    assert_eq!(owner.durable(), [1]);
}

/// Guards against entries above the value limit of the store, which would never
/// be written.
#[test]
fn no_entry_exceeds_the_limit_of_the_store() {
    let mut store = Store::new();
    let mut owner = Owner::recovered_with(&mut store, "a", 1, Limits::default());

    (1..=40).for_each(|id| owner.append_sized(&store, id, 100_000));
    owner.append_sized(&store, 41, VALUE_LIMIT_BYTES);
    owner.run_until_idle(&mut store);
    let successor = Owner::recovered(&mut store, "b", 2);

    assert_eq!(owner.not_written(), [(41, Reason::TooLarge)]);
    assert_eq!(owner.durable(), (1..=40).collect::<Vec<_>>());
    assert_eq!(successor.ids(), owner.ids());
    let mut sizes = store.pairs().into_iter().map(|pair| pair.value.len());
    assert!(sizes.all(|bytes| bytes <= VALUE_LIMIT_BYTES));
}

/// Guards against a queue that grows without bound while the store is down.
#[test]
fn the_queue_is_bounded() {
    let mut store = Store::new();
    let mut owner = Owner::recovered_with(&mut store, "a", 1, Limits::default());

    (1..=30).for_each(|id| owner.append_sized(&store, id, 1_000_000));
    let refused = owner.not_written();
    owner.run_until_idle(&mut store);

    assert!(refused.iter().all(|(_, why)| *why == Reason::QueueFull));
    assert_eq!(refused.len() + owner.durable().len(), 30);
    assert!(owner.durable().len() >= 16);
}

/// Guards against a release that drops queued records or does not report the end
/// of the last lease.
#[test]
fn a_release_follows_queued_records_and_reports_the_last_lease() {
    let mut store = Store::new();
    let mut former = Owner::recovered(&mut store, "a", 1);
    (1..=3).for_each(|id| former.append(&store, id));
    let leases_end_in = Millis(9000);

    former.step(&store, Event::Release { leases_end_in });
    former.append(&store, 4);
    former.run_until_idle(&mut store);
    let owner = Owner::recovered(&mut store, "b", 2);

    assert_eq!(former.durable(), [1, 2, 3]);
    assert_eq!(former.not_written(), [(4, Reason::NotOwner)]);
    assert_eq!(former.reports.last(), Some(&Action::Released));
    let released = Predecessor::Released { leases_end_in };
    assert_eq!(owner.predecessor(), Some(released));
    assert_eq!(owner.ids(), [1, 2, 3]);
}

/// Guards against using an old `Release` entry after a later owner ended without
/// one.
#[test]
fn a_release_counts_only_for_the_next_owner() {
    let mut store = Store::new();
    let mut first = Owner::recovered(&mut store, "a", 1);
    let leases_end_in = Millis(0);
    first.step(&store, Event::Release { leases_end_in });
    first.run_until_idle(&mut store);
    Owner::recovered(&mut store, "b", 2);

    let owner = Owner::recovered(&mut store, "c", 3);

    assert_eq!(owner.predecessor(), Some(Predecessor::Unreleased));
}

/// Guards against confirming an ownership although another entry has owned the
/// slice in between.
#[test]
fn a_confirmation_shows_whether_the_epoch_is_the_newest() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);
    let at = store.now;
    owner.step(&store, Event::Confirm);
    owner.run_until_idle(&mut store);
    Owner::recovered(&mut store, "b", 2);

    let confirmed = owner.reports.pop();
    owner.step(&store, Event::Confirm);
    owner.run_until_idle(&mut store);

    assert_eq!(confirmed, Some(Action::Confirmed { at }));
    assert!(owner.is_lost(), "{:?}", owner.reports);
}

/// Guards against a confirmation that never succeeds because its read finds an
/// entry that the owner itself has appended.
#[test]
fn a_confirmation_ignores_its_own_append() {
    let mut store = Store::new();
    let mut owner = Owner::recovered(&mut store, "a", 1);
    owner.append(&store, 1);
    owner.step(&store, Event::Confirm);

    owner.run_until_idle(&mut store);

    let confirmed = |report: &Action| matches!(report, Action::Confirmed { .. });
    assert!(owner.reports.iter().any(confirmed), "{:?}", owner.reports);
    assert_eq!(owner.durable(), [1]);
}

/// Guards against handling a late answer to an earlier journal of the same slice.
#[test]
fn answers_to_another_journal_are_ignored() {
    let mut store = Store::new();
    let mut former = Owner::recovered(&mut store, "a", 1);
    former.append(&store, 1);
    let (late, answer) = former.apply_next(&mut store);
    let mut owner = Owner::recovered(&mut store, "a", 2);
    owner.append(&store, 2);

    owner.answer(&store, late, answer);

    assert!(owner.durable().is_empty());
    owner.run_until_idle(&mut store);
    assert_eq!(owner.durable(), [2]);
}

/// Guards against exceeding the entry's share of the store's write rate, and
/// against a busy slice that starves the others.
#[test]
fn the_budget_spaces_writes_and_serves_in_order() {
    let mut budget = Budget::new(300, 1);

    let times: Vec<u64> = (0..301).map(|_| budget.reserve(Instant(5000)).0).collect();

    assert_eq!(times[0], 5000);
    assert!(times.is_sorted());
    assert!((5999..=6001).contains(&times[300]), "{}", times[300]);
    let per_100_ms = |start: u64| {
        let window = start..start + 100;
        times.iter().filter(|at| window.contains(at)).count()
    };
    assert!((5000..5900).all(|start| per_100_ms(start) <= 31));
}

/// Guards against an unnoticed change of the format of store keys.
#[test]
fn keys_sort_by_their_numbers() {
    let keys: Vec<_> = [9, 10, 100, u64::MAX]
        .map(|seq| key::entry(SLICE, seq))
        .into();

    assert!(keys.is_sorted());
    assert_eq!(&*keys[0], "slice/3/journal/00000000000000000009");
    assert_eq!(&*key::manifest(id::Slice(0)), "slice/0/manifest");
}
