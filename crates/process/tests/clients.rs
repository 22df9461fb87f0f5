//! Tests of which connections and bodies are given up when memory or
//! descriptors are short.

use {
    filbertbend_process::clients::{
        Clients, Id, Ledger, Limits, Reservation, NEAR_STALL_TIME, PROGRESS_BYTES, STALL_TIME,
    },
    rustix::io::Errno,
    std::{
        net::{IpAddr, Ipv4Addr},
        time::{Duration, Instant},
    },
};

const LIMITS: Limits = Limits {
    connections: 3,
    request_bytes: 100,
    stall_time: STALL_TIME,
};

fn peer(last: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last).into()
}

/// Opens a connection that receives a body with `bytes` reserved.
fn receiving(ledger: &mut Ledger, now: Instant, bytes: usize) -> Id {
    let id = ledger.open(now, peer(1));
    ledger.begin(now, id);
    let reservation = ledger.reserve(now, id, bytes);
    assert_eq!(reservation, granted(&[]));
    id
}

fn granted(evicted: &[Id]) -> Reservation {
    Reservation::Granted {
        evicted: evicted.to_vec(),
    }
}

/// Guards against connections that stay open and lock out later ones.
#[test]
fn oldest_connection_of_the_most_numerous_peer_gives_way() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMITS);
    ledger.open(now, peer(1));
    let first = ledger.open(now + STALL_TIME, peer(2));
    ledger.open(now + 2 * STALL_TIME, peer(2));

    let evicted = ledger.make_room(now + 3 * STALL_TIME);
    let again = ledger.make_room(now + 3 * STALL_TIME);

    assert_eq!(evicted, Some(first));
    assert_eq!(again, None);
}

/// Guards against an answer that is lost because another client connects, and
/// against a request that is lost before its header has been read.
#[test]
fn only_stalled_connections_make_room() {
    let now = Instant::now();
    let stalled = now + STALL_TIME;
    let mut ledger = Ledger::new(LIMITS);
    let ids = [1, 2, 3].map(|last| ledger.open(now, peer(last)));
    let young = ledger.make_room(stalled - Duration::from_millis(1));
    for id in ids {
        ledger.begin(now, id);
        ledger.answer(id);
    }

    let answered = (ledger.make_room(stalled), ledger.shed(stalled));
    ledger.finish(stalled, ids[1]);
    let finished = ledger.make_room(stalled);
    let later = ledger.make_room(stalled + STALL_TIME);

    assert_eq!(young, None);
    assert_eq!(answered, (None, None));
    assert_eq!(finished, None);
    assert_eq!(later, Some(ids[1]));
}

/// Guards against readiness checks that wait behind many idle connections, and
/// against a heartbeat that is given up while it arrives.
#[test]
fn near_connection_waits_for_a_header_only_shortly() {
    let now = Instant::now();
    let mut ledger = Ledger::new(Limits {
        connections: 2,
        stall_time: NEAR_STALL_TIME,
        ..LIMITS
    });
    receiving(&mut ledger, now, 1);
    let waiting = ledger.open(now, peer(1));

    let young = ledger.make_room(now + NEAR_STALL_TIME / 2);
    let evicted = ledger.make_room(now + NEAR_STALL_TIME);
    ledger.open(now + NEAR_STALL_TIME, peer(2));
    let arriving = ledger.make_room(now + NEAR_STALL_TIME);

    assert_eq!((young, evicted, arriving), (None, Some(waiting), None));
}

/// Guards against a listener that has no descriptor left and frees none.
#[test]
fn connection_is_shed_although_none_has_stalled() {
    let now = Instant::now();
    let stalled = now + STALL_TIME;
    let mut ledger = Ledger::new(LIMITS);
    let first = ledger.open(now, peer(1));
    let second = ledger.open(stalled, peer(2));
    let third = ledger.open(stalled + STALL_TIME / 2, peer(2));
    ledger.answer(third);

    let shed = [(); 3].map(|()| ledger.shed(stalled + STALL_TIME / 2));

    assert_eq!(shed, [Some(first), Some(second), None]);
}

