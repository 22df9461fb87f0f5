//! Failure tests of the directory and the beacon.

use {
    filbertbend_coordination::membership::{
        Announcement, Beacon, BeaconAction, BeaconEvent, Connection, Directory, DirectoryAction,
        DirectoryEvent, Heartbeat, Hello, Load, Member, Pulse, Settings, State,
    },
    filbertbend_state::{
        config::Snapshot,
        id,
        room::Room,
        time::Instant,
        unit::{Connections, Slots},
    },
    std::{net::SocketAddr, sync::Arc},
};

fn at(ms: u64) -> Instant {
    Instant(ms)
}

fn endpoint() -> id::Endpoint {
    id::Endpoint::new("e1").unwrap()
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n))
}

fn member(n: u16, incarnation: u64) -> Member {
    Member {
        entry: id::Entry::new(format!("entry-{n}")).unwrap(),
        address: address(n),
        data_centre: id::DataCentre::new("xela").unwrap(),
        incarnation: id::Incarnation(incarnation),
    }
}

fn announcement(incarnation: u64) -> Announcement {
    Announcement {
        endpoint: endpoint(),
        worker: id::Worker::new("w1").unwrap(),
        incarnation: id::Incarnation(incarnation),
        data_centre: id::DataCentre::new("xela").unwrap(),
        rack: id::Rack::new("r1").unwrap(),
        services: vec![id::Service::new("spacing").unwrap()],
        slots: Slots(8),
        connections: Connections(64),
        room: Room::NONE,
    }
}

fn beat(sequence: u64, answered: u64) -> Heartbeat {
    Heartbeat {
        sequence,
        answered,
        ..Heartbeat::default()
    }
}

fn leaving(mut heartbeat: Heartbeat) -> Heartbeat {
    heartbeat.load.leaving = true;
    heartbeat
}

fn snapshot(revision: u64) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        revision: id::Revision(revision),
        ..Snapshot::default()
    })
}

/// A directory with what it did.
struct Entry {
    directory: Directory,
    actions: Vec<DirectoryAction>,
}

fn entry() -> Entry {
    Entry {
        directory: Directory::new(member(0, 1)),
        actions: Vec::new(),
    }
}

impl Entry {
    fn step(&mut self, ms: u64, event: DirectoryEvent) {
        self.actions.clear();
        self.directory.step(at(ms), event, &mut self.actions);
    }

    fn hello(&mut self, ms: u64, connection: u64, incarnation: u64) {
        self.step(
            ms,
            DirectoryEvent::Hello {
                connection: Connection(connection),
                accepted: at(ms),
                hello: Hello::Agent(announcement(incarnation)),
            },
        );
    }

    fn heartbeat(&mut self, ms: u64, connection: u64, heartbeat: Heartbeat) {
        self.step(
            ms,
            DirectoryEvent::Heartbeat {
                connection: Connection(connection),
                heartbeat,
            },
        );
    }

    fn state(&self, ms: u64) -> State {
        self.directory
            .agent(&endpoint())
            .map_or(State::Down, |agent| agent.state(at(ms)))
    }

    fn takes_work(&self, ms: u64) -> bool {
        self.directory
            .agent(&endpoint())
            .is_some_and(|agent| self.directory.takes_work(agent, at(ms)))
    }

    fn connection(&self) -> Option<Connection> {
        self.directory.agent(&endpoint())?.connection()
    }
}

/// A beacon towards `entry-1`, with what it did.
struct Agent {
    beacon: Beacon,
    actions: Vec<BeaconAction>,
}

fn agent() -> Agent {
    Agent {
        beacon: Beacon::new(Settings {
            seeds: vec![address(1)],
            own: None,
            seed: 7,
        }),
        actions: Vec::new(),
    }
}

/// An agent whose first connection, number 1, opened at 0 ms.
fn connected_agent() -> Agent {
    let mut agent = agent();
    agent.step(0, BeaconEvent::Tick);
    agent.opened(0, 1);
    agent
}

impl Agent {
    fn step(&mut self, ms: u64, event: BeaconEvent) {
        self.actions.clear();
        self.beacon.step(at(ms), event, &mut self.actions);
    }

