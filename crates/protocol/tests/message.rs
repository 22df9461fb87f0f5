//! Tests of the messages between processes.

use {
    filbertbend_coordination::job,
    filbertbend_protocol::{message::Forwarded, wire},
    filbertbend_state::{
        outcome::{Outcome, Ran, Reason},
        unit::Millis,
    },
};

#[test]
fn every_forwarded_outcome_round_trips() {
    // Guards against an outcome that the owner of a slice can encode but the
    // entry that forwarded the call cannot decode. Its caller was then told
    // `no-owner` or `unknown`.
    let outcomes = [
        Outcome::Done,
        Outcome::Refused {
            reason: Reason::SequenceGap,
            retry_after_ms: Millis(250),
        },
        Outcome::Unknown,
        Outcome::Expired { ran: Ran::Unknown },
        Outcome::Cancelled,
        Outcome::Invalid,
    ];

    for outcome in outcomes {
        let message = Forwarded::Answer(job::Answer::Outcome(outcome));
        let frame = wire::encode(&message).unwrap();
        let decoded: Forwarded = wire::decode(&frame[wire::HEADER_BYTES..]).unwrap();
        assert_eq!(decoded, message);
    }
}
