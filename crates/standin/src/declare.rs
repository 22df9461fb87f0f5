//! Service declarations for tests and benches.

use filbertbend_state::{
    room::Room,
    service::{Class, Declaration, Kind, Retry},
    unit::{Bytes, Cores, Millis, Share},
};

/// Returns the declaration of a service with generous limits.
///
/// # Panics
///
/// Panics if `name` is not a valid name.
pub fn service(name: &str, kind: Kind, class: Class) -> Declaration {
    Declaration {
        name: name.parse().expect("the name is valid"),
        team: "installers".parse().expect("the name is valid"),
        kind,
        class,
        idempotent: kind != Kind::Order,
        deadline: Millis::from_secs(10),
        size: Room {
            cores: Cores(1000),
            memory: Bytes(1 << 30),
            ..Room::NONE
        },
        run_time: Millis::from_secs(1),
        share: Share::of(0.3),
        quota: Room {
            cores: Cores(64_000),
            memory: Bytes(64 << 30),
            ..Room::NONE
        },
        retry: Retry {
            tries: 3,
            hedge: false,
        },
        data_centres: Vec::new(),
    }
}
