//! The `check DIR` command and `serve --check`, which report every fault of the
//! files.

use {
    super::{
        failure::{count, Failure},
        Exit, Printer,
    },
    crate::declaration,
    filbertbend_state::{id, service::Declaration},
    serde::Serialize,
    std::{io::Write, path::Path},
};

/// The JSON output of `serve --check` for a file without faults.
#[derive(Serialize)]
struct SettingsOutput {
    outcome: &'static str,
}

/// The JSON output of `check`.
#[derive(Serialize)]
struct Output<'a> {
    outcome: &'static str,
    files: usize,
    services: Vec<&'a id::Service>,
}

pub(super) fn run<O: Write, E: Write>(
    folder: &Path,
    printer: &mut Printer<O, E>,
) -> Result<(), Failure> {
    let collection = declaration::collect(folder);
    let services = collection.services.map_err(Failure::Files)?;
    printer.text(format!(
        "{} in {}, no faults",
        count(services.len(), "service"),
        count(collection.files, "file")
    ));
    printer.json(&Output {
        outcome: "done",
        files: collection.files,
        services: services.iter().map(|service| &service.name).collect(),
    });
    Ok(())
}

/// Reports that the settings file given to `serve --check` has no faults.
pub(super) fn report_no_faults<O: Write, E: Write>(printer: &mut Printer<O, E>) -> Exit {
    printer.text("the settings file has no faults");
    printer.json(&SettingsOutput { outcome: "done" });
    Exit::Done
}

/// Reads the services declared below a folder, for a publish.
pub(super) fn collect(folder: &Path) -> Result<Vec<Declaration>, Failure> {
    declaration::collect(folder)
        .services
        .map_err(Failure::Files)
}
