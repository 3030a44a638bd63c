//! A blocked log output does not block the threads that log.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, channel},
    },
};

use winch_event::output::{Queue, dropped};

/// An output whose writes block until the test permits them.
struct BlockedOutput {
    permits: Receiver<()>,
    wrote: Arc<AtomicBool>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(|_| io::ErrorKind::BrokenPipe)?;
        self.wrote.store(true, Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn excess_lines_dropped() {
    let (permit, permits) = channel();
    let wrote = Arc::new(AtomicBool::new(false));
    let queue = Queue::new(BlockedOutput { permits, wrote: wrote.clone() });
    // Far more lines than the queue holds: pushing them must not block.
    for _ in 0..20_000 {
        queue.push(b"line\n".to_vec());
    }
    assert!(!wrote.load(Ordering::Relaxed));
    assert!(dropped() > 10_000, "{} lines were counted as dropped", dropped());
    drop(permit);
}
