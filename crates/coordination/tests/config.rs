//! Tests of publishing the configuration.

mod support {
    pub(crate) mod declaration;
    pub(crate) mod operators;
}

use {
    filbertbend_coordination::{
        config::{codec, key, Intent, Outcome},
        store::{Call, Expect},
    },
    filbertbend_state::{config::Manifest, id, service::Declaration},
    support::{
        declaration::declaration,
        operators::{request, run_session, services, Environment, Fault, Operator},
    },
};

fn endpoint(name: &str) -> id::Endpoint {
    id::Endpoint::new(name).unwrap()
}

#[test]
fn publish_writes_changed_segments_and_deletes_replaced_ones() {
    // Guards against rewriting unchanged segments and against replaced values
    // that accumulate in the store.
    let mut env = Environment::default();
    let layout = declaration("layout", 100);
    env.publish(
        services("ana", &[declaration("check", 1), layout.clone()]),
        1,
    );
    let before = env.manifest();

    let change = env.publish(
        services("ana", &[declaration("check", 2), layout.clone()]),
        2,
    );

    let after = env.manifest();
    assert_eq!(change.from, id::Revision(1));
    assert_eq!(change.to, id::Revision(2));
    assert_eq!(
        &*change.summary[0],
        "change service check: deadline 1ms -> 2ms"
    );
    assert_eq!(after.segments[1], before.segments[1], "layout is unchanged");
    assert_ne!(after.segments[0], before.segments[0]);
    assert_eq!(env.in_force(), [declaration("check", 2), layout]);
    assert_eq!(env.segments(), 2);
    assert_eq!(after.audit.len(), 2);
}

#[test]
fn publish_of_the_same_services_changes_nothing() {
    // Guards against revisions and audit entries without a change.
    let mut env = Environment::default();
    let request = services("ana", &[declaration("check", 1)]);
    env.publish(request.clone(), 1);

    let outcome = Operator::new(request, 2).run(&mut env, Fault::None);

    assert_eq!(outcome, Outcome::Unchanged(id::Revision(1)));
    assert_eq!(env.manifest().audit.len(), 1);
}

#[test]
fn loser_of_a_race_is_told_who_won_and_leaves_nothing() {
    // Guards against a second publish that overwrites the first one.
    let mut env = Environment::default();
    env.publish(services("ana", &[declaration("check", 1)]), 1);
    let mut slow = Operator::new(services("ana", &[declaration("check", 2)]), 2);
    slow.run_to_swap(&mut env);

    let won = env.publish(services("luis", &[declaration("check", 3)]), 3);
    let outcome = slow.run(&mut env, Fault::None);

    let winner = Some(won);
    let base = id::Revision(1);
    assert_eq!(outcome, Outcome::LostRace { base, winner });
    assert_eq!(env.in_force(), [declaration("check", 3)]);
    assert_eq!(env.segments(), 1, "the loser's segment is deleted");
}

#[test]
fn loser_to_a_drain_deletes_only_its_own_segments() {
    // Guards against a loser that deletes the segments it wanted to replace,
    // which the winner still names.
    let mut env = Environment::default();
    env.publish(services("ana", &[declaration("check", 1)]), 1);
    let mut slow = Operator::new(services("ana", &[declaration("check", 2)]), 2);
    slow.run_to_swap(&mut env);

    env.publish(request("luis", Intent::Drain(endpoint("runner-1"))), 3);
    let outcome = slow.run(&mut env, Fault::None);

    assert!(matches!(outcome, Outcome::LostRace { .. }));
    assert_eq!(env.in_force(), [declaration("check", 1)]);
    assert_eq!(env.segments(), 1);
}

#[test]
fn publish_that_meets_a_replaced_segment_reads_the_manifest_again() {
    // Guards against a plan without the services whose segments were deleted
    // between the two reads.
    let mut env = Environment::default();
    env.publish(services("ana", &[declaration("check", 1)]), 1);
    let mut operator = Operator::new(services("ana", &[declaration("layout", 1)]), 2);
    operator.advance(&mut env, Fault::None);
    operator.advance(&mut env, Fault::None);
    env.publish(services("luis", &[declaration("check", 2)]), 3);

    let outcome = operator.run(&mut env, Fault::None);

    assert!(matches!(outcome, Outcome::Published(change) if change.from == id::Revision(2)));
}

