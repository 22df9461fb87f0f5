//! `check DIR` and `serve --check`: report every fault of the files.

use {
    super::{
        failure::{count, Failure},
        Exit, Screen,
    },
    crate::declaration,
    filbertbend_state::{id, service::Declaration},
    serde::Serialize,
    std::{io::Write, path::Path},
};

#[derive(Serialize)]
struct Correct {
    outcome: &'static str,
}

#[derive(Serialize)]
struct Checked<'a> {
    outcome: &'static str,
    files: usize,
    services: Vec<&'a id::Service>,
}

pub(super) fn run<O: Write, E: Write>(
    folder: &Path,
    screen: &mut Screen<O, E>,
) -> Result<(), Failure> {
    let collection = declaration::collect(folder);
    let services = collection.services.map_err(Failure::Files)?;
    screen.text(format!(
        "{} in {}, no faults",
        count(services.len(), "service"),
        count(collection.files, "file")
    ));
    screen.json(&Checked {
        outcome: "done",
        files: collection.files,
        services: services.iter().map(|service| &service.name).collect(),
    });
    Ok(())
}

/// Reports that the settings of `serve --check` have no fault.
pub(super) fn correct<O: Write, E: Write>(screen: &mut Screen<O, E>) -> Exit {
    screen.text("the settings file has no faults");
    screen.json(&Correct { outcome: "done" });
    Exit::Done
}

/// Reads the services below a folder for a publish.
pub(super) fn collect(folder: &Path) -> Result<Vec<Declaration>, Failure> {
    declaration::collect(folder)
        .services
        .map_err(Failure::Files)
}
