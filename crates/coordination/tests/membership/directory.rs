//! Tests of the directory: failure detection, leaving and restarts.

use {
    crate::support::*,
    filbertbend_coordination::membership::{
        roster_hash, Ack, Connection, DirectoryAction, DirectoryEvent, HeartbeaterAction, Hello,
        State,
    },
    filbertbend_state::{config::Snapshot, id, unit::Slots},
    std::sync::Arc,
};

/// Guards against sending work to a frozen agent, and against not using it again
/// after it resumes.
#[test]
fn frozen_agent_is_suspect_after_2_s_down_after_4_s_and_back_on_its_next_heartbeat() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    entry.heartbeat(0, 1, numbered_heartbeat(1, 0));

    assert_eq!(entry.state(1_999), State::Alive);
    assert_eq!(entry.state(2_000), State::Suspect);
    assert!(!entry.takes_work(2_000));
    assert_eq!(entry.state(3_999), State::Suspect);
    assert_eq!(entry.state(4_000), State::Down);

    entry.heartbeat(9_000, 1, numbered_heartbeat(2, 1));
    entry.heartbeat(9_010, 1, numbered_heartbeat(3, 2));
    assert_eq!(entry.state(9_010), State::Alive);
    assert!(entry.takes_work(9_010));
}

/// Guards against a state change that emits no action, or more than one.
#[test]
fn lost_agent_emits_each_state_once_and_is_then_removed() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    let mut emitted = Vec::new();

    for ms in (0..70_000).step_by(100) {
        entry.step(ms, DirectoryEvent::Tick);
        emitted.extend(entry.actions.iter().filter_map(|action| match action {
            DirectoryAction::Agent { state, .. } => Some((ms, *state)),
            _ => None,
        }));
    }

    assert_eq!(emitted, [(2_000, State::Suspect), (4_000, State::Down)]);
    assert!(entry.directory.agent(&endpoint()).is_none());
    let spacing = id::Service::new("spacing").unwrap();
    assert_eq!(entry.directory.serving(&spacing).count(), 0);
}

/// Guards against a leaving endpoint getting work after 3 s because its leaving
/// notice and all later heartbeats were lost, and heartbeats that it sent
/// before were delayed by the network.
#[test]
fn leaving_with_a_lost_notice_gets_no_request_after_3_s_although_old_heartbeats_come_late() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    entry.heartbeat(0, 1, numbered_heartbeat(1, 0));
    entry.heartbeat(1_000, 1, numbered_heartbeat(2, 1));
    // The agent sends sequences 3 to 5 while it still accepts work, has
    // received no ack after sequence 2, and begins to leave at `left`.
    let left = 1_050;

    for (ms, sequence) in [(2_400, 3), (3_300, 4), (3_900, 5)] {
        entry.heartbeat(ms, 1, numbered_heartbeat(sequence, 2));
    }

    assert!(entry.takes_work(3_000));
    for ms in (left + 3_000)..(left + 6_000) {
        assert!(!entry.takes_work(ms), "takes work {} ms late", ms - left);
    }
}

/// Guards against a heartbeat that arrives after the leaving notice making the
/// endpoint accept work again.
#[test]
fn late_heartbeat_does_not_revoke_a_leaving_notice() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    entry.heartbeat(0, 1, numbered_heartbeat(1, 0));
    entry.heartbeat(1_010, 1, leaving(numbered_heartbeat(3, 1)));

    entry.heartbeat(1_020, 1, numbered_heartbeat(2, 1));
    entry.heartbeat(1_030, 1, numbered_heartbeat(4, 1));

    assert!(!entry.takes_work(1_030));
}