#[test]
fn lost_answer_is_unknown_when_the_audit_entry_was_archived() {
    // Guards against reporting a lost race, and deleting segments in force,
    // because the publisher's own change is no longer in the manifest.
    let mut env = Environment::default();
    let mut operator = Operator::new(services("ana", &[declaration("check", 1)]), 1);
    operator.run_to_swap(&mut env);
    operator.advance(&mut env, Fault::LostAfter);
    for number in 0..70 {
        let intent = match number % 2 {
            0 => Intent::Drain(endpoint("runner-1")),
            _ => Intent::Undrain(endpoint("runner-1")),
        };
        env.publish(request("luis", intent), 100 + number);
    }

    let outcome = operator.run(&mut env, Fault::None);

    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    assert_eq!(env.in_force(), [declaration("check", 1)]);
}

#[test]
fn lost_answer_of_the_swap_is_settled_by_reading_back() {
    // Guards against reporting that a publish in force has failed, or that a
    // failed publish is in force.
    for fault in [Fault::LostAfter, Fault::LostBefore, Fault::Delayed] {
        let mut env = Environment::default();
        let mut operator = Operator::new(services("ana", &[declaration("check", 1)]), 1);
        operator.run_to_swap(&mut env);

        operator.advance(&mut env, fault);
        let outcome = operator.run(&mut env, Fault::None);
        env.deliver_all();

        assert!(matches!(outcome, Outcome::Published(_)), "{fault:?}");
        assert_eq!(env.manifest().revision, id::Revision(1));
        assert_eq!(env.manifest().audit.len(), 1, "{fault:?}");
        assert_eq!(env.in_force(), [declaration("check", 1)]);
    }
}

#[test]
fn lost_answer_is_resolved_although_another_publish_followed() {
    // Guards against comparing with the newest manifest only: the change is in
    // force, but a later one has replaced the manifest.
    let mut env = Environment::default();
    let mut operator = Operator::new(services("ana", &[declaration("check", 1)]), 1);
    operator.run_to_swap(&mut env);
    operator.advance(&mut env, Fault::LostAfter);
    env.publish(request("luis", Intent::Drain(endpoint("runner-1"))), 2);

    let outcome = operator.run(&mut env, Fault::None);

    assert!(matches!(outcome, Outcome::Published(change) if change.to == id::Revision(1)));
}

#[test]
fn lost_answer_after_a_lost_race_is_not_taken_for_a_success() {
    // Guards against taking the identical change of another publish for the
    // publisher's own.
    let mut env = Environment::default();
    let same = services("ana", &[declaration("check", 1)]);
    let mut operator = Operator::new(same.clone(), 1);
    operator.run_to_swap(&mut env);
    env.publish(same, 2);

    operator.advance(&mut env, Fault::LostAfter);
    let outcome = operator.run(&mut env, Fault::None);

    assert!(matches!(
        outcome,
        Outcome::LostRace {
            winner: Some(_),
            ..
        }
    ));
    assert_eq!(env.in_force(), [declaration("check", 1)]);
}

#[test]
fn outage_before_the_swap_is_unavailable_and_after_it_unknown() {
    // Guards against reporting success or failure when the outcome is unknown.
    let mut env = Environment::default();
    let mut before = Operator::new(services("ana", &[declaration("check", 1)]), 1);
    before.run_to_swap(&mut env);
    let mut after = Operator::new(services("luis", &[declaration("check", 2)]), 2);
    after.run_to_swap(&mut env);

    let refused = before.run(&mut env, Fault::Down);
    after.advance(&mut env, Fault::Delayed);
    let unknown = after.run(&mut env, Fault::Down);
    env.deliver_all();

    assert_eq!(refused, Outcome::Unavailable);
    assert!(matches!(unknown, Outcome::Unknown(_)));
    assert_eq!(env.in_force(), [declaration("check", 2)]);
}

