//! Tests that pages and examples say what the code does.

use std::{
    fs,
    path::{Path, PathBuf},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Copies an example of settings beside placeholders of its key files.
fn settings(file: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(file);
    fs::copy(root().join("examples/settings").join(file), &path).unwrap();
    let keys = folder.path().join("keys");
    fs::create_dir(&keys).unwrap();
    for file in [
        "entry.pem",
        "entry.key",
        "agent.pem",
        "agent.key",
        "authority.pem",
    ] {
        fs::write(keys.join(file), "").unwrap();
    }
    (folder, path)
}

#[test]
fn examples_of_settings_have_no_fault() {
    // Guards against an example that the processes refuse to start with.
    let (_entry, entry_path) = settings("entry.yaml");
    let (_agent, agent_path) = settings("agent.yaml");

    let entry = filbertbend::settings::Settings::load(entry_path).unwrap();
    let agent = filbertbend_agent::settings::Settings::load(agent_path).unwrap();

    assert_eq!(entry.slices, agent.slices);
    assert!(agent.seeds.contains(&entry.addresses.advertised));
}
