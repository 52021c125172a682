//! The record of a case: a line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes `record.txt`; cheap to clone.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the record in the folder of the case, which is the first argument.
    pub fn create() -> Record {
        let folder = std::env::args().nth(1).map_or_else(|| PathBuf::from("."), PathBuf::from);
        let file = File::create(Path::new(&folder).join("record.txt")).expect("a writable folder");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no panic while writing");
        let _ = writeln!(file, "{:>7} ms  {}", self.ms(), text.as_ref());
    }
}