/// Guards against a late heartbeat replacing a newer load report.
#[test]
fn older_heartbeat_that_arrives_late_changes_nothing() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    let mut newer = numbered_heartbeat(2, 0);
    newer.load.slots_used = Slots(7);
    entry.heartbeat(10, 1, newer);

    entry.heartbeat(1_500, 1, numbered_heartbeat(1, 0));

    let agent = entry.directory.agent(&endpoint()).unwrap();
    assert_eq!(agent.load().slots_used, Slots(7));
    assert_eq!(agent.report_sequence(), 2);
    assert_eq!(entry.state(2_100), State::Suspect);
    assert!(entry.actions.is_empty());
}

/// Guards against an older incarnation replacing a newer one.
#[test]
fn older_incarnation_that_says_hello_late_is_closed() {
    let mut entry = entry();
    entry.hello(0, 1, 2);

    entry.hello(500, 2, 1);

    let connection = Connection(2);
    assert_eq!(entry.actions, [DirectoryAction::Close { connection }]);
    assert_eq!(entry.connection(), Some(Connection(1)));
    entry.heartbeat(600, 2, numbered_heartbeat(9, 0));
    assert_eq!(
        entry
            .directory
            .agent(&endpoint())
            .unwrap()
            .report_sequence(),
        0
    );
}

/// Guards against rejecting a restarted agent because its clock, from which it
/// takes its incarnation, was set back.
#[test]
fn lower_incarnation_is_accepted_once_the_higher_one_is_down() {
    let mut entry = entry();
    entry.hello(0, 1, 2);

    entry.hello(4_000, 2, 1);

    assert_eq!(entry.state(4_000), State::Alive);
    assert_eq!(entry.connection(), Some(Connection(2)));
}

/// Guards against a restarted agent that inherits the leaving flag, the
/// sequence or the connections of its previous incarnation.
#[test]
fn restarted_agent_starts_afresh() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    entry.heartbeat(0, 1, leaving(numbered_heartbeat(50, 0)));

    entry.hello(1_000, 2, 2);
    let closed = entry.actions.contains(&DirectoryAction::Close {
        connection: Connection(1),
    });
    entry.heartbeat(1_000, 2, numbered_heartbeat(1, 0));

    assert!(closed);
    assert!(entry.takes_work(1_000));
    let spacing = id::Service::new("spacing").unwrap();
    let endpoints: usize = entry
        .directory
        .serving(&spacing)
        .map(|(_, e)| e.len())
        .sum();
    assert_eq!(endpoints, 1);
}

/// Guards against sending work over a link that fails in one direction: the
/// agent's heartbeats arrive, but it receives nothing.
#[test]
fn one_way_link_makes_the_agent_suspect_although_its_heartbeats_arrive() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    entry.heartbeat(0, 1, numbered_heartbeat(1, 0));

    for sequence in 2..8 {
        entry.heartbeat((sequence - 1) * 1_000, 1, numbered_heartbeat(sequence, 1));
    }

    assert_eq!(entry.state(2_899), State::Alive);
    assert_eq!(entry.state(2_900), State::Suspect);
    assert_eq!(entry.state(6_000), State::Down);
}

/// Guards against using a silent connection while a new one works, and against
/// suspecting the agent meanwhile.
#[test]
fn silent_connection_is_replaced_before_the_agent_is_suspect() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    entry.heartbeat(0, 1, numbered_heartbeat(1, 0));

    entry.hello(1_900, 2, 1);

    assert_eq!(entry.connection(), Some(Connection(2)));
    assert!(entry.takes_work(2_500));
    entry.heartbeat(2_000, 2, numbered_heartbeat(3, 0));
    entry.heartbeat(2_500, 1, numbered_heartbeat(2, 0));
    assert_eq!(entry.connection(), Some(Connection(2)));
}

/// Guards against a delayed hello moving traffic to an older connection
/// permanently.
#[test]
fn newest_heartbeat_decides_which_connection_is_used() {
    let mut entry = entry();
    entry.hello(0, 2, 1);
    entry.heartbeat(10, 2, numbered_heartbeat(1, 0));

    entry.hello(20, 1, 1);
    entry.heartbeat(1_010, 2, numbered_heartbeat(2, 1));

    assert_eq!(entry.connection(), Some(Connection(2)));
}

