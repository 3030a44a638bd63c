//! The record of a run: a line for each thing that was sent, answered or run.

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
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the folder of the case can be written");
        Self { file: Arc::new(Mutex::new(file)), started_at: Instant::now() }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Writes a line and returns its time.
    pub fn line(&self, text: impl AsRef<str>) -> f64 {
        let now = self.now();
        let mut file = self.file.lock().expect("no panic under the lock");
        let _ = writeln!(file, "{now:8.3} s  {}", text.as_ref());
        now
    }
}
