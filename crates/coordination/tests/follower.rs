//! Tests of following the configuration.

mod support {
    pub(crate) mod declaration;
    pub(crate) mod follower;
}

use {
    filbertbend_coordination::{
        config::{follow::Event, key, Follower},
        store::Call,
    },
    filbertbend_state::{config::Snapshot, id, time::Instant, unit::Millis},
    std::sync::Arc,
    support::{
        declaration::declaration,
        follower::{Driver, Store},
    },
};

fn snapshot(revision: u64) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        revision: id::Revision(revision),
        ..Snapshot::default()
    })
}

#[test]
fn follower_fetches_only_changed_segments_and_holds_one_watch() {
    // Guards against store calls that grow with the size of the configuration.
    let mut store = Store::default();
    let mut driver = Driver::new(1);
    let layout = declaration("layout", 100);
    store.set(
        1,
        &[
            ("config/segment/1-a", declaration("spacing-check", 100)),
            ("config/segment/1-b", layout.clone()),
        ],
    );
    driver.run(&mut store, 1000);
    let first = store.drain_calls();

    store.set(
        2,
        &[
            ("config/segment/2-a", declaration("spacing-check", 200)),
            ("config/segment/1-b", layout.clone()),
        ],
    );
    driver.run(&mut store, 60_000);

    assert_eq!(
        first,
        [
            "get config/manifest",
            "get config/segment/1-a",
            "get config/segment/1-b",
            "watch"
        ]
    );
    let calls = store.drain_calls();
    assert_eq!(
        calls[..3],
        ["get config/manifest", "get config/segment/2-a", "watch"]
    );
    assert!(
        calls.len() <= 6,
        "a minute without changes takes two watches: {calls:?}"
    );
    assert_eq!(driver.revisions(), [1, 2]);
    let spacing = id::Service::new("spacing-check").unwrap();
    let found = driver.adopted[1].service(&spacing).unwrap();
    assert_eq!(found.deadline, Millis(200));
    assert_eq!(driver.adopted[1].services[1], layout);
}

#[test]
fn follower_never_goes_back() {
    // Guards against returning to an older configuration that a peer or the
    // store offers.
    let mut store = Store::default();
    let mut driver = Driver::new(2);
    store.set(5, &[("config/segment/5-a", declaration("layout", 100))]);
    driver.run(&mut store, 1000);

    driver.event(&mut store, Event::Peer(snapshot(4)));
    store.set(3, &[("config/segment/3-a", declaration("layout", 50))]);
    driver.run(&mut store, 1000);
    driver.event(&mut store, Event::Peer(snapshot(7)));
    store.set(6, &[("config/segment/6-a", declaration("layout", 60))]);
    driver.run(&mut store, 1000);

    assert_eq!(driver.revisions(), [5, 7]);
    assert_eq!(driver.follower.revision(), id::Revision(7));
}

#[test]
fn follower_keeps_its_configuration_through_an_outage_and_catches_up() {
    // Guards against dropping the configuration in an outage, and against a
    // backoff so long that a change takes more than 3 s to be in force after it.
    let mut store = Store::default();
    let mut driver = Driver::new(3);
    store.set(1, &[("config/segment/1-a", declaration("layout", 100))]);
    driver.run(&mut store, 1000);

    store.down = true;
    driver.run(&mut store, 600_000);
    let calls = store.drain_calls().len();
    let kept = driver.follower.revision();
    store.down = false;
    store.set(2, &[("config/segment/2-a", declaration("layout", 200))]);
    driver.run(&mut store, 3000);

    assert_eq!(kept, id::Revision(1));
    assert!(calls < 1000, "{calls} calls in ten minutes of outage");
    assert_eq!(driver.revisions(), [1, 2]);
}