#[test]
fn clean_up_keeps_segments_of_a_publish_in_progress_and_removes_old_orphans() {
    // Guards against a clean-up that deletes segments to which a manifest that
    // is being published will refer.
    let mut env = Environment::default();
    env.publish(services("ana", &[declaration("check", 1)]), 1);
    let mut stuck = Operator::new(services("eva", &[declaration("check", 2)]), 2);
    stuck.run_to_swap(&mut env);
    let mut slow = Operator::new(services("luis", &[declaration("check", 3)]), 3);
    slow.run_to_swap(&mut env);
    assert_eq!(env.segments(), 3);

    let mut lister = Operator::new(services("ana", &[declaration("check", 4)]), 4);
    lister.run_to_swap(&mut env);
    slow.run(&mut env, Fault::None);
    lister.run(&mut env, Fault::None);

    assert_eq!(env.in_force(), [declaration("check", 3)]);
    env.publish(services("ana", &[declaration("check", 5)]), 5);
    assert_eq!(env.in_force(), [declaration("check", 5)]);
    assert_eq!(env.segments(), 1, "eva's segment is an orphan by now");
}

#[test]
fn drains_are_published_with_an_audit_entry() {
    // Guards against a drain that drops services or is not recorded.
    let mut env = Environment::default();
    env.publish(services("ana", &[declaration("check", 1)]), 1);

    env.publish(request("ana", Intent::Drain(endpoint("runner-1"))), 2);
    let drained = env.manifest();
    env.publish(request("luis", Intent::Undrain(endpoint("runner-1"))), 3);
    let again = Operator::new(request("luis", Intent::Undrain(endpoint("runner-1"))), 4)
        .run(&mut env, Fault::None);

    assert_eq!(drained.drains, [endpoint("runner-1")]);
    assert_eq!(env.manifest().drains, []);
    assert_eq!(env.in_force(), [declaration("check", 1)]);
    assert_eq!(again, Outcome::Unchanged(id::Revision(3)));
    let lines: Vec<String> = env
        .manifest()
        .audit
        .iter()
        .map(|change| format!("{} {}", change.author, change.summary.join("; ")))
        .collect();
    assert_eq!(
        lines,
        [
            "ana add service check of team drawing",
            "ana drain endpoint runner-1",
            "luis undrain endpoint runner-1"
        ]
    );
}

#[test]
fn publish_against_a_reviewed_revision_refuses_another() {
    // Guards against a publish that overwrites a change made after the review.
    let mut env = Environment::default();
    env.publish(services("ana", &[declaration("check", 1)]), 1);
    env.publish(services("luis", &[declaration("check", 2)]), 2);
    let mut reviewed = services("ana", &[declaration("check", 3)]);
    reviewed.expected = Some(id::Revision(1));

    let outcome = Operator::new(reviewed, 3).run(&mut env, Fault::None);

    assert_eq!(env.in_force(), [declaration("check", 2)]);
    assert!(matches!(
        outcome,
        Outcome::LostRace { winner: Some(change), .. } if &*change.author == "luis"
    ));
}

#[test]
fn older_audit_entries_are_archived_and_none_is_lost() {
    // Guards against a manifest that grows with each change, and against
    // changes that are lost when they move to an archive.
    let mut env = Environment::default();
    for number in 0..3000 {
        let intent = match number % 2 {
            0 => Intent::Drain(endpoint("runner-1")),
            _ => Intent::Undrain(endpoint("runner-1")),
        };
        env.publish(request("ana", intent), number);
        assert!(env.manifest().audit.len() <= 64);
    }

    let manifest = env.manifest();
    assert!(manifest.audit_segments.len() <= 64);
    let mut changes = manifest.audit.clone();
    let mut keys = manifest.audit_segments;
    while let Some(key) = keys.pop() {
        let pair = env.memory.pairs(&key).remove(0);
        let archive: codec::Archive = codec::decode(&pair.value).unwrap();
        keys.extend(archive.older);
        changes.extend(archive.changes);
    }
    changes.sort_by_key(|change| change.to);
    let numbers: Vec<u64> = changes.iter().map(|change| change.to.0).collect();
    assert_eq!(numbers, (1..=3000).collect::<Vec<_>>());
}

