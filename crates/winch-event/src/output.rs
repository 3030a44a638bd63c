//! Log output that never blocks the logging thread.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

use logforth::{
    Append, Diagnostic, Error, Layout,
    layout::JsonLayout,
    record::{LevelFilter, Record},
};

/// Capacity of the queue; further lines are dropped and counted.
const QUEUE_LINES: usize = 1_024;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines that this process dropped because the queue was full or a
/// write failed.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// An entry of the queue.
enum Entry {
    Line(Vec<u8>),
    /// Flushes the output, then signals completion.
    Flush(SyncSender<()>),
}

/// A log appender that passes lines to a writer thread over a bounded queue.
#[derive(Debug)]
pub struct Queue {
    layout: JsonLayout,
    sender: SyncSender<Entry>,
}

impl Queue {
    /// Starts the thread that writes to `output`.
    pub fn new<W: Write + Send + 'static>(output: W) -> Self {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        thread::spawn(move || write(output, &receiver));
        Self { layout: JsonLayout::default(), sender }
    }

    /// Queues one line; drops and counts it if the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        if self.sender.try_send(Entry::Line(line)).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write<W: Write>(mut output: W, receiver: &Receiver<Entry>) {
    while let Ok(entry) = receiver.recv() {
        // A failed write of the log cannot be logged, so it is only counted.
        match entry {
            Entry::Line(line) if output.write_all(&line).is_err() => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
            Entry::Line(_) => {}
            Entry::Flush(done) => drop((output.flush(), done.send(()))),
        }
    }
}

impl Append for Queue {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        self.push(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (done, finished) = sync_channel(1);
        if self.sender.send(Entry::Flush(done)).is_ok() {
            let _ = finished.recv();
        }
        Ok(())
    }
}

/// Installs the logger of this process, which writes JSON lines at level info and above
/// to standard output. A logger that is already installed stays in use.
pub fn start() {
    let queue = Queue::new(io::stdout());
    let level = LevelFilter::MoreSevereEqual(logforth::record::Level::Info);
    // Fails if a logger is installed already, as when tests run several daemons in a process.
    let _ =
        logforth::starter_log::builder().dispatch(|d| d.filter(level).append(queue)).try_apply();
}
