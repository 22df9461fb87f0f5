//! Tests of what a leader that was stalled does with calls of other entries.

use {
    super::{Relay, PROBE_INTERVAL, STALL_LIMIT, STALL_PAUSE},
    tokio::time::Instant,
};

/// Guards against a job that is stored long after its caller was told that it
/// never will be: its submission lay unread while the leader was frozen.
#[tokio::test]
async fn calls_read_after_a_stall_are_refused() {
    let relay = Relay::default();
    let begun = Instant::now();
    let last = begun + PROBE_INTERVAL;
    relay.note_run(last);
    assert!(relay.is_timely(last + PROBE_INTERVAL));

    let back = last + 2 * STALL_LIMIT;
    assert!(!relay.is_timely(back), "read before the stall is noticed");
    relay.note_run(back);
    assert!(!relay.is_timely(back), "read after the stall is noticed");
    relay.note_run(back + STALL_PAUSE);

    assert!(relay.is_timely(back + STALL_PAUSE));
}
