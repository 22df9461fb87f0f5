//! Failure tests of the router.

use {
    filbertbend_coordination::{
        membership::{
            Announcement, Connection, Directory, DirectoryEvent, Heartbeat, Hello, Load, Member,
        },
        routing::{Choice, Criteria, Feedback, Refusal, Router, Settings},
    },
    filbertbend_state::{
        config::Snapshot,
        id,
        outcome::Reason,
        room::Room,
        service::{Class, Declaration, Kind, Retry},
        time::Instant,
        unit::{Connections, Millis, Share, Slots},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
};

const NOW: Instant = Instant(1_000);

fn service() -> id::Service {
    id::Service::new("spacing").unwrap()
}

fn data_centre(name: &str) -> id::DataCentre {
    id::DataCentre::new(name).unwrap()
}

fn endpoint(name: &str) -> id::Endpoint {
    id::Endpoint::new(name).unwrap()
}

fn declaration() -> Declaration {
    Declaration {
        name: service(),
        team: id::Team::new("roofs").unwrap(),
        kind: Kind::Check,
        class: Class::Interactive,
        idempotent: true,
        deadline: Millis(1_000),
        size: Room::NONE,
        run_time: Millis(40),
        share: Share::new(500),
        quota: Room::NONE,
        retry: Retry {
            tries: 3,
            hedge: true,
        },
        data_centres: Vec::new(),
    }
}

fn router(seed: u64) -> Router {
    Router::new(Settings {
        data_centre: data_centre("xela"),
        default_round_trip: Millis(8),
        round_trips: BTreeMap::new(),
        remote_penalty: Millis(12),
        seed,
    })
}

fn load(slots_used: u32, queue: u64) -> Load {
    Load {
        slots_used: Slots(slots_used),
        connections_used: Connections(slots_used),
        queue: Millis(queue),
        service_time: Millis(40),
        ..Load::default()
    }
}

fn member(n: u16) -> Member {
    Member {
        entry: id::Entry::new(format!("entry-{n}")).unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + n)),
        data_centre: data_centre("xela"),
        incarnation: id::Incarnation(1),
    }
}

/// A directory of endpoints with 8 slots; the `n`th has connection `n`.
struct Fleet {
    directory: Directory,
    names: Vec<String>,
    sequence: u64,
}

fn fleet(endpoints: &[(&str, &str)]) -> Fleet {
    let mut fleet = Fleet {
        directory: Directory::new(member(1)),
        names: Vec::new(),
        sequence: 0,
    };
    for (name, data_centre_name) in endpoints {
        fleet.add(name, data_centre_name);
        fleet.report(name, NOW, load(0, 0));
    }
    fleet
}

fn ten_local() -> Fleet {
    let names: Vec<String> = (0..10).map(|n| format!("e{n}")).collect();
    let endpoints: Vec<_> = names.iter().map(|name| (name.as_str(), "xela")).collect();
    fleet(&endpoints)
}

impl Fleet {
    fn step(&mut self, now: Instant, event: DirectoryEvent) {
        self.directory.step(now, event, &mut Vec::new());
    }

    fn add(&mut self, name: &str, data_centre_name: &str) {
        let announcement = Announcement {
            endpoint: endpoint(name),
            worker: id::Worker::new(name).unwrap(),
            incarnation: id::Incarnation(1),
            data_centre: data_centre(data_centre_name),
            rack: id::Rack::new("r1").unwrap(),
            services: vec![service()],
            slots: Slots(8),
            connections: Connections(64),
            room: Room::NONE,
        };
        self.names.push(name.to_owned());
        let hello = DirectoryEvent::Hello {
            connection: Connection(self.names.len() as u64),
            accepted: NOW,
            hello: Hello::Agent(announcement),
        };
        self.step(NOW, hello);
    }

    fn report(&mut self, name: &str, now: Instant, load: Load) {
        let index = self.names.iter().position(|found| found == name).unwrap();
        self.sequence += 1;
        let heartbeat = Heartbeat {
            sequence: self.sequence,
            load,
            ..Heartbeat::default()
        };
        let connection = Connection(index as u64 + 1);
        self.step(
            now,
            DirectoryEvent::Heartbeat {
                connection,
                heartbeat,
            },
        );
    }
}

fn pick_at(
    router: &mut Router,
    fleet: &Fleet,
    now: Instant,
    tried: &[id::Endpoint],
) -> Result<Choice, Refusal> {
    let declaration = declaration();
    let criteria = Criteria {
        declaration: &declaration,
        tried,
        remaining: Millis(1_000),
    };
    router.pick(now, &fleet.directory, &criteria)
}