#[test]
fn follower_takes_the_configuration_from_a_peer_while_the_store_is_down() {
    // Guards against an entry that stays without configuration because it was
    // started during an outage.
    let mut store = Store {
        down: true,
        ..Store::default()
    };
    let mut driver = Driver::new(4);
    driver.run(&mut store, 1000);

    driver.event(&mut store, Event::Peer(snapshot(9)));

    assert_eq!(driver.revisions(), [9]);
}

#[test]
fn follower_reads_again_when_a_newer_publish_deleted_a_segment() {
    // Guards against a follower that is stuck on a manifest whose segment is
    // gone, or that adopts it without that segment.
    let mut store = Store::default();
    let mut driver = Driver::new(5);
    store.set(1, &[("config/segment/1-a", declaration("layout", 100))]);
    store.memory.call(
        Instant(0),
        Call::Delete {
            key: "config/segment/1-a".into(),
            version: None,
        },
    );
    driver.run(&mut store, 2000);
    let early = driver.revisions();

    store.set(2, &[("config/segment/2-a", declaration("layout", 200))]);
    driver.run(&mut store, 3000);

    assert!(early.is_empty());
    assert_eq!(driver.revisions(), [2]);
}

#[test]
fn follower_keeps_its_configuration_when_a_value_is_damaged() {
    // Guards against replacing a valid configuration because of a value that is
    // damaged or of a newer format.
    let mut store = Store::default();
    let mut driver = Driver::new(6);
    store.set(1, &[("config/segment/1-a", declaration("layout", 100))]);
    driver.run(&mut store, 1000);

    store.put(key::MANIFEST, vec![9, 1, 2, 3]);
    driver.run(&mut store, 1000);
    store.set(2, &[("config/segment/2-a", declaration("layout", 200))]);
    store.put("config/segment/2-a", vec![1, 255]);
    driver.run(&mut store, 1000);
    store.set(3, &[("config/segment/3-a", declaration("layout", 300))]);
    driver.run(&mut store, 3000);

    assert_eq!(driver.unreadable, 2);
    assert_eq!(driver.revisions(), [1, 3]);
}

#[test]
fn follower_waits_when_the_manifest_is_deleted() {
    // Guards against a loop of calls without a pause, and against dropping the
    // configuration in force.
    let mut store = Store::default();
    let mut driver = Driver::new(9);
    store.set(1, &[("config/segment/1-a", declaration("layout", 100))]);
    driver.run(&mut store, 1000);
    store.drain_calls();

    let key = key::MANIFEST.into();
    let version = None;
    store.memory.call(Instant(0), Call::Delete { key, version });
    driver.run(&mut store, 5000);

    let calls = store.drain_calls();
    assert_eq!(calls, ["get config/manifest", "watch"]);
    assert_eq!(driver.revisions(), [1]);
}

#[test]
fn follower_lists_many_missing_segments_in_pages() {
    // Guards against one call for each of thousands of segments at startup.
    let mut store = Store::default();
    let mut driver = Driver::new(7);
    let keys: Vec<String> = (0..1000)
        .map(|index| format!("config/segment/{index:05}-a"))
        .collect();
    let segments: Vec<_> = keys
        .iter()
        .enumerate()
        .map(|(index, key)| (key.as_str(), declaration(&format!("service-{index}"), 100)))
        .collect();
    store.set(1, &segments);

    driver.run(&mut store, 1000);

    assert_eq!(driver.adopted[0].services.len(), 1000);
    assert!(store.calls.len() <= 8, "{:?}", store.drain_calls());
}

#[test]
fn follower_gives_up_a_call_that_stays_unanswered() {
    // Guards against a follower that an unresponsive connection blocks forever.
    let mut follower = Follower::new(8);
    let mut actions = Vec::new();
    follower.step(Instant(0), Event::Tick, &mut actions);
    assert_eq!(actions.len(), 1);

    for _ in 0..2 {
        let at = follower.wake_at();
        follower.step(at, Event::Tick, &mut actions);
    }

    assert_eq!(actions.len(), 2, "the call is made again");
}