/// Guards against work for an agent without an open connection.
#[test]
fn agent_whose_connections_ended_gets_no_work() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    let connection = Connection(1);

    entry.step(10, DirectoryEvent::Closed { connection });

    assert_eq!(entry.state(10), State::Suspect);
    assert!(!entry.takes_work(10));
}

/// Guards against work for an endpoint that is drained by an operator.
#[test]
fn drained_endpoint_gets_no_work_while_it_is_alive() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    let config = Arc::new(Snapshot {
        revision: id::Revision(3),
        drains: vec![endpoint()],
        ..Snapshot::default()
    });

    entry.step(10, DirectoryEvent::Configured(config));

    assert_eq!(entry.state(10), State::Alive);
    assert!(!entry.takes_work(10));
}

/// Guards against going back to an older configuration, at the entry and at the
/// agent.
#[test]
fn older_configuration_that_arrives_late_is_not_put_into_force() {
    let mut entry = entry();
    entry.step(0, DirectoryEvent::Configured(snapshot(5)));
    entry.step(1, DirectoryEvent::Configured(snapshot(4)));
    let mut agent = connected_agent();

    let ack = |sequence, revision| Ack {
        sequence,
        roster: None,
        config: Some(snapshot(revision)),
    };
    agent.ack(10, 1, ack(1, 5));
    let first = agent.actions.clone();
    agent.ack(20, 1, ack(2, 4));

    assert_eq!(entry.directory.config().revision, id::Revision(5));
    assert_eq!(first, [HeartbeaterAction::Configure(snapshot(5))]);
    assert_eq!(agent.actions, []);
    assert_eq!(agent.heartbeater.revision(), id::Revision(5));
}

/// Guards against sending a configuration or roster that the peer already has,
/// and against not sending one that it lacks.
#[test]
fn pulse_carries_only_what_the_sender_lacks() {
    let mut entry = entry();
    entry.step(0, DirectoryEvent::Configured(snapshot(5)));
    entry.hello(0, 1, 1);

    entry.heartbeat(0, 1, numbered_heartbeat(1, 0));
    let DirectoryAction::Ack { ack: first, .. } = entry.actions[0].clone() else {
        panic!("no pulse in {:?}", entry.actions);
    };
    let roster = first.roster.clone().unwrap();
    let mut second = numbered_heartbeat(2, 1);
    second.roster = roster_hash(&roster);
    second.revision = id::Revision(5);
    entry.heartbeat(1_000, 1, second);

    assert_eq!(roster, [member(0, 1)]);
    assert_eq!(first.config, Some(snapshot(5)));
    let ack = Ack {
        sequence: 2,
        ..Ack::default()
    };
    let connection = Connection(1);
    assert_eq!(entry.actions, [DirectoryAction::Ack { connection, ack }]);
}

/// Guards against removing live entries from the roster while the store is down
/// and its list is stale, and against keeping dead ones in it.
#[test]
fn roster_follows_the_links_while_the_store_is_down() {
    let mut entry = entry();
    let hello = Hello::Entry(member(2, 1));
    entry.step(
        0,
        DirectoryEvent::Hello {
            connection: Connection(1),
            accepted: at(0),
            hello,
        },
    );

    assert_eq!(entry.directory.roster(), [member(0, 1), member(2, 1)]);
    entry.step(3_900, DirectoryEvent::Tick);
    assert_eq!(entry.directory.roster().len(), 2);
    entry.step(4_000, DirectoryEvent::Tick);
    assert_eq!(entry.directory.roster(), [member(0, 1)]);
    entry.step(4_010, DirectoryEvent::Listed(vec![member(2, 1)]));
    assert_eq!(entry.directory.roster(), [member(0, 1), member(2, 1)]);
}
