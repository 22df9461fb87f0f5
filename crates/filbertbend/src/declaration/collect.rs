//! Finds the scheduling files below a folder.

use {
    super::{read, FILE_NAME},
    filbertbend_state::service::Declaration,
    filbertbend_yaml::{Code, Fault, Source},
    std::{
        fs::{self, DirEntry},
        io,
        path::{Path, PathBuf},
        sync::Arc,
    },
};

/// Maximum depth of folders below the start of the search.
const DEPTH_LIMIT: usize = 32;

/// The result of a search for scheduling files.
#[derive(Debug)]
pub struct Collection {
    /// Number of scheduling files that were read.
    pub files: usize,
    /// The services of all files, or the faults of all files and folders.
    pub services: Result<Vec<Declaration>, Vec<Fault>>,
}

/// Reads all scheduling files below `folder`.
///
/// Skips hidden folders and symbolic links to folders. Faults name files by
/// their paths relative to `folder`.
pub fn collect(folder: impl AsRef<Path>) -> Collection {
    let folder = folder.as_ref();
    let mut search = Search {
        root: folder.to_owned(),
        sources: Vec::new(),
        faults: Vec::new(),
    };
    search.search_folder(folder, 0);
    search.finish()
}

struct Search {
    root: PathBuf,
    sources: Vec<Source>,
    faults: Vec<Fault>,
}

impl Search {
    fn search_folder(&mut self, folder: &Path, depth: usize) {
        let entries = match list(folder) {
            Ok(entries) if depth <= DEPTH_LIMIT => entries,
            Ok(_) => return self.fault(folder, "the folder is nested too deeply"),
            Err(error) => return self.fault(folder, format!("the folder cannot be read: {error}")),
        };
        for entry in entries {
            let path = entry.path();
            let name = entry.file_name();
            let name = name.to_string_lossy();
            let is_folder = entry.file_type().is_ok_and(|kind| kind.is_dir());
            if is_folder && !name.starts_with('.') {
                self.search_folder(&path, depth + 1);
            } else if !is_folder && name == FILE_NAME {
                self.read_file(&path);
            } else if !is_folder && is_misnamed(&name) {
                self.report_misnamed(&path);
            }
        }
    }

    fn read_file(&mut self, path: &Path) {
        if !path.is_file() {
            // Opening a named pipe would block until a writer opens it.
            return self.fault(path, "it is not a regular file");
        }
        match Source::read(self.display_name(path), path) {
            Ok(source) => self.sources.push(source),
            Err(error) => self.fault(path, error),
        }
    }

    fn report_misnamed(&mut self, path: &Path) {
        self.faults.push(Fault {
            fix: format!("rename the file to {FILE_NAME}").into(),
            ..Fault::unreadable(
                self.display_name(path),
                "the file is not read under this name",
            )
        });
    }

    /// Returns the path relative to the root of the search, for reports.
    fn display_name(&self, path: &Path) -> Arc<str> {
        let below = path.strip_prefix(&self.root).unwrap_or(path);
        match below.as_os_str().is_empty() {
            true => self.root.display().to_string().into(),
            false => below.display().to_string().into(),
        }
    }

    fn fault(&mut self, path: &Path, message: impl ToString) {
        let name = self.display_name(path);
        self.faults
            .push(Fault::unreadable(name, message.to_string()));
    }

    fn finish(mut self) -> Collection {
        let files = self.sources.len();
        if files == 0 && self.faults.is_empty() {
            let name = self.root.display().to_string();
            self.faults.push(Fault {
                code: Code::Empty,
                fix: format!("name a folder that holds files named {FILE_NAME}").into(),
                ..Fault::unreadable(name, "no scheduling file was found")
            });
        }
        let services = match read(self.sources) {
            Ok(services) if self.faults.is_empty() => Ok(services),
            Ok(_) => Err(self.faults),
            Err(faults) => Err(self.faults.into_iter().chain(faults).collect()),
        };
        Collection { files, services }
    }
}

/// Returns whether `name` is a likely misspelling of [`FILE_NAME`]. Skipping
/// such a file silently would remove its services from the configuration.
fn is_misnamed(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    name == FILE_NAME || name == "filbertbend.yml"
}

/// Returns the entries of a folder sorted by name, so that reports are
/// deterministic.
fn list(folder: &Path) -> io::Result<Vec<DirEntry>> {
    let mut entries = fs::read_dir(folder)?.collect::<io::Result<Vec<_>>>()?;
    entries.sort_by_key(DirEntry::file_name);
    Ok(entries)
}
