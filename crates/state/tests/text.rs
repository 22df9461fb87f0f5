//! Tests that values formatted as text parse to the same value, and that
//! invalid text is rejected without a panic.

use {
    filbertbend_state::{
        id,
        unit::{Bytes, Cores, Millis, Share},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::{fmt::Display, str::FromStr},
    ulid::Ulid,
};

/// Uses a fixed seed, so that every run has the same cases.
fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::with_cases(512)
    }
}

fn round_trips<T: Display + FromStr + PartialEq>(value: &T) -> bool {
    let parsed = value.to_string().parse::<T>();
    parsed.is_ok_and(|parsed| parsed == *value)
}

proptest! {
    #![proptest_config(config())]

    /// Guards against settings or logs that state a different size from the one
    /// in use.
    #[test]
    fn quantities_round_trip(number in 0_u64..1 << 50, share in 0_u16..=1000) {
        prop_assert!(round_trips(&Millis(number)));
        prop_assert!(round_trips(&Cores(number)));
        prop_assert!(round_trips(&Bytes(number)));
        prop_assert!(round_trips(&Share::new(share)));
    }

    /// Guards against a task id in a log that identifies a different task.
    #[test]
    fn task_ids_round_trip(job in any::<u128>(), index in any::<u32>()) {
        let task = id::Task { job: id::Job(Ulid(job)), index };

        prop_assert!(round_trips(&task));
    }

    /// Guards against a panic on untrusted text, and against names that are
    /// invalid in store keys and metric labels.
    #[test]
    fn arbitrary_text_is_rejected_or_parsed(text in "\\PC{0,80}") {
        let name = text.parse::<id::Endpoint>();

        if let Ok(name) = name {
            prop_assert_eq!(name.to_string(), text.clone());
            prop_assert!(text.is_ascii() && !text.contains('/') && text.len() <= 64);
        }
        let _ = text.parse::<id::Task>();
        let _ = text.parse::<Millis>();
        let _ = text.parse::<Cores>();
        let _ = text.parse::<Bytes>();
        let _ = text.parse::<Share>();
    }
}
