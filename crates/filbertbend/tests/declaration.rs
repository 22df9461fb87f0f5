//! Tests of reading and checking scheduling files.

mod support {
    pub(crate) mod report;
}

use {
    filbertbend::declaration::{collect, keys, read, Collection},
    filbertbend_state::{
        service::{Class, Kind},
        unit::{Cores, Millis, Share},
    },
    filbertbend_yaml::{Code, Fault, Source},
    proptest::{
        prelude::{any, prop, prop_oneof, proptest, Just, ProptestConfig, Strategy},
        test_runner::RngSeed,
    },
    std::{fs, path::Path},
    support::report::render,
};

fn examples(user: &str) -> Collection {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    collect(root.join(user))
}

/// Returns the text of a correct service, to which tests add one fault.
fn service(name: &str, share: &str) -> String {
    format!(
        "name: {name}\nteam: drawing\nkind: check\ndeadline: 1s\n\
         size: {{ cores: 1, memory: 1GiB }}\nrun_time: 20ms\nshare: {share}\n"
    )
}

fn faults(files: &[(&str, &str)]) -> Vec<Fault> {
    let sources = files.iter().map(|(name, text)| Source::new(*name, *text));
    read(sources).unwrap_err()
}

/// Returns the code and the line of each fault.
fn codes(faults: &[Fault]) -> Vec<(Code, usize)> {
    faults
        .iter()
        .map(|fault| (fault.code, fault.position().map_or(0, |(line, _)| line)))
        .collect()
}

#[test]
fn examples_of_both_users_are_correct() {
    // Guards against faulty examples, which users copy.
    let cumbre = examples("cumbre-nevada");
    let linen = examples("cot-linen");

    let cumbre_services = cumbre.services.unwrap();
    assert_eq!(cumbre.files, 3);
    assert_eq!(linen.services.unwrap().len(), 3);
    let spacing = cumbre_services
        .iter()
        .find(|service| service.name.as_str() == "spacing-check")
        .unwrap();
    assert_eq!(spacing.kind, Kind::Check);
    assert_eq!(spacing.deadline, Millis(800));
    assert_eq!(spacing.size.cores, Cores(2000));
    assert_eq!(spacing.share, Share::new(400));
    assert!(spacing.retry.hedge);
    assert_eq!(spacing.data_centres.len(), 3);
}

#[test]
fn defaults_follow_the_kind() {
    // Guards against a job that gets the default class or deadline of a check.
    let text = "name: plan\nteam: a\nkind: job\nsize: { cores: 1, memory: 1GiB }\nrun_time: 1h\n";

    let services = read([Source::new("a.yaml", text)]).unwrap();

    assert_eq!(services[0].class, Class::Batch);
    assert_eq!(services[0].deadline, Millis::from_secs(24 * 3600));
    assert_eq!(services[0].retry.tries, 1);
    assert!(!services[0].idempotent);
}

#[test]
fn every_fault_of_every_file_is_reported_with_its_position_and_a_fix() {
    // Guards against stopping at the first fault or the first file.
    let first = "\
name: Spacing Check
team: roof-photos
kind: chek
clas: interactive
deadline: 800
size:
  cores: 0
  memory: 4GB
  disk: 10GiB
run_time: 45 ms
share: 0.4x
retry:
  tries: 9
  hedge: yes
";
    let second = "\
name: layout
team: drawing
kind: job
deadline: 10m
size: { cores: 8, memory: 24GiB }
run_time: 20m
share: 70%
quota: { cores: 4, memory: 480GiB }
data_centres: [xela, toto, xela]
---
name: material-order
team: purchasing
kind: order
idempotent: true
deadline: 10s
size: { cores: 500m, memory: 128MiB }
run_time: 300ms
share: 40%
quota: { cores: 4, memory: 4GiB }
retry: { tries: 3, hedge: true }
";
    let third = "\
name: layout
team: drawing
kind: check
class: interactive
size: 4
run_time:
retry: { hedge: true }
- broken
";

    let faults = faults(&[
        ("spacing-check/filbertbend.yaml", first),
        ("layout/filbertbend.yaml", second),
        ("other/filbertbend.yaml", third),
    ]);

    insta::assert_snapshot!(render(&faults));
}

#[test]
fn names_declared_twice_are_reported_over_files_and_documents() {
    // Guards against a declaration that silently replaces another one, also when
    // the second declaration has a fault of its own.
    let two = format!("{}---\n{}", service("a", "1%"), service("b", "1%"));
    let one = service("a", "1%").replace("1GiB", "1GB");

    let faults = faults(&[("x/filbertbend.yaml", &two), ("y/filbertbend.yaml", &one)]);

    assert_eq!(codes(&faults), [(Code::Duplicate, 1), (Code::Value, 5)]);
    assert_eq!(&**faults[0].file.name(), "y/filbertbend.yaml");
    assert!(faults[0].message.contains("x/filbertbend.yaml, line 1"));
}

#[test]
fn shares_are_added_up_for_each_data_centre() {
    // Guards against guaranteeing more than 100% in a data centre, and against
    // refusing shares that apply to different data centres.
    let at = |name: &str, share: &str, centre: &str| {
        format!("{}data_centres: [{centre}]\n", service(name, share))
    };
    let apart = format!("{}---\n{}", at("a", "60%", "xela"), at("b", "60%", "toto"));
    let everywhere = service("c", "50%");

    let fits = read([Source::new("a.yaml", apart.as_str())]);
    let faults = faults(&[("a.yaml", &apart), ("c.yaml", &everywhere)]);

    assert!(fits.is_ok());
    assert_eq!(codes(&faults), [(Code::ShareExceeded, 7)]);
    assert!(
        faults[0].message.contains("110.0%"),
        "{}",
        faults[0].message
    );
}

