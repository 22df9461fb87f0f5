//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
            begun: Instant::now(),
        }
    }

    /// Returns the milliseconds since the case began.
    pub fn ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>4}.{:03} {text}", ms / 1000, ms % 1000);
    }
}
