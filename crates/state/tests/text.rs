//! Tests that what is written as text can be read again, and hostile text is
//! refused without a panic.

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

/// The same cases in every run.
fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::with_cases(512)
    }
}

fn reads_back<T: Display + FromStr + PartialEq>(value: &T) -> bool {
    let read = value.to_string().parse::<T>();
    read.is_ok_and(|read| read == *value)
}

proptest! {
    #![proptest_config(config())]

    /// Guards against settings or logs that state another size than was meant.
    #[test]
    fn quantities_read_back(number in 0_u64..1 << 50, share in 0_u16..=1000) {
        prop_assert!(reads_back(&Millis(number)));
        prop_assert!(reads_back(&Cores(number)));
        prop_assert!(reads_back(&Bytes(number)));
        prop_assert!(reads_back(&Share::new(share)));
    }

    /// Guards against a task id in a log that names another task.
    #[test]
    fn task_ids_read_back(job in any::<u128>(), index in any::<u32>()) {
        let task = id::Task { job: id::Job(Ulid(job)), index };

        prop_assert!(reads_back(&task));
    }

    /// Guards against a panic, or a name that breaks store keys and labels.
    #[test]
    fn hostile_text_is_refused_or_read(text in "\\PC{0,80}") {
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
