//! Tests that `docs/operators.md` says what the code does.

mod support {
    pub(crate) mod page;
}

use {
    filbertbend::{
        cli::Exit,
        declaration,
        settings::{self, Settings},
    },
    filbertbend_yaml::Source,
    serde_json::{json, Value},
    std::{fs, path::Path},
    strum::IntoEnumIterator,
    support::page::{code, keys, leaves, set, table},
};

fn load(folder: &Path, value: &Value) -> Settings {
    let path = folder.join("entry.yaml");
    fs::write(&path, value.to_string()).unwrap();
    Settings::load(path).unwrap()
}

fn declare(value: &Value) -> filbertbend_state::service::Declaration {
    let source = Source::new("a.yaml", value.to_string());
    declaration::read([source]).unwrap().remove(0)
}

#[test]
fn settings_of_an_entry_are_documented_with_their_defaults() {
    // Guards against a key or a default that the page lacks or has wrong.
    let rows = table("### Settings of an entry");
    let folder = tempfile::tempdir().unwrap();
    for file in ["a.pem", "a.key", "ca.pem"] {
        fs::write(folder.path().join(file), "").unwrap();
    }
    let minimal = json!({
        "name": "entry-1", "data_centre": "xela", "region": "altiplano",
        "addresses": {"processes": "127.0.0.1:7400"},
        "store": {"addresses": ["127.0.0.1:2400"]},
        "tls": {"certificate": "a.pem", "key": "a.key", "authority": "ca.pem"},
    });
    let expected = load(folder.path(), &minimal);

    let mut compared = 0;
    for row in &rows {
        let (key, default) = (code(&row[0]).unwrap(), code(&row[2]));
        if let Some(default) = default.filter(|text| *text != "addresses.processes") {
            let mut value = minimal.clone();
            set(&mut value, key, default);
            assert_eq!(load(folder.path(), &value), expected, "{key}");
            compared += 1;
        }
    }

    assert_eq!(keys(&rows), leaves(settings::keys()));
    assert_eq!(compared, 10);
}

#[test]
fn keys_of_scheduling_files_are_documented_with_their_defaults() {
    // Guards against a key or a default that the page lacks or has wrong.
    let rows = table("## Scheduling files");
    let minimal = json!({
        "name": "a", "team": "a", "kind": "job", "run_time": "1s",
        "size": {"cores": "1", "memory": "1GiB"},
    });
    let expected = declare(&minimal);

    let mut compared = 0;
    for row in &rows {
        let (key, default) = (code(&row[0]).unwrap(), &row[2]);
        let default = default.rsplit("jobs ").next().and_then(code);
        if let Some(default) = default.filter(|_| !key.starts_with("quota")) {
            let mut value = minimal.clone();
            set(&mut value, key, default);
            assert_eq!(declare(&value), expected, "{key}");
            compared += 1;
        }
    }

    assert_eq!(keys(&rows), leaves(declaration::keys()));
    assert_eq!(compared, 8);
}

#[test]
fn exit_codes_are_documented() {
    // Guards against a code that scripts cannot look up.
    let documented: Vec<(String, String)> = table("## Exit codes")
        .into_iter()
        .map(|row| (row[0].clone(), code(&row[1]).unwrap().to_owned()))
        .collect();

    let codes: Vec<(String, String)> = Exit::iter()
        .map(|exit| ((exit as u8).to_string(), exit.to_string()))
        .collect();

    assert_eq!(documented, codes);
}
