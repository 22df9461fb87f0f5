//! Reads and checks the scheduling files that operators keep next to their
//! services' code.
//!
//! A file is named [`FILE_NAME`] and holds one service, or several as YAML
//! documents separated by `---`. The reader continues after a fault, so that one
//! run reports every fault of every file. `docs/operators.md` describes the keys.

mod check;
mod collect;
mod read;

pub use collect::{collect, Collection};

use {
    filbertbend_state::{id, service::Declaration, unit::Share},
    filbertbend_yaml::{document, Fault, Report, Source, Spanned},
    std::{path::Path, sync::Arc},
};

/// The name of a scheduling file.
pub const FILE_NAME: &str = "filbertbend.yaml";

/// A parsed service, kept for checks against the other services.
#[derive(Clone, Debug)]
struct ParsedService {
    file: Arc<Source>,
    name: Spanned<id::Service>,
    share: Option<Spanned<Share>>,
    data_centres: Vec<id::DataCentre>,
    /// The declaration; `None` if a required part of it is missing or invalid.
    declaration: Option<Declaration>,
}

/// Reads scheduling files and checks them against each other.
///
/// # Errors
///
/// Returns the faults of all files, sorted by file name and position.
pub fn read(files: impl IntoIterator<Item = Source>) -> Result<Vec<Declaration>, Vec<Fault>> {
    let mut services = Vec::new();
    let mut faults = Vec::new();
    for file in files {
        let file = Arc::new(file);
        let mut report = Report::new(file.clone());
        let documents = document::parse(&mut report);
        services.extend(read::file(&documents, &mut report));
        faults.extend(report.into_faults());
    }
    faults.extend(check::duplicate_names(&services));
    faults.extend(check::exceeded_shares(&services));
    faults.sort_by(|a, b| (a.file.name(), a.span).cmp(&(b.file.name(), b.span)));
    match faults.is_empty() {
        true => Ok(services
            .into_iter()
            .filter_map(|service| service.declaration)
            .collect()),
        false => Err(faults),
    }
}

/// Returns the path of every key of a service, such as `size.cores`.
pub fn keys() -> Vec<String> {
    document::keys(|node, _: &Path, report| read::service(node, report))
}
