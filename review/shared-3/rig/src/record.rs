//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = Mutex::new(File::create(path).expect("record"));
        Self { started: Instant::now(), file }
    }

    /// Time since the start of the run, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {}", at, text.as_ref());
    }
}
