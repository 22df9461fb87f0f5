//! Tests of frames that are truncated, corrupted or arbitrary bytes.

use {
    filbertbend_coordination::{
        attempt::{Attempt, Command, Work},
        membership::{Heartbeat, Load},
    },
    filbertbend_protocol::{
        message::{Body, Control, Forwarded, Preamble, Response},
        wire::{self, Header, FRAME_LIMIT_BYTES, HEADER_BYTES},
    },
    filbertbend_state::{id, room::Room, unit::Slots},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    ulid::Ulid,
};

/// Uses a fixed seed, so that every run has the same cases.
fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::with_cases(1024)
    }
}

fn command(body: Vec<u8>) -> Control {
    Control::Command {
        slice: id::Slice(3),
        epoch: id::Epoch(7),
        attempt: Attempt {
            task: id::Task {
                job: id::Job(Ulid(1)),
                index: 2,
            },
            number: id::Attempt(4),
        },
        command: Command::Start {
            size: Room::NONE,
            work: Work::Batch {
                service: "layout".parse().unwrap(),
                body,
                resume: Some(id::Checkpoint(9)),
            },
        },
    }
}

fn body(frame: &[u8]) -> &[u8] {
    &frame[HEADER_BYTES..]
}

/// Returns for each message type whether `bytes` are exactly one such message.
fn decodes(bytes: &[u8]) -> [bool; 5] {
    [
        wire::decode::<Control>(bytes).is_ok(),
        wire::decode::<Preamble>(bytes).is_ok(),
        wire::decode::<Response>(bytes).is_ok(),
        wire::decode::<Body>(bytes).is_ok(),
        wire::decode::<Forwarded>(bytes).is_ok(),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic, and against allocation of a size that a peer
    /// claims without sending that much.
    #[test]
    fn arbitrary_bytes_are_rejected_or_decoded(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = decodes(&bytes);
    }

    /// Guards against a message that is taken as complete when its end is
    /// missing.
    #[test]
    fn truncated_message_is_rejected(
        input in proptest::collection::vec(any::<u8>(), 0..64),
        cut in 1_usize..32,
    ) {
        let frame = wire::encode(&command(input)).unwrap();
        let complete = body(&frame);
        let cut = cut.min(complete.len());

        let result = wire::decode::<Control>(&complete[..complete.len() - cut]);

        prop_assert!(result.is_err());
    }

    /// Guards against bytes after a message that are silently ignored.
    #[test]
    fn trailing_bytes_are_rejected(extra in proptest::collection::vec(any::<u8>(), 1..16)) {
        let frame = wire::encode(&command(Vec::new())).unwrap();
        let mut longer = body(&frame).to_vec();
        longer.extend(extra);

        let result = wire::decode::<Control>(&longer);

        prop_assert!(result.is_err());
    }

    /// Guards against a heartbeat that decodes to different values.
    #[test]
    fn heartbeat_round_trips(sequence in any::<u64>(), slots in any::<u32>(), leaving in any::<bool>()) {
        let heartbeat = Heartbeat {
            sequence,
            load: Load {
                slots_used: Slots(slots),
                leaving,
                ..Load::default()
            },
            ..Heartbeat::default()
        };
        let message = Control::Heartbeat(heartbeat);

        let frame = wire::encode(&message).unwrap();

        prop_assert_eq!(wire::decode::<Control>(body(&frame)).unwrap(), message);
    }

    /// Guards against frames of another version, and against a length that would
    /// make the receiver allocate an unbounded amount of memory.
    #[test]
    fn malformed_header_is_rejected(length in any::<u32>(), version in any::<u8>()) {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..4].copy_from_slice(&length.to_be_bytes());
        bytes[4] = version;

        let header = Header::decode(bytes);

        let valid = version == wire::VERSION && length as usize <= FRAME_LIMIT_BYTES;
        prop_assert_eq!(header.is_ok(), valid);
    }
}