    fn opened(&mut self, ms: u64, connection: u64) {
        let connection = Connection(connection);
        self.step(ms, BeaconEvent::Opened { connection });
    }

    fn pulse(&mut self, ms: u64, connection: u64, pulse: Pulse) {
        let connection = Connection(connection);
        self.step(ms, BeaconEvent::Pulse { connection, pulse });
    }

    fn answer(&mut self, ms: u64, connection: u64, sequence: u64) {
        let pulse = Pulse {
            sequence,
            ..Pulse::default()
        };
        self.pulse(ms, connection, pulse);
    }

    /// Ticks whenever the beacon asks for it, until it dials or `until`.
    fn next_dial(&mut self, until: u64) -> Option<(u64, Connection)> {
        while let Some(Instant(ms)) = self.beacon.wake().filter(|wake| wake.0 <= until) {
            self.step(ms, BeaconEvent::Tick);
            if let Some(connection) = self.dialled().next() {
                return Some((ms, connection));
            }
        }
        None
    }

    /// Returns every dial up to `until`; none of them succeeds or fails.
    fn dials(&mut self, until: u64) -> Vec<(u64, Connection)> {
        std::iter::from_fn(|| self.next_dial(until)).collect()
    }

    fn dialled(&self) -> impl Iterator<Item = Connection> + '_ {
        self.actions.iter().filter_map(|action| match action {
            BeaconAction::Dial { connection, .. } => Some(*connection),
            _ => None,
        })
    }

    fn sent(&self) -> Vec<(Connection, Heartbeat)> {
        self.actions
            .iter()
            .filter_map(|action| match action {
                BeaconAction::Send {
                    connection,
                    heartbeat,
                } => Some((*connection, *heartbeat)),
                _ => None,
            })
            .collect()
    }
}

/// Guards against work being sent to an agent that is frozen, and against the
/// agent being given up for good when it resumes.
#[test]
fn frozen_agent_is_suspect_after_2_s_down_after_4_s_and_back_on_its_next_heartbeat() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    entry.heartbeat(0, 1, beat(1, 0));

    assert_eq!(entry.state(1_999), State::Alive);
    assert_eq!(entry.state(2_000), State::Suspect);
    assert!(!entry.takes_work(2_000));
    assert_eq!(entry.state(3_999), State::Suspect);
    assert_eq!(entry.state(4_000), State::Down);

    entry.heartbeat(9_000, 1, beat(2, 1));
    entry.heartbeat(9_010, 1, beat(3, 2));
    assert_eq!(entry.state(9_010), State::Alive);
    assert!(entry.takes_work(9_010));
}

/// Guards against a change of state that nobody is told of.
#[test]
fn lost_agent_is_told_once_for_each_state_and_then_forgotten() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    let mut told = Vec::new();

    for ms in (0..70_000).step_by(100) {
        entry.step(ms, DirectoryEvent::Tick);
        told.extend(entry.actions.iter().filter_map(|action| match action {
            DirectoryAction::Agent { state, .. } => Some((ms, *state)),
            _ => None,
        }));
    }

    assert_eq!(told, [(2_000, State::Suspect), (4_000, State::Down)]);
    assert!(entry.directory.agent(&endpoint()).is_none());
    let spacing = id::Service::new("spacing").unwrap();
    assert_eq!(entry.directory.serving(&spacing).count(), 0);
}

/// Guards against a leaving endpoint getting work after 3 s because both its
/// notice and its further heartbeats were lost, and the heartbeats that it
/// sent before were held back by the network.
#[test]
fn leaving_with_a_lost_notice_gets_no_request_after_3_s_although_old_heartbeats_come_late() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    entry.heartbeat(0, 1, beat(1, 0));
    entry.heartbeat(1_000, 1, beat(2, 1));
    // The agent sends numbers 3 to 5 while it still takes work, has received
    // no pulse after number 2, and begins to leave at `left`.
    let left = 1_050;

    for (ms, sequence) in [(2_400, 3), (3_300, 4), (3_900, 5)] {
        entry.heartbeat(ms, 1, beat(sequence, 2));
    }

    assert!(entry.takes_work(3_000));
    for ms in (left + 3_000)..(left + 6_000) {
        assert!(!entry.takes_work(ms), "takes work {} ms late", ms - left);
    }
}

