//! What was sent, answered and run, in the order of time.

use std::{
    fs,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:8.3}  {}", self.now(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &str) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        if let Err(error) = fs::write(path, text) {
            eprintln!("cannot write {path}: {error}");
        }
    }
}
