//! Tests of the agent's settings file.

#[path = "../../filbertbend/tests/support/page.rs"]
mod page;

use {
    filbertbend_agent::settings::{keys, Settings},
    filbertbend_state::unit::{Accelerators, Slots},
    page::{code, leaves, set, table},
    serde_json::json,
    std::{fs, path::PathBuf},
};

/// Creates a directory with TLS files and a settings file that contains `text`.
fn folder(text: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    for file in ["agent.pem", "agent.key", "authority.pem"] {
        fs::write(folder.path().join(file), "").unwrap();
    }
    let path = folder.path().join("agent.yaml");
    fs::write(&path, text).unwrap();
    (folder, path)
}

const MINIMAL: &str = "\
endpoint: runner-1
worker: worker-1
data_centre: xela
rack: a
services: [spacing-check]
room: { cores: 64, memory: 250GiB }
addresses: { endpoint: 127.0.0.1:9000, worker: 127.0.0.1:9100 }
seeds: [127.0.0.1:7400]
tls: { certificate: agent.pem, key: agent.key, authority: authority.pem }
";

#[test]
fn minimal_file_gets_defaults_and_paths_relative_to_itself() {
    // Guards against resolving paths against the process's working directory.
    let (folder, path) = folder(MINIMAL);

    let settings = Settings::load(path).unwrap();

    assert_eq!(settings.slots, Slots(8));
    assert_eq!(settings.room.accelerators, Accelerators(0));
    assert_eq!(settings.tls.key, folder.path().join("agent.key"));
}

#[test]
fn every_fault_is_reported_at_its_position() {
    // Guards against reporting only the first fault.
    let text = MINIMAL
        .replace("rack: a", "rack: Rack A\nslot: 8")
        .replace("250GiB", "250GB")
        .replace("[127.0.0.1:7400]", "[entry-1:7400, 127.0.0.1]")
        .replace("agent.key", "absent.key")
        .replace("[spacing-check]", "[]");
    let (folder, path) = folder(&text);

    let faults = Settings::load(path).unwrap_err();

    let folder = folder.path().display().to_string();
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| {
            let (line, column) = fault.position().unwrap();
            let message = fault.message.replace(&folder, "FOLDER");
            format!("{line}:{column} {}: {message}; {}", fault.code, fault.fix)
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn keys_include_those_of_sections() {
    // Guards against an incomplete key list, with which the documentation test
    // below would compare too little.
    let keys = keys();

    assert!(keys.contains(&"room.memory".to_owned()), "{keys:?}");
    assert!(keys.contains(&"tls.authority".to_owned()), "{keys:?}");
}

#[test]
fn settings_of_an_agent_are_documented_with_their_defaults() {
    // Guards against keys or defaults that are missing or wrong on the page.
    let rows = table("### Settings of an agent");
    let minimal = json!({
        "endpoint": "runner-1", "worker": "worker-1", "data_centre": "xela", "rack": "a",
        "services": ["spacing-check"], "room": {"cores": "64", "memory": "250GiB"},
        "addresses": {"endpoint": "127.0.0.1:9000", "worker": "127.0.0.1:9100"},
        "seeds": ["127.0.0.1:7400"],
        "tls": {"certificate": "agent.pem", "key": "agent.key", "authority": "authority.pem"},
    });
    let (_folder, path) = folder(&minimal.to_string());
    let expected = Settings::load(&path).unwrap();

    let mut compared = 0;
    for row in &rows {
        let (key, default) = (code(&row[0]).unwrap(), code(&row[2]));
        if let Some(default) = default {
            let mut value = minimal.clone();
            set(&mut value, key, default);
            fs::write(&path, value.to_string()).unwrap();
            assert_eq!(Settings::load(&path).unwrap(), expected, "{key}");
            compared += 1;
        }
    }

    assert_eq!(page::keys(&rows), leaves(keys()));
    assert_eq!(compared, 6);
}
