//! Tests of the heartbeater: dialling, silent connections, leaving and rosters.

use {
    crate::support::*,
    filbertbend_coordination::membership::{
        Ack, Connection, HeartbeaterAction, HeartbeaterEvent, Load, Member,
    },
};

/// Guards against keeping a connection that no longer answers. The heartbeater
/// must dial between 1.5 s and 2 s after the last ack, and keep the old
/// connection until an ack arrives on the new one.
#[test]
fn silent_connection_is_dialled_anew_within_2_s_and_kept_until_the_new_one_works() {
    let mut agent = connected_agent();
    agent.answer(10, 1, 1);
    agent.answer(1_010, 1, 2);

    let dials = agent.dials(3_010);

    let (ms, connection) = dials[0];
    assert!((2_510..=3_010).contains(&ms), "dialled at {ms} ms");
    assert_eq!(
        agent.heartbeater.connection(&address(1)),
        Some(Connection(1))
    );
    agent.opened(3_050, connection.0);
    assert_eq!(agent.heartbeater.connection(&address(1)), Some(connection));
    let [(to, heartbeat)] = agent.sent()[..] else {
        panic!("not one heartbeat in {:?}", agent.actions);
    };
    assert_eq!((to, heartbeat.last_ack), (connection, 2));
    assert!(!agent.actions.iter().any(retires));
    agent.answer(3_060, connection.0, heartbeat.sequence);
    assert_eq!(
        agent.actions,
        [HeartbeaterAction::Retire {
            connection: Connection(1)
        }]
    );
}

/// Guards against replacing a connection that still answers.
#[test]
fn answering_connection_is_not_replaced() {
    let mut agent = connected_agent();
    let mut dials = Vec::new();

    for second in 0..60 {
        agent.answer(second * 1_000 + 400, 1, second + 1);
        dials.extend(agent.dials((second + 1) * 1_000));
    }

    assert_eq!(dials, []);
}

/// Guards against dialling a dead peer without backoff, and against giving up
/// on it.
#[test]
fn dead_entry_is_dialled_with_backoff_for_as_long_as_it_is_listed() {
    let mut agent = agent();
    agent.step(0, HeartbeaterEvent::Tick);
    let mut dials = vec![(0, Connection(1))];

    while dials.len() < 30 {
        let (ms, connection) = *dials.last().unwrap();
        agent.step(ms + 1, HeartbeaterEvent::Closed { connection });
        let at_once: Vec<_> = agent.dialled().map(|next| (ms + 1, next)).collect();
        dials.extend(at_once);
        dials.extend(agent.next_dial(ms + 5_000));
        assert_ne!(dials.last(), Some(&(ms, connection)), "gave up");
    }

    let gaps: Vec<_> = dials.windows(2).map(|d| d[1].0 - d[0].0).collect();
    assert!(gaps[0] >= 125, "first wait {} ms", gaps[0]);
    assert!(gaps[10..].iter().all(|gap| (2_000..=4_100).contains(gap)));
}

/// Guards against a dial whose handshake never ends blocking later dials.
#[test]
fn dial_that_never_ends_is_given_up_and_repeated() {
    let mut agent = agent();

    let dials = agent.dials(2_500);

    assert_eq!(dials[0].0, 0);
    assert_eq!(dials[1].0, 2_000);
    agent.opened(2_600, dials[0].1 .0);
    assert!(agent.actions.iter().any(retires));
    assert_eq!(agent.heartbeater.connection(&address(1)), None);
}

/// Guards against losing the leaving flag because it was sent on only one
/// connection, or because a later load report resets it.
#[test]
fn leaving_is_sent_on_every_connection_and_in_every_later_heartbeat() {
    let mut agent = connected_agent();
    let (_, second) = agent.dials(1_900)[0];
    agent.opened(1_950, second.0);

    agent.step(2_000, HeartbeaterEvent::Leave);
    let notices = agent.sent();
    agent.step(2_500, HeartbeaterEvent::Load(Load::default()));
    agent.step(3_000, HeartbeaterEvent::Tick);

    let recipients: Vec<_> = notices.iter().map(|(to, _)| *to).collect();
    assert_eq!(recipients, [Connection(1), second]);
    assert!(notices.iter().all(|(_, heartbeat)| heartbeat.load.leaving));
    assert!(agent.sent()[0].1.load.leaving);
}

/// Guards against agents that connect only to the seeds, or that keep dialling
/// an entry that no live entry lists any more.
#[test]
fn roster_adds_entries_and_drops_those_that_no_entry_lists() {
    let mut agent = connected_agent();
    let ack = |sequence, members: &[Member]| Ack {
        sequence,
        roster: Some(members.to_vec()),
        config: None,
    };
    let both = [member(1, 1), member(2, 1)];

    agent.ack(10, 1, ack(1, &both));
    let [.., HeartbeaterAction::Dial {
        connection,
        address: dialled,
    }] = agent.actions[..]
    else {
        panic!("no dial in {:?}", agent.actions);
    };
    agent.opened(20, connection.0);
    agent.ack(30, connection.0, ack(2, &both));
    agent.ack(1_010, 1, ack(3, &both[..1]));
    let kept = agent.heartbeater.roster().len();
    agent.step(1_020, HeartbeaterEvent::Closed { connection });

    assert_eq!(dialled, address(2));
    assert_eq!(kept, 2);
    assert_eq!(agent.heartbeater.roster(), [member(1, 1)]);
    agent.answer(1_400, 1, 4);
    assert_eq!(agent.dials(2_800), []);
}

/// Guards against sequences that restart when a connection is replaced, which
/// the entry would discard as late heartbeats.
#[test]
fn heartbeat_sequences_increase_across_all_connections() {
    let mut agent = connected_agent();
    let mut last = agent.sent()[0].1.sequence;
    let mut current = 1;

    for answered in [10, 2_010, 4_010, 6_010] {
        agent.answer(answered, current, last);
        let (_, connection) = agent.dials(answered + 1_990)[0];
        agent.opened(answered + 1_990, connection.0);
        let sequence = agent.sent()[0].1.sequence;
        assert!(sequence > last, "{sequence} after {last}");
        last = sequence;
        current = connection.0;
    }
}