fn pick(router: &mut Router, fleet: &Fleet) -> Result<Choice, Refusal> {
    pick_at(router, fleet, NOW, &[])
}

/// Returns the endpoints chosen for 200 requests, each ended before the next.
fn picked(router: &mut Router, fleet: &Fleet) -> BTreeSet<String> {
    (0..200)
        .filter_map(|_| {
            let choice = pick(router, fleet).ok()?;
            router.ended(NOW, &fleet.directory, &choice.endpoint, Feedback::Accepted);
            Some(choice.endpoint.to_string())
        })
        .collect()
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Guards against requests to an endpoint that has stopped sending heartbeats.
#[test]
fn suspect_endpoint_gets_no_request() {
    let mut fleet = fleet(&[("e1", "xela"), ("e2", "xela")]);
    let later = NOW + Millis(1_990);
    fleet.report("e2", later, load(0, 0));
    let mut router = router(1);

    let after = NOW + Millis(2_000);
    for _ in 0..8 {
        let choice = pick_at(&mut router, &fleet, after, &[]).unwrap();
        assert_eq!(choice.endpoint, endpoint("e2"));
    }
}

/// Guards against requests to an endpoint that is leaving or drained.
#[test]
fn leaving_and_drained_endpoints_get_no_request() {
    let mut fleet = fleet(&[("e1", "xela"), ("e2", "xela"), ("e3", "xela")]);
    let leaving = Load {
        leaving: true,
        ..load(0, 0)
    };
    fleet.report("e1", NOW, leaving);
    let config = Snapshot {
        revision: id::Revision(1),
        drains: vec![endpoint("e2")],
        ..Snapshot::default()
    };
    fleet.step(NOW, DirectoryEvent::Configured(Arc::new(config)));

    assert_eq!(picked(&mut router(1), &fleet), names(&["e3"]));
}

/// Guards against a retry at an endpoint that was already tried.
#[test]
fn endpoint_that_was_tried_gets_no_retry() {
    let fleet = fleet(&[("e1", "xela"), ("e2", "xela")]);
    let mut router = router(1);

    let choice = pick_at(&mut router, &fleet, NOW, &[endpoint("e1")]).unwrap();
    let none = pick_at(&mut router, &fleet, NOW, &[endpoint("e1"), endpoint("e2")]);

    assert_eq!(choice.endpoint, endpoint("e2"));
    assert_eq!(none.unwrap_err().reason, Reason::NoRoom);
}

/// Guards against more requests in progress at an endpoint than it has slots.
#[test]
fn full_endpoints_get_no_request() {
    let fleet = ten_local();
    let mut router = router(1);

    for _ in 0..80 {
        pick(&mut router, &fleet).unwrap();
    }
    let refusal = pick(&mut router, &fleet).unwrap_err();

    for name in &fleet.names {
        assert_eq!(router.in_progress(&endpoint(name)), 8);
    }
    assert_eq!(refusal.reason, Reason::NoRoom);
    assert!(refusal.retry_after >= Millis(10));
}

/// Guards against exceeding the connection limit while slots are free.
#[test]
fn endpoint_without_free_connections_gets_no_request() {
    let mut fleet = fleet(&[("e1", "xela")]);
    let connected = Load {
        connections_used: Connections(64),
        ..load(0, 0)
    };
    fleet.report("e1", NOW, connected);

    let refusal = pick(&mut router(1), &fleet).unwrap_err();

    assert_eq!(refusal.reason, Reason::NoRoom);
}

/// Guards against counting requests of this entry that have ended since the
/// report, which would leave an idle endpoint unused for a second.
#[test]
fn stale_report_of_own_requests_does_not_make_an_endpoint_full() {
    let mut fleet = fleet(&[("e1", "xela")]);
    let mut router = router(1);
    for _ in 0..8 {
        pick(&mut router, &fleet).unwrap();
    }
    fleet.report("e1", NOW, load(8, 0));

    for _ in 0..8 {
        router.ended(NOW, &fleet.directory, &endpoint("e1"), Feedback::Accepted);
    }

    for _ in 0..8 {
        pick(&mut router, &fleet).unwrap();
    }
    assert!(pick(&mut router, &fleet).is_err());
}

/// Guards against using slots that requests of other entries occupy.
#[test]
fn slots_that_other_entries_hold_are_not_given_again() {
    let mut fleet = fleet(&[("e1", "xela")]);
    let mut router = router(1);
    pick(&mut router, &fleet).unwrap();
    fleet.report("e1", NOW, load(6, 0));

    let taken = (0..8).filter(|_| pick(&mut router, &fleet).is_ok()).count();

    assert_eq!(taken, 2);
    let usage = router.slot_usage(NOW, &fleet.directory, Some(&service()));
    assert_eq!((usage.total, usage.used_by_others), (Slots(8), Slots(5)));
}

/// Guards against leaving an idle endpoint unused for a second because it
/// refused one request.
#[test]
fn endpoint_that_refused_is_tried_again_after_part_of_its_service_time() {
    let fleet = fleet(&[("e1", "xela")]);
    let mut router = router(1);
    let choice = pick(&mut router, &fleet).unwrap();
    router.ended(NOW, &fleet.directory, &choice.endpoint, Feedback::Full);

    let before = pick_at(&mut router, &fleet, NOW + Millis(9), &[]);
    let after = pick_at(&mut router, &fleet, NOW + Millis(10), &[]);

    assert_eq!(before.unwrap_err().reason, Reason::NoRoom);
    assert!(after.is_ok());
}

/// Guards against an entry that gets no slot because requests of the others fill
/// all slots in the newest report, and against it using more than its fair share
/// in that case.
#[test]
fn entry_uses_its_fair_share_although_the_report_shows_all_slots_in_use() {
    let mut fleet = fleet(&[("e1", "xela")]);
    fleet.step(NOW, DirectoryEvent::Listed((2..=4).map(member).collect()));
    fleet.report("e1", NOW, load(8, 0));
    let mut router = router(1);

    let taken = (0..8).filter(|_| pick(&mut router, &fleet).is_ok()).count();

    assert_eq!(taken, 2);
}

/// Guards against borrowing slots of other entries while slots of the own fair
/// share are free at another endpoint.
#[test]
fn own_fair_share_is_used_before_slots_are_borrowed() {
    let mut fleet = ten_local();
    fleet.step(NOW, DirectoryEvent::Listed((2..=4).map(member).collect()));
    let mut router = router(1);

    for _ in 0..20 {
        pick(&mut router, &fleet).unwrap();
    }

    for name in &fleet.names {
        assert_eq!(router.in_progress(&endpoint(name)), 2, "at {name}");
    }
}

/// Guards against using an endpoint again that has just refused as full.
#[test]
fn endpoint_that_refused_is_full_until_its_next_report() {
    let mut fleet = fleet(&[("e1", "xela")]);
    let mut router = router(1);
    let choice = pick(&mut router, &fleet).unwrap();

    router.ended(NOW, &fleet.directory, &choice.endpoint, Feedback::Full);
    let refusal = pick(&mut router, &fleet).unwrap_err();
    fleet.report("e1", NOW, load(0, 0));

    assert_eq!(refusal.reason, Reason::NoRoom);
    assert!(pick(&mut router, &fleet).is_ok());
}

/// Guards against herding: all entries see one endpoint as idle for a second and
/// would all send their requests to it.
#[test]
fn stale_report_of_one_idle_endpoint_does_not_attract_every_request() {
    let mut fleet = ten_local();
    for n in 1..10 {
        fleet.report(&format!("e{n}"), NOW, load(4, 0));
    }

    let mut sent_to_idle = 0;
    for seed in 0..4 {
        let mut router = router(seed);
        for _ in 0..100 {
            let choice = pick(&mut router, &fleet).unwrap();
            sent_to_idle += u32::from(choice.endpoint == endpoint("e0"));
            router.ended(NOW, &fleet.directory, &choice.endpoint, Feedback::Accepted);
        }
    }

    assert!((40..=120).contains(&sent_to_idle), "{sent_to_idle} of 400");
}

/// Guards against requests to an endpoint with a queue while another is free.
#[test]
fn endpoint_with_a_queue_is_avoided() {
    let mut fleet = fleet(&[("e1", "xela"), ("e2", "xela")]);
    fleet.report("e1", NOW, load(4, 500));
    let mut router = router(1);

    let sent_to_slow = (0..100)
        .filter(|_| {
            let choice = pick(&mut router, &fleet).unwrap();
            router.ended(NOW, &fleet.directory, &choice.endpoint, Feedback::Accepted);
            choice.endpoint == endpoint("e1")
        })
        .count();

    // Both samples are the slow endpoint in a quarter of the cases.
    assert!(sent_to_slow <= 35, "{sent_to_slow} of 100");
}

/// Guards against using a remote endpoint while a local one is as good.
#[test]
fn local_endpoint_is_used_while_its_wait_is_below_the_cost_of_the_link() {
    let mut fleet = fleet(&[("e1", "xela"), ("e2", "toto")]);
    fleet.report("e1", NOW, load(7, 20));

    assert_eq!(picked(&mut router(1), &fleet), names(&["e1"]));
}

/// Guards against a long wait in a busy data centre while another is idle.
#[test]
fn remote_endpoint_is_used_when_the_local_wait_exceeds_delay_and_cost() {
    let mut fleet = fleet(&[("e1", "xela"), ("e2", "toto")]);
    fleet.report("e1", NOW, load(7, 21));

    assert_eq!(picked(&mut router(1), &fleet), names(&["e2"]));
}

/// Guards against using a remote endpoint when a local slot is free sooner.
#[test]
fn request_waits_for_full_local_endpoints_if_a_slot_is_free_before_the_round_trip() {
    let mut fleet = fleet(&[("e1", "xela"), ("e2", "toto")]);
    fleet.report("e1", NOW, load(8, 0));

    let refusal = pick(&mut router(1), &fleet).unwrap_err();
    let slow = Load {
        service_time: Millis(400),
        ..load(8, 0)
    };
    fleet.report("e1", NOW, slow);

    assert_eq!(refusal.reason, Reason::NoRoom);
    assert_eq!(picked(&mut router(1), &fleet), names(&["e2"]));
}

/// Guards against queuing for full local endpoints while remote ones are idle:
/// the wait is underestimated if each queued request assumes it is the only one.
#[test]
fn queued_requests_for_full_local_endpoints_make_remote_ones_preferable() {
    let mut fleet = fleet(&[("e1", "xela"), ("e2", "toto")]);
    fleet.report("e1", NOW, load(8, 0));
    let mut router = router(1);

    router.set_queued(20);

    assert_eq!(picked(&mut router, &fleet), names(&["e2"]));
}

/// Guards against refusing requests when only the local data centre is lost, and
/// against using a data centre that the declaration doesn't allow.
#[test]
fn lost_data_centre_is_replaced_by_an_allowed_one() {
    let fleet = fleet(&[("e2", "toto"), ("e3", "sanmarcos")]);
    let mut router = router(1);
    let everywhere = picked(&mut router, &fleet);

    let declaration = Declaration {
        data_centres: vec![data_centre("xela"), data_centre("toto")],
        ..declaration()
    };
    let criteria = Criteria {
        declaration: &declaration,
        tried: &[],
        remaining: Millis(1_000),
    };
    let choice = router.pick(NOW, &fleet.directory, &criteria).unwrap();

    assert_eq!(everywhere, names(&["e2", "e3"]));
    assert_eq!(choice.endpoint, endpoint("e2"));
}

/// Guards against placing a request that would get a slot after its deadline.
#[test]
fn request_whose_deadline_passes_in_the_queue_is_refused() {
    let mut fleet = fleet(&[("e1", "xela")]);
    fleet.report("e1", NOW, load(7, 300));
    let declaration = declaration();
    let criteria = Criteria {
        declaration: &declaration,
        tried: &[],
        remaining: Millis(299),
    };

    let refusal = router(1)
        .pick(NOW, &fleet.directory, &criteria)
        .unwrap_err();

    assert_eq!(refusal.reason, Reason::DeadlineTooShort);
}

/// Guards against a refusal without a reason or a useful retry delay.
#[test]
fn service_without_live_endpoints_is_refused_with_a_time_to_retry() {
    let fleet = fleet(&[]);

    let refusal = pick(&mut router(1), &fleet).unwrap_err();

    assert_eq!(refusal.reason, Reason::NoEndpoint);
    assert_eq!(refusal.retry_after, Millis(1_000));
}

/// Guards against choices that a replay with the same seed doesn't reproduce.
#[test]
fn equal_seeds_make_equal_choices() {
    let fleet = ten_local();
    let choices = |seed| -> Vec<_> {
        let mut router = router(seed);
        (0..80).map(|_| pick(&mut router, &fleet)).collect()
    };

    assert_eq!(choices(3), choices(3));
    assert_ne!(choices(3), choices(4));
}

/// Guards against sampling missing the only free endpoint among many. Sampling
/// avoids a full scan for each request at the size expected in two years.
#[test]
fn single_free_endpoint_among_many_is_found() {
    let names: Vec<String> = (0..200).map(|n| format!("e{n}")).collect();
    let endpoints: Vec<_> = names.iter().map(|name| (name.as_str(), "xela")).collect();
    let mut fleet = fleet(&endpoints);
    for name in &names[..199] {
        fleet.report(name, NOW, load(8, 0));
    }

    let choice = pick(&mut router(1), &fleet).unwrap();

    assert_eq!(choice.endpoint, endpoint("e199"));
}