/// Guards against bodies that never end and lock out others, and against a body
/// that is given up although it makes progress.
#[test]
fn only_stalled_bodies_give_way() {
    let begun = Instant::now();
    let now = begun + STALL_TIME;
    let mut ledger = Ledger::new(LIMITS);
    let moving = receiving(&mut ledger, begun, 50);
    let stalled = receiving(&mut ledger, begun, 50);
    ledger.receive(now, moving, PROGRESS_BYTES);
    ledger.receive(now, stalled, PROGRESS_BYTES - 1);
    let id = ledger.open(now, peer(2));
    ledger.begin(now, id);

    let first = ledger.reserve(now, id, 50);
    let second = ledger.reserve(now, id, 1);

    assert_eq!(first, granted(&[stalled]));
    assert_eq!(second, Reservation::Refused);
}

/// Guards against a request that is refused although it would fit, and against
/// a stalled body that is given up in vain.
#[test]
fn body_that_cannot_fit_evicts_nothing() {
    let begun = Instant::now();
    let now = begun + STALL_TIME;
    let mut ledger = Ledger::new(LIMITS);
    let answered = receiving(&mut ledger, begun, 60);
    ledger.answer(answered);
    receiving(&mut ledger, begun, 30);
    let id = ledger.open(now, peer(2));

    let too_large = ledger.reserve(now, id, 50);
    let fitting = ledger.reserve(now, id, 10);

    assert_eq!(too_large, Reservation::Refused);
    assert_eq!(fitting, granted(&[]));
}

/// Guards against a request inside the limits of its deployment that is refused
/// although nothing else is in memory, and against memory that is not released.
#[test]
fn request_alone_may_exceed_the_memory_and_releases_it() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMITS);
    let alone = receiving(&mut ledger, now, 150);
    let more = ledger.reserve(now, alone, 150);
    let next = ledger.open(now, peer(2));

    let refused = ledger.reserve(now, next, 1);
    ledger.finish(now, alone);
    let released = ledger.reserve(now, next, 100);
    ledger.close(next);
    let closed = ledger.reserve(now, alone, 100);

    assert_eq!(more, granted(&[]));
    assert_eq!(refused, Reservation::Refused);
    assert_eq!(released, granted(&[]));
    assert_eq!(closed, granted(&[]));
}

/// Guards against large bodies that are all refused halfway, because each waits for
/// the memory of the others, and against more than one over the limit.
#[test]
fn oldest_request_in_memory_gets_what_it_needs() {
    let now = Instant::now();
    let later = now + Duration::from_millis(1);
    let mut ledger = Ledger::new(LIMITS);
    let oldest = receiving(&mut ledger, now, 50);
    let next = receiving(&mut ledger, later, 50);

    let before = ledger.reserve(later, next, 50);
    let over = ledger.reserve(later, oldest, 50);
    ledger.finish(later, oldest);
    ledger.begin(later, oldest);
    let after = ledger.reserve(later, next, 51);
    let second = ledger.reserve(later, oldest, 1);

    assert_eq!(before, Reservation::Refused);
    assert_eq!(over, granted(&[]));
    assert_eq!(after, granted(&[]));
    assert_eq!(second, Reservation::Refused);
}

/// Guards against connections that are closed because others break before they are
/// accepted.
#[tokio::test]
async fn only_a_lack_of_descriptors_closes_a_connection() {
    let clients = Clients::new("test", LIMITS);
    let (_client, eviction) = clients.open(peer(1)).await;

    clients.shed(&Errno::CONNABORTED.into());
    let aborted = eviction.is_due();
    clients.shed(&Errno::MFILE.into());

    assert!(!aborted);
    assert!(eviction.is_due());
}