#[test]
fn unreadable_manifest_is_reported_and_left_alone() {
    // Guards against replacing a value of a newer format with an older one.
    let mut env = Environment::default();
    let put = Call::Put {
        key: key::MANIFEST.into(),
        value: vec![200],
        expect: Expect::Absent,
        lease: None,
    };
    env.call(put, Fault::None);

    let outcome =
        Operator::new(services("ana", &[declaration("check", 1)]), 1).run(&mut env, Fault::None);

    let error = codec::Error::Format(200);
    assert!(matches!(outcome, Outcome::Rejected { error: found, .. } if found == error));
    assert_eq!(env.memory.pairs(key::MANIFEST)[0].value, [200]);
}

#[test]
fn values_stay_below_the_limit_of_the_store() {
    // Guards against a manifest that exceeds the value limit of the store
    // because it holds long summaries of thousands of services.
    let mut env = Environment::default();
    for round in 0..12 {
        let all: Vec<Declaration> = (0..2000)
            .map(|index| declaration(&format!("service-{index:04}"), 100 + round))
            .collect();
        env.publish(services("ana", &all), round);
    }

    let largest = env.memory.pairs("config/");
    let largest = largest.iter().map(|pair| pair.value.len()).max();
    assert!(largest < Some(512 << 10), "{largest:?}");
    assert_eq!(env.segments(), 2000);
}

/// Runs one random session and checks its outcomes against the final state of the
/// store.
fn check_session(seed: u64) -> Vec<Outcome> {
    let mut env = Environment::default();
    env.publish(services("ana", &[declaration("check", 1)]), 1_000_000);
    let drain = Intent::Drain(endpoint("runner-1"));
    let mut operators: Vec<Operator> = (0..3)
        .map(|number| {
            let deadline = 10 + number;
            let shared = declaration("check", deadline);
            let own = declaration(&format!("service-{number}"), deadline);
            Operator::new(services("ana", &[shared, own]), seed * 10 + number)
        })
        .collect();
    operators.push(Operator::new(request("luis", drain), seed * 10 + 9));

    run_session(&mut env, &mut operators, seed);

    let manifest: Manifest = env.manifest();
    env.in_force();
    let outcomes: Vec<Outcome> = operators
        .into_iter()
        .filter_map(|operator| operator.outcome)
        .collect();
    let recorded = |nonce| manifest.audit.iter().filter(|c| c.nonce == nonce).count();
    let mut certain = 0;
    let mut possible = 0;
    for outcome in &outcomes {
        match outcome {
            Outcome::Published(change) => {
                assert_eq!(recorded(change.nonce), 1, "seed {seed}: {outcome:?}");
                certain += 1;
            }
            Outcome::Unknown(_) => possible += 1,
            Outcome::LostRace { .. } | Outcome::Unavailable => {}
            other => panic!("seed {seed}: {other:?}"),
        }
    }
    let made = manifest.audit.len() - 1;
    assert!(
        (certain..=certain + possible).contains(&made),
        "seed {seed}: {made} changes were made, {certain} told so, {possible} unknown"
    );
    assert_eq!(manifest.revision.0 as usize, manifest.audit.len());
    outcomes
}

#[test]
fn random_sessions_never_give_a_wrong_answer_or_lose_a_segment() {
    // Guards against wrong outcomes and missing segments under lost, delayed and
    // refused calls in any order.
    let mut counts = [0; 4];
    for seed in 0..4000 {
        for outcome in check_session(seed) {
            let kind = match outcome {
                Outcome::Published(_) => 0,
                Outcome::LostRace { .. } => 1,
                Outcome::Unavailable => 2,
                _ => 3,
            };
            counts[kind] += 1;
        }
    }

    println!("published, lost, unavailable, unknown: {counts:?}");
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}