/// Guards against a leaving endpoint that looks alive again when an older
/// heartbeat arrives after its notice.
#[test]
fn late_heartbeat_does_not_take_back_a_leaving_notice() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    entry.heartbeat(0, 1, beat(1, 0));
    entry.heartbeat(1_010, 1, leaving(beat(3, 1)));

    entry.heartbeat(1_020, 1, beat(2, 1));
    entry.heartbeat(1_030, 1, beat(4, 1));

    assert!(!entry.takes_work(1_030));
}

/// Guards against an old load replacing a newer one.
#[test]
fn older_heartbeat_that_arrives_late_changes_nothing() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    let mut newer = beat(2, 0);
    newer.load.slots_used = Slots(7);
    entry.heartbeat(10, 1, newer);

    entry.heartbeat(1_500, 1, beat(1, 0));

    let agent = entry.directory.agent(&endpoint()).unwrap();
    assert_eq!(agent.load().slots_used, Slots(7));
    assert_eq!(agent.report(), 2);
    assert_eq!(entry.state(2_100), State::Suspect);
    assert!(entry.actions.is_empty());
}

/// Guards against a replaced process life taking the place of the newer one.
#[test]
fn older_incarnation_that_says_hello_late_is_closed() {
    let mut entry = entry();
    entry.hello(0, 1, 2);

    entry.hello(500, 2, 1);

    let connection = Connection(2);
    assert_eq!(entry.actions, [DirectoryAction::Close { connection }]);
    assert_eq!(entry.connection(), Some(Connection(1)));
    entry.heartbeat(600, 2, beat(9, 0));
    assert_eq!(entry.directory.agent(&endpoint()).unwrap().report(), 0);
}

/// Guards against a restarted agent being kept out because its clock, from
/// which it takes its incarnation, was set back.
#[test]
fn lower_incarnation_is_accepted_once_the_higher_one_is_down() {
    let mut entry = entry();
    entry.hello(0, 1, 2);

    entry.hello(4_000, 2, 1);

    assert_eq!(entry.state(4_000), State::Alive);
    assert_eq!(entry.connection(), Some(Connection(2)));
}

/// Guards against a restarted agent that inherits the leaving flag, the
/// sequence or the connections of its former life.
#[test]
fn restarted_agent_starts_afresh() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    entry.heartbeat(0, 1, leaving(beat(50, 0)));

    entry.hello(1_000, 2, 2);
    let closed = entry.actions.contains(&DirectoryAction::Close {
        connection: Connection(1),
    });
    entry.heartbeat(1_000, 2, beat(1, 0));

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

/// Guards against work being sent on a link that only works from the agent:
/// its heartbeats arrive, but it receives nothing.
#[test]
fn one_way_link_makes_the_agent_suspect_although_its_heartbeats_arrive() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    entry.heartbeat(0, 1, beat(1, 0));

    for sequence in 2..8 {
        entry.heartbeat((sequence - 1) * 1_000, 1, beat(sequence, 1));
    }

    assert_eq!(entry.state(2_899), State::Alive);
    assert_eq!(entry.state(2_900), State::Suspect);
    assert_eq!(entry.state(6_000), State::Down);
}

/// Guards against requests on a silent connection while a new one works, and
/// against the agent being taken for dead.
#[test]
fn silent_connection_is_replaced_before_the_agent_is_suspect() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    entry.heartbeat(0, 1, beat(1, 0));

    entry.hello(1_900, 2, 1);

    assert_eq!(entry.connection(), Some(Connection(2)));
    assert!(entry.takes_work(2_500));
    entry.heartbeat(2_000, 2, beat(3, 0));
    entry.heartbeat(2_500, 1, beat(2, 0));
    assert_eq!(entry.connection(), Some(Connection(2)));
}