#[test]
fn folders_are_searched_and_mistaken_names_reported() {
    // Guards against a misnamed file whose service disappears silently.
    let folder = tempfile::tempdir().unwrap();
    let write = |path: &str, text: &str| {
        let path = folder.path().join(path);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    };
    write("deep/er/filbertbend.yaml", &service("a", "1%"));
    write("other/filbertbend.yml", &service("b", "1%"));
    write(".git/filbertbend.yaml", "not read");
    write("binary/filbertbend.yaml", "");
    fs::write(folder.path().join("binary/filbertbend.yaml"), [0xff, 0xfe]).unwrap();
    fs::create_dir(folder.path().join("link")).unwrap();
    let link = folder.path().join("link/filbertbend.yaml");
    std::os::unix::fs::symlink("/dev/null", link).unwrap();
    write("large/filbertbend.yaml", &"# x\n".repeat(100_000));

    let found = collect(folder.path());
    let nothing = collect(folder.path().join(".git/absent"));

    let faults = found.services.unwrap_err();
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{} -> {}", fault, fault.fix))
        .collect();
    assert_eq!(found.files, 1);
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(nothing.services.unwrap_err().len(), 1);
}

#[test]
fn nesting_and_aliases_cannot_exhaust_the_reader() {
    // Guards against a small file that exhausts the memory or overflows the stack.
    let deep = format!("name: {}", "[".repeat(17));
    let deeper = format!("name: {}", "[".repeat(100_000));
    let maps = "a: {".repeat(50_000);
    let aliases = "a: &a [x, x]\nb: [*a, *a]\n";
    let many = "- x\n".repeat(60_000);

    let found = [&deep, &deeper, &maps, aliases, &many].map(|text| faults(&[("a.yaml", text)]));

    let has = |faults: &[Fault], code| faults.iter().any(|fault| fault.code == code);
    assert!(has(&found[0], Code::Limit));
    // The parser itself refuses nesting beyond 255 levels.
    assert!(has(&found[1], Code::Limit) || has(&found[1], Code::Syntax));
    assert!(has(&found[2], Code::Limit) || has(&found[2], Code::Syntax));
    assert!(has(&found[3], Code::Unsupported));
    assert!(has(&found[4], Code::Limit));
}

#[test]
fn syntax_error_hides_no_other_fault() {
    // Guards against a syntax error that hides the faults before it, and against
    // reporting keys as missing that may come after it.
    let text = "name: layout\nclas: batch\ndeadline: 800\n- broken\nteam: drawing\n";

    let faults = faults(&[("a.yaml", text)]);

    assert_eq!(
        codes(&faults),
        [(Code::UnknownKey, 2), (Code::Value, 3), (Code::Syntax, 4)]
    );
}

#[test]
fn positions_count_characters_after_accents_and_carriage_returns() {
    // Guards against columns counted in bytes, which differ from those of editors.
    let text = "# añadido\r\nname: añejo\r\n";

    let faults = faults(&[("a.yaml", text)]);

    let value = faults.iter().find(|fault| fault.code == Code::Value);
    assert_eq!(value.unwrap().position(), Some((2, 7)));
}

/// Generates text that resembles a scheduling file, with invalid and extreme
/// values.
fn hostile_text() -> impl Strategy<Value = String> {
    let key = prop_oneof![
        prop::sample::select(keys()).prop_map(|key| key.split('.').next_back().unwrap().to_owned()),
        "[a-z\\-?:*&!|>'\"{}\\[\\]%@`# \t]{0,12}",
    ];
    let value = prop_oneof![
        Just("~".to_owned()),
        "[0-9]{0,25}(ms|s|m|h|%|GiB|m|)",
        "[+-]?[0-9]{1,3}\\.[0-9]{1,3}(e[0-9]{1,4})?%?",
        "\\PC{0,40}",
        any::<String>(),
        Just("{cores: 1, memory: 99999999999999GiB}".to_owned()),
        Just("[a, b, a]".to_owned()),
        Just("&a *a".to_owned()),
        Just("|\n  text".to_owned()),
        Just("\n  cores: 1\n  memory: 1GiB".to_owned()),
    ];
    let line = (
        key,
        value,
        prop::sample::select(vec!["", "  ", "- ", "---\n", "\u{feff}"]),
    )
        .prop_map(|(key, value, indent)| format!("{indent}{key}: {value}\n"));
    prop::collection::vec(line, 0..30).prop_map(|lines| lines.concat())
}

/// Configures proptest with a fixed seed, so that every run has the same cases.
fn cases(count: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::with_cases(count)
    }
}

proptest! {
    #![proptest_config(cases(1000))]

    #[test]
    fn hostile_text_never_panics_and_faults_lie_within_the_file(text in hostile_text()) {
        // Guards against a panic, and against positions outside the text, for which
        // the report cannot be rendered.
        if let Err(faults) = read([Source::new("a.yaml", text.as_str())]) {
            assert!(!faults.is_empty());
            for fault in &faults {
                if let Some(span) = fault.span {
                    assert!(span.start <= span.end && span.end <= text.len());
                    assert!(text.is_char_boundary(span.start));
                }
            }
            render(&faults);
        }
    }

    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        if let Err(faults) = read([Source::new("a.yaml", text)]) {
            render(&faults);
        }
    }
}
