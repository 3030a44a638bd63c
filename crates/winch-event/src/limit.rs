//! Bounds on the log lines of each event per second.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use log::Level;

use crate::Event;

/// Lines per second of an event that reports success.
const INFO_LINES: u32 = 60;
/// Lines per second of an event that reports a fault.
const FAULT_LINES: u32 = 240;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    omitted: u32,
}

/// Counts lines of events per second.
#[derive(Debug)]
pub struct Limiter {
    windows: Mutex<Vec<Window>>,
}

/// What [`Limiter::admit`] decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Whether the line may be written.
    pub admitted: bool,
    /// Lines left out in the event's last window, stated once.
    pub omitted: u32,
}

impl Limiter {
    /// A limit under which nothing was counted yet.
    pub const fn new() -> Self {
        Self { windows: Mutex::new(Vec::new()) }
    }

    /// Counts one line of `event` at `second`, which never goes back.
    pub fn admit(&self, event: Event, second: u64) -> Admission {
        let most = if event.level() <= Level::Warn { FAULT_LINES } else { INFO_LINES };
        let index = Event::ALL.iter().position(|other| *other == event).unwrap_or_default();
        let mut windows = self.windows.lock().unwrap_or_else(|broken| broken.into_inner());
        windows.resize(Event::ALL.len(), Window::default());
        let window = &mut windows[index];
        let mut omitted = 0;
        if window.second != second {
            omitted = window.omitted;
            *window = Window { second, lines: 0, omitted: 0 };
        }
        let admitted = window.lines < most;
        if admitted {
            window.lines += 1;
        } else {
            window.omitted += 1;
        }
        Admission { admitted, omitted }
    }
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}

static LIMIT: Limiter = Limiter::new();
static OMITTED: AtomicU64 = AtomicU64::new(0);

/// Lines that the limits have left out since the process started.
pub fn omitted() -> u64 {
    OMITTED.load(Ordering::Relaxed)
}

/// Counts one line of `event` in this process and tells whether it may be written.
pub fn admit(event: Event) -> bool {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    let second = START.get_or_init(Instant::now).elapsed().as_secs();
    let admission = LIMIT.admit(event, second);
    if !admission.admitted {
        OMITTED.fetch_add(1, Ordering::Relaxed);
    }
    if admission.omitted > 0 {
        let number = Event::LinesOmitted as u16;
        let (of, count) = (event as u16, admission.omitted);
        log::warn!(event = number, of = of, count = count; "{}", Event::LinesOmitted.text());
    }
    admission.admitted
}
