//! The record of a play: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("cannot write {}: {error}", path.display());
            std::process::exit(2);
        });
        Record {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    /// Seconds since the play began.
    pub fn time(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.time(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
