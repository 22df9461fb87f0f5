//! Service declarations for tests.

use filbertbend_state::{
    id,
    room::Room,
    service::{Class, Declaration, Kind, Retry},
    unit::{Accelerators, Bytes, Cores, Millis, Share},
};

/// Returns a declaration of `service`. Tests use different deadlines to
/// distinguish its versions.
pub(crate) fn declaration(service: &str, deadline_ms: u64) -> Declaration {
    Declaration {
        name: id::Service::new(service).unwrap(),
        team: id::Team::new("drawing").unwrap(),
        kind: Kind::Check,
        class: Class::Interactive,
        idempotent: true,
        deadline: Millis(deadline_ms),
        size: Room {
            cores: Cores(500),
            memory: Bytes(1 << 28),
            accelerators: Accelerators(0),
        },
        run_time: Millis(20),
        share: Share::new(100),
        quota: Room::NONE,
        retry: Retry {
            tries: 2,
            hedge: false,
        },
        data_centres: Vec::new(),
    }
}
