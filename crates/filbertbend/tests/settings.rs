//! Tests of the entry's settings file.

use {
    filbertbend::settings::Settings,
    filbertbend_state::unit::Bytes,
    filbertbend_yaml::Fault,
    std::{fs, path::PathBuf},
};

/// Creates a folder with TLS files and `text` as its settings file. Returns the
/// folder and the path of the settings file.
fn folder(text: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    for file in ["entry.pem", "entry.key", "authority.pem"] {
        fs::write(folder.path().join(file), "").unwrap();
    }
    let path = folder.path().join("entry.yaml");
    fs::write(&path, text).unwrap();
    (folder, path)
}

/// Formats each fault on a line, with its position, code and fix.
fn lines(faults: &[Fault]) -> String {
    let line = |fault: &Fault| {
        let (line, column) = fault.position().unwrap();
        format!(
            "{line}:{column} {}: {}; {}",
            fault.code, fault.message, fault.fix
        )
    };
    faults.iter().map(line).collect::<Vec<_>>().join("\n")
}

const MINIMAL: &str = "\
name: entry-1
data_centre: xela
region: altiplano
addresses: { processes: 127.0.0.1:7400 }
store: { addresses: [127.0.0.1:2400] }
tls: { certificate: entry.pem, key: entry.key, authority: authority.pem }
";

#[test]
fn minimal_file_gets_defaults() {
    // Guards against unintended changes of a default.
    let (_folder, path) = folder(MINIMAL);

    let settings = Settings::load(path).unwrap();

    assert_eq!(settings.slices, 16);
    assert_eq!(settings.addresses.advertised.port(), 7400);
    assert_eq!(settings.store.writes_per_second, 30);
    assert_eq!(settings.limits.header, Bytes(32 << 10));
}

#[test]
fn every_fault_is_reported_at_its_position() {
    // Guards against stopping at the first fault, and against accepting an address
    // that other processes cannot reach.
    let text = "\
name: entry-1
data_center: xela
slices: 0
addresses:
  processes: 0.0.0.0:7400
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8080
store:
  addresses: []
  writes_per_second: 2/s
limits: { header: 0B, job_body: 1MiB, connections: many }
log: { level: inf }
tls: [entry.pem]
name: entry-2
";
    let (_folder, path) = folder(text);

    let faults = Settings::load(path).unwrap_err();

    insta::assert_snapshot!(lines(&faults));
}

#[test]
fn unreadable_files_are_reported_without_a_position() {
    // Guards against treating a missing file as an empty one.
    let (folder, path) = folder("");

    let empty = Settings::load(&path).unwrap_err();
    let absent = Settings::load(folder.path().join("absent.yaml")).unwrap_err();

    assert_eq!(empty[0].code, filbertbend_yaml::Code::Empty);
    assert_eq!(absent[0].code, filbertbend_yaml::Code::Unreadable);
    assert_eq!(absent[0].position(), None);
}