/// Guards against a hello that was held back moving traffic to an older
/// connection for good.
#[test]
fn newest_heartbeat_decides_which_connection_is_used() {
    let mut entry = entry();
    entry.hello(0, 2, 1);
    entry.heartbeat(10, 2, beat(1, 0));

    entry.hello(20, 1, 1);
    entry.heartbeat(1_010, 2, beat(2, 1));

    assert_eq!(entry.connection(), Some(Connection(2)));
}

/// Guards against work for an agent that no connection leads to.
#[test]
fn agent_whose_connections_ended_gets_no_work() {
    let mut entry = entry();
    entry.hello(0, 1, 1);
    let connection = Connection(1);

    entry.step(10, DirectoryEvent::Closed { connection });

    assert_eq!(entry.state(10), State::Suspect);
    assert!(!entry.takes_work(10));
}

/// Guards against work for an endpoint that operators drain.
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

/// Guards against a configuration that goes back, at the entry and at the
/// agent.
#[test]
fn older_configuration_that_arrives_late_is_not_put_into_force() {
    let mut entry = entry();
    entry.step(0, DirectoryEvent::Configured(snapshot(5)));
    entry.step(1, DirectoryEvent::Configured(snapshot(4)));
    let mut agent = connected_agent();

    let pulse = |sequence, revision| Pulse {
        sequence,
        roster: None,
        config: Some(snapshot(revision)),
    };
    agent.pulse(10, 1, pulse(1, 5));
    let first = agent.actions.clone();
    agent.pulse(20, 1, pulse(2, 4));

    assert_eq!(entry.directory.config().revision, id::Revision(5));
    assert_eq!(first, [BeaconAction::Configure(snapshot(5))]);
    assert_eq!(agent.actions, []);
    assert_eq!(agent.beacon.revision(), id::Revision(5));
}

/// Guards against configuration or roster being sent when they are known, and
/// not being sent when they are not.
#[test]
fn pulse_carries_only_what_the_sender_lacks() {
    let mut entry = entry();
    entry.step(0, DirectoryEvent::Configured(snapshot(5)));
    entry.hello(0, 1, 1);

    entry.heartbeat(0, 1, beat(1, 0));
    let DirectoryAction::Pulse { pulse: first, .. } = entry.actions[0].clone() else {
        panic!("no pulse in {:?}", entry.actions);
    };
    let roster = first.roster.clone().unwrap();
    let mut second = beat(2, 1);
    second.roster = filbertbend_coordination::membership::roster_hash(&roster);
    second.revision = id::Revision(5);
    entry.heartbeat(1_000, 1, second);

    assert_eq!(roster, [member(0, 1)]);
    assert_eq!(first.config, Some(snapshot(5)));
    let pulse = Pulse {
        sequence: 2,
        ..Pulse::default()
    };
    let connection = Connection(1);
    assert_eq!(
        entry.actions,
        [DirectoryAction::Pulse { connection, pulse }]
    );
}

/// Guards against entries vanishing from the roster while the store is down
/// and its list is stale, and against dead ones staying in it.
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

/// Guards against a connection that has gone silent being kept: the beacon
/// must dial between 1.5 s and 2 s after the last answer, and keep the old
/// connection until the new one has proven that it works.
#[test]
fn silent_connection_is_dialled_anew_within_2_s_and_kept_until_the_new_one_works() {
    let mut agent = connected_agent();
    agent.answer(10, 1, 1);
    agent.answer(1_010, 1, 2);

    let dials = agent.dials(3_010);

    let (ms, connection) = dials[0];
    assert!((2_510..=3_010).contains(&ms), "dialled at {ms} ms");
    assert_eq!(agent.beacon.connection(&address(1)), Some(Connection(1)));
    agent.opened(3_050, connection.0);
    assert_eq!(agent.beacon.connection(&address(1)), Some(connection));
    let [(to, heartbeat)] = agent.sent()[..] else {
        panic!("not one heartbeat in {:?}", agent.actions);
    };
    assert_eq!((to, heartbeat.answered), (connection, 2));
    assert!(!agent.actions.iter().any(retires));
    agent.answer(3_060, connection.0, heartbeat.sequence);
    assert_eq!(
        agent.actions,
        [BeaconAction::Retire {
            connection: Connection(1)
        }]
    );
}

