//! Tests of distributing the configuration to agents and other entries.

use {
    filbertbend_coordination::membership::{
        Announcement, Connection, Directory, DirectoryAction, DirectoryEvent, Heartbeat, Hello,
        Member,
    },
    filbertbend_state::{
        config::Snapshot,
        id,
        room::Room,
        service::{Class, Declaration, Kind, Retry},
        time::Instant,
        unit::{Connections, Millis, Share, Slots},
    },
    std::sync::Arc,
};

const LINK: Connection = Connection(7);

fn member(name: &str) -> Member {
    Member {
        entry: name.parse().unwrap(),
        address: "127.0.0.1:7400".parse().unwrap(),
        data_centre: "xela".parse().unwrap(),
        incarnation: id::Incarnation(1),
    }
}

fn announcement() -> Announcement {
    Announcement {
        endpoint: "runner-1".parse().unwrap(),
        worker: "worker-1".parse().unwrap(),
        incarnation: id::Incarnation(1),
        data_centre: "xela".parse().unwrap(),
        rack: "a".parse().unwrap(),
        services: vec!["spacing-check".parse().unwrap()],
        slots: Slots(8),
        connections: Connections(64),
        room: Room::NONE,
    }
}

fn declaration(name: &str) -> Declaration {
    Declaration {
        name: name.parse().unwrap(),
        team: "installers".parse().unwrap(),
        kind: Kind::Check,
        class: Class::Interactive,
        idempotent: true,
        deadline: Millis(800),
        size: Room::NONE,
        run_time: Millis(100),
        share: Share::NONE,
        quota: Room::NONE,
        retry: Retry {
            tries: 1,
            hedge: false,
        },
        data_centres: Vec::new(),
    }
}

fn snapshot() -> Arc<Snapshot> {
    Arc::new(Snapshot {
        revision: id::Revision(5),
        services: vec![declaration("spacing-check"), declaration("pricing-check")],
        drains: vec!["runner-1".parse().unwrap(), "runner-2".parse().unwrap()],
    })
}

fn directory(hello: Hello) -> Directory {
    let mut directory = Directory::new(member("entry-0"));
    let mut actions = Vec::new();
    let event = DirectoryEvent::Hello {
        connection: LINK,
        accepted: Instant(0),
        hello,
    };
    directory.step(Instant(0), event, &mut actions);
    let event = DirectoryEvent::Configured(snapshot());
    directory.step(Instant(0), event, &mut actions);
    directory
}

/// Returns the configuration in the answer to a heartbeat at `now`.
fn config_sent(directory: &mut Directory, now: u64, revision: u64) -> Option<Arc<Snapshot>> {
    let mut actions = Vec::new();
    let heartbeat = Heartbeat {
        sequence: now + 1,
        revision: id::Revision(revision),
        ..Heartbeat::default()
    };
    let event = DirectoryEvent::Heartbeat {
        connection: LINK,
        heartbeat,
    };
    directory.step(Instant(now), event, &mut actions);
    actions.into_iter().find_map(|action| match action {
        DirectoryAction::Ack { ack, .. } => Some(ack.config),
        _ => None,
    })?
}

/// Guards against sending the whole configuration to every agent with each
/// change, which at 880 teams and 15,000 changes per day would exceed 3 KB/s.
#[test]
fn agent_gets_only_its_own_part() {
    let mut directory = directory(Hello::Agent(announcement()));

    let sent = config_sent(&mut directory, 100, 4).unwrap();

    assert_eq!(sent.revision, id::Revision(5));
    assert_eq!(sent.services, vec![declaration("spacing-check")]);
    assert_eq!(sent.drains, vec!["runner-1".parse().unwrap()]);
    assert_eq!(config_sent(&mut directory, 1100, 5), None);
}

/// Guards against every entry sending the whole configuration to every other one
/// while all of them are reading it from the store anyway.
#[test]
fn entry_gets_the_configuration_only_if_it_stays_behind() {
    let mut directory = directory(Hello::Entry(member("entry-1")));

    let at_once = config_sent(&mut directory, 0, 4);
    let soon = config_sent(&mut directory, 1000, 4);
    let late = config_sent(&mut directory, 3000, 4);
    let caught_up = config_sent(&mut directory, 4000, 5);
    let behind_again = config_sent(&mut directory, 5000, 4);

    assert_eq!((at_once, soon), (None, None));
    assert_eq!(late.unwrap(), snapshot());
    assert_eq!((caught_up, behind_again), (None, None));
}
