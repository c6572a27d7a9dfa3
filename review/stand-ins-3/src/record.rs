//! The record of a run: what was sent, answered and run, with the time since the start.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Result, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The record of a run.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
    /// When clients sent the requests with these ids.
    sent: Mutex<HashMap<String, Duration>>,
}

impl Record {
    /// Creates `record.txt` in `folder`.
    pub fn create(folder: &Path) -> Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
            sent: Mutex::default(),
        })
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds a line with the present time.
    pub fn add(&self, line: &str) {
        self.add_at(self.now(), line);
    }

    /// Adds a line with the time at which it happened.
    pub fn add_at(&self, at: Duration, line: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A line that cannot be written is missing from the record; the verdict does not depend on it.
        let _ = writeln!(file, "{:9.3} {line}", at.as_secs_f64());
    }

    /// Adds a request that a client sends now.
    pub fn add_sent(&self, id: &str, line: &str) {
        let now = self.now();
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.insert(id.to_owned(), now);
        drop(sent);
        self.add_at(now, line);
    }

    /// When a client sent the request with this id.
    pub fn sent_at(&self, id: &str) -> Option<Duration> {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.get(id).copied()
    }

    /// Adds a line, and prints it.
    pub fn say(&self, line: &str) {
        self.add(line);
        println!("{line}");
    }

    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.flush();
    }
}
