//! Tests of the proposed fixes and of excerpts.

use {
    filbertbend_state::{
        id,
        service::{Class, Kind},
        unit::{Bytes, Cores, Millis, Share},
    },
    filbertbend_yaml::{document, fault, Code, Level, Report, Scalar, Section, Source},
    std::{net::SocketAddr, sync::Arc},
};

/// Returns the proposed fix for each of `texts`, which must all be invalid.
fn fixes<T: Scalar>(texts: &[&str]) -> String {
    let line = |text: &&str| {
        assert!(text.parse::<T>().is_err(), "{text} is valid");
        format!("{} | {text} | {}", T::EXPECTED, T::fix(text))
    };
    texts.iter().map(line).collect::<Vec<_>>().join("\n")
}

#[test]
fn fixes_repair_units_and_names() {
    // Guards against a fix that repeats the invalid text or proposes a wrong
    // unit.
    let all = [
        fixes::<Millis>(&[
            "800",
            "2 sec",
            "1.5s",
            "5 Minutes",
            "",
            "ms",
            "99999999999999999999s",
            "-1s",
        ]),
        fixes::<Bytes>(&["4GB", "512 mb", "1024", "4G", "GiB", "1.5GiB"]),
        fixes::<Cores>(&["0.5", "2 cores", "-1", "1e99", "NaN"]),
        fixes::<Share>(&["20", "0.2", "120%", "-5%", "half"]),
        fixes::<Kind>(&["chek", "batch-job", "Order"]),
        fixes::<Class>(&["urgnt", "low"]),
        fixes::<Level>(&["warning", "verbose"]),
        fixes::<SocketAddr>(&["localhost:80", "127.0.0.1"]),
        fixes::<id::Service>(&["Spacing Check", "-x", "ñ"]),
        fixes::<bool>(&["yes"]),
    ];

    insta::assert_snapshot!(all.join("\n"));
}

#[test]
fn proposed_values_are_valid() {
    // Guards against a fix whose value is invalid itself.
    let repaired = |fix: String| fix.rsplit(' ').next().unwrap().to_owned();

    assert!(repaired(Millis::fix("2 sec")).parse::<Millis>().is_ok());
    assert!(repaired(Millis::fix("800")).parse::<Millis>().is_ok());
    assert!(repaired(Bytes::fix("512 mb")).parse::<Bytes>().is_ok());
    assert!(repaired(Cores::fix("0.5")).parse::<Cores>().is_ok());
    assert!(repaired(Share::fix("20")).parse::<Share>().is_ok());
}

#[test]
fn excerpts_are_short_and_printable() {
    // Guards against a file that floods the terminal or sends escape sequences
    // to it.
    let long = "x".repeat(100_000);
    let control = "\u{1b}[2J";

    assert!(fault::excerpt(&long).chars().count() <= 65);
    assert!(!fault::excerpt(control).contains('\u{1b}'));
}

#[test]
fn keys_with_similar_names_are_proposed() {
    // Guards against an unknown key that is reported without a proposed fix.
    let text = "deadlin: 1s\ncolour: red\n";
    let mut report = Report::new(Arc::new(Source::new("a.yaml", text)));
    let nodes = document::parse(&mut report);
    let mut section = Section::open(&nodes[0], "a service", &mut report).unwrap();
    section.optional::<Millis>("deadline", &mut report);
    section.close(&mut report);

    let faults = report.into_faults();

    let fixes: Vec<&str> = faults.iter().map(|fault| &*fault.fix).collect();
    assert_eq!(fixes, ["did you mean `deadline`?", "use one of deadline"]);
    assert_eq!(faults[0].code, Code::UnknownKey);
}
