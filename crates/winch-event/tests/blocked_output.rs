//! A reader of the log that does not read blocks nobody.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, channel},
    },
};

use winch_event::output::{Queue, dropped};

/// Accepts a line only when the test lets it.
struct Gate {
    open: Receiver<()>,
    wrote: Arc<AtomicBool>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.open.recv().map_err(|_| io::ErrorKind::BrokenPipe)?;
        self.wrote.store(true, Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn flood_dropped_and_counted() {
    let (open, opened) = channel();
    let wrote = Arc::new(AtomicBool::new(false));
    let queue = Queue::new(Gate { open: opened, wrote: wrote.clone() });
    // Far more than the queue holds; this ends although nothing is written.
    for _ in 0..20_000 {
        queue.push(b"line\n".to_vec());
    }
    assert!(!wrote.load(Ordering::Relaxed));
    assert!(dropped() > 10_000, "{} lines were counted as dropped", dropped());
    drop(open);
}