fn retires(action: &BeaconAction) -> bool {
    matches!(action, BeaconAction::Retire { .. })
}

/// Guards against new connections while the present one answers.
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

/// Guards against a storm of dials at a peer that is dead, not silent, and
/// against giving it up.
#[test]
fn dead_entry_is_dialled_with_backoff_for_as_long_as_it_is_named() {
    let mut agent = agent();
    agent.step(0, BeaconEvent::Tick);
    let mut dials = vec![(0, Connection(1))];

    while dials.len() < 30 {
        let (ms, connection) = *dials.last().unwrap();
        agent.step(ms + 1, BeaconEvent::Closed { connection });
        let at_once: Vec<_> = agent.dialled().map(|next| (ms + 1, next)).collect();
        dials.extend(at_once);
        dials.extend(agent.next_dial(ms + 5_000));
        assert_ne!(dials.last(), Some(&(ms, connection)), "gave up");
    }

    let gaps: Vec<_> = dials.windows(2).map(|d| d[1].0 - d[0].0).collect();
    assert!(gaps[0] >= 125, "first wait {} ms", gaps[0]);
    assert!(gaps[10..].iter().all(|gap| (2_000..=4_100).contains(gap)));
}

/// Guards against a dial whose handshake never ends blocking all others.
#[test]
fn dial_that_never_ends_is_given_up_and_repeated() {
    let mut agent = agent();

    let dials = agent.dials(2_500);

    assert_eq!(dials[0].0, 0);
    assert_eq!(dials[1].0, 2_000);
    agent.opened(2_600, dials[0].1 .0);
    assert!(agent.actions.iter().any(retires));
    assert_eq!(agent.beacon.connection(&address(1)), None);
}

/// Guards against a notice that is lost because it was sent on one connection
/// only, and against a later load that lacks the flag.
#[test]
fn leaving_is_told_on_every_connection_and_in_every_later_heartbeat() {
    let mut agent = connected_agent();
    let (_, second) = agent.dials(1_900)[0];
    agent.opened(1_950, second.0);

    agent.step(2_000, BeaconEvent::Leave);
    let notices = agent.sent();
    agent.step(2_500, BeaconEvent::Load(Load::default()));
    agent.step(3_000, BeaconEvent::Tick);

    let told: Vec<_> = notices.iter().map(|(to, _)| *to).collect();
    assert_eq!(told, [Connection(1), second]);
    assert!(notices.iter().all(|(_, heartbeat)| heartbeat.load.leaving));
    assert!(agent.sent()[0].1.load.leaving);
}

/// Guards against agents that know only the seeds, or keep dialling an entry
/// that no live entry names any more.
#[test]
fn roster_adds_entries_and_drops_those_that_no_entry_names() {
    let mut agent = connected_agent();
    let pulse = |sequence, members: &[Member]| Pulse {
        sequence,
        roster: Some(members.to_vec()),
        config: None,
    };
    let both = [member(1, 1), member(2, 1)];

    agent.pulse(10, 1, pulse(1, &both));
    let [.., BeaconAction::Dial {
        connection,
        address: dialled,
    }] = agent.actions[..]
    else {
        panic!("no dial in {:?}", agent.actions);
    };
    agent.opened(20, connection.0);
    agent.pulse(30, connection.0, pulse(2, &both));
    agent.pulse(1_010, 1, pulse(3, &both[..1]));
    let kept = agent.beacon.roster().len();
    agent.step(1_020, BeaconEvent::Closed { connection });

    assert_eq!(dialled, address(2));
    assert_eq!(kept, 2);
    assert_eq!(agent.beacon.roster(), [member(1, 1)]);
    agent.answer(1_400, 1, 4);
    assert_eq!(agent.dials(2_800), []);
}

/// Guards against numbers that start anew when an entry comes back, which the
/// entry would take for late heartbeats.
#[test]
fn heartbeat_numbers_rise_over_all_connections() {
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
