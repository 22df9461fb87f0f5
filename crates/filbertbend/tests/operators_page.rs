//! Tests that `docs/operators.md` matches the code.

mod support {
    pub(crate) mod page;
}

use {
    filbertbend::{
        cli::Exit,
        declaration,
        settings::{self, Settings},
    },
    filbertbend_coordination::owner::Counter,
    filbertbend_yaml::Source,
    serde_json::{json, Value},
    std::{
        collections::BTreeSet,
        fs,
        path::{Path, PathBuf},
    },
    strum::IntoEnumIterator,
    support::page::{code, keys, leaves, set, table},
};

fn load(folder: &Path, value: &Value) -> Settings {
    let path = folder.join("entry.yaml");
    fs::write(&path, value.to_string()).unwrap();
    Settings::load(path).unwrap()
}

fn parse_declaration(value: &Value) -> filbertbend_state::service::Declaration {
    let source = Source::new("a.yaml", value.to_string());
    declaration::read([source]).unwrap().remove(0)
}

/// Returns the paths of all source files of the workspace's crates and of the
/// platform adapter.
fn sources() -> Vec<PathBuf> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let crates = fs::read_dir(crates).unwrap();
    let mut folders: Vec<_> = crates
        .map(|entry| entry.unwrap().path().join("src"))
        .filter(|folder| folder.is_dir())
        .collect();
    let adapter = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../platform/src");
    assert!(adapter.is_dir());
    folders.push(adapter);
    let mut files = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                files.push(path);
            }
        }
    }
    files
}

/// Returns the kind and the name of each metric that a source text records.
fn recorded_metrics(text: &str) -> Vec<(&'static str, String)> {
    let mut found = Vec::new();
    for kind in ["counter", "gauge", "histogram"] {
        for call in text.split(&format!("{kind}!(")).skip(1) {
            let name = call.trim_start().strip_prefix('"');
            // This test would miss a name that is not a literal.
            let name = name.expect("the name of a metric is a literal");
            found.push((kind, name.split('"').next().unwrap().to_owned()));
        }
    }
    found
}

#[test]
fn metrics_are_documented() {
    // Guards against a metric that the page does not list, and against a query or
    // an alarm in the page on a metric that does not exist.
    let rows = table("## Metrics");
    let documented: BTreeSet<(String, String)> = rows
        .iter()
        .map(|row| (row[2].clone(), code(&row[0]).unwrap().to_owned()))
        .collect();
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators.md");
    let page = fs::read_to_string(page).unwrap();

    let recorded: BTreeSet<(String, String)> = sources()
        .into_iter()
        .flat_map(|path| recorded_metrics(&fs::read_to_string(path).unwrap()))
        .map(|(kind, name)| (kind.to_owned(), name))
        .collect();
    let used = page.split("filbertbend_").skip(1).map(|rest| {
        let end = rest.find(|c: char| !c.is_ascii_lowercase() && c != '_');
        let name = &rest[..end.unwrap_or(rest.len())];
        format!("filbertbend_{}", name.trim_end_matches("_bucket"))
    });
    let names: BTreeSet<String> = recorded.iter().map(|(_, name)| name.clone()).collect();

    assert_eq!(documented, recorded);
    assert_eq!(rows.len(), recorded.len());
    assert_eq!(used.collect::<BTreeSet<_>>(), names);
}

#[test]
fn job_events_are_documented() {
    // Guards against a value of the label `event` that the page does not list.
    let rows = table("The values of `event` in `filbertbend_job_events_total`:");
    let documented: BTreeSet<String> = keys(&rows).into_iter().collect();

    let recorded = Counter::iter().map(|event| <&str>::from(event).to_owned());

    assert_eq!(documented, recorded.collect::<BTreeSet<_>>());
}

#[test]
fn settings_of_an_entry_are_documented_with_their_defaults() {
    // Guards against a key or a default that the page omits or states wrongly.
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
    // Guards against a key or a default that the page omits or states wrongly.
    let rows = table("## Scheduling files");
    let minimal = json!({
        "name": "a", "team": "a", "kind": "job", "run_time": "1s",
        "size": {"cores": "1", "memory": "1GiB"},
    });
    let expected = parse_declaration(&minimal);

    let mut compared = 0;
    for row in &rows {
        let (key, default) = (code(&row[0]).unwrap(), &row[2]);
        let default = default.rsplit("jobs ").next().and_then(code);
        if let Some(default) = default.filter(|_| !key.starts_with("quota")) {
            let mut value = minimal.clone();
            set(&mut value, key, default);
            assert_eq!(parse_declaration(&value), expected, "{key}");
            compared += 1;
        }
    }

    assert_eq!(keys(&rows), leaves(declaration::keys()));
    assert_eq!(compared, 8);
}

#[test]
fn exit_codes_are_documented() {
    // Guards against an exit code that the page omits or describes wrongly.
    let documented: Vec<(String, String)> = table("## Exit codes")
        .into_iter()
        .map(|row| (row[0].clone(), code(&row[1]).unwrap().to_owned()))
        .collect();

    let codes: Vec<(String, String)> = Exit::iter()
        .map(|exit| ((exit as u8).to_string(), exit.to_string()))
        .collect();

    assert_eq!(documented, codes);
}
