//! Tests of which connections and bodies are given up when memory or
//! descriptors are short.

use {
    filbertbend_process::clients::{
        Id, Ledger, Limits, Opening, Reservation, PROGRESS_BYTES, STALL_TIME,
    },
    std::{
        net::{IpAddr, Ipv4Addr},
        time::Instant,
    },
};

const LIMITS: Limits = Limits {
    connections: 3,
    request_bytes: 100,
};

fn peer(last: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last).into()
}

/// Opens a connection and returns it with the one whose place it takes.
fn open(ledger: &mut Ledger, now: Instant, last: u8) -> (Id, Option<Id>) {
    match ledger.open(now, peer(last)) {
        Opening::Opened { id, evicted } => (id, evicted),
        Opening::Refused => panic!("connection of {last} refused"),
    }
}

/// Opens a connection that receives a body with `bytes` reserved.
fn receiving(ledger: &mut Ledger, now: Instant, bytes: usize) -> Id {
    let (id, _) = open(ledger, now, 1);
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
    open(&mut ledger, now, 1);
    let (first, _) = open(&mut ledger, now + STALL_TIME, 2);
    open(&mut ledger, now + 2 * STALL_TIME, 2);

    let (_, evicted) = open(&mut ledger, now + 3 * STALL_TIME, 3);

    assert_eq!(evicted, Some(first));
}

/// Guards against an answer that is lost because another client connects.
#[test]
fn answered_connections_stay_and_others_are_refused() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMITS);
    let ids = [1, 2, 3].map(|last| open(&mut ledger, now, last).0);
    for id in ids {
        ledger.begin(now, id);
        ledger.answer(id);
    }

    let refused = ledger.open(now, peer(4));
    ledger.finish(now, ids[1]);
    let (_, evicted) = open(&mut ledger, now, 4);

    assert_eq!(refused, Opening::Refused);
    assert_eq!(evicted, Some(ids[1]));
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
    let (id, _) = open(&mut ledger, now, 2);
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
    let (id, _) = open(&mut ledger, now, 2);

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
    let (next, _) = open(&mut ledger, now, 2);

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
