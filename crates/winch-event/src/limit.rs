//! Limits the log lines of each event per second.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use log::Level;

use crate::Event;

/// Lines per second of an event at level info or below.
const INFO_LINES_PER_S: u32 = 60;
/// Lines per second of an event at level warn or error.
const FAULT_LINES_PER_S: u32 = 240;

/// Lines of one event in one second.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    admitted: u32,
    omitted: u32,
}

/// Counts the lines of each event in the current second.
#[derive(Debug)]
pub struct Limiter {
    windows: Mutex<Vec<Window>>,
}

/// Result of [`Limiter::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Whether the line may be written.
    pub admitted: bool,
    /// Lines omitted in the event's previous window; reported once.
    pub omitted: u32,
}

impl Limiter {
    /// Makes a limiter that has counted no lines yet.
    pub const fn new() -> Self {
        Self { windows: Mutex::new(Vec::new()) }
    }

    /// Counts one line of `event` and decides whether it may be written. `second` is the
    /// current time in whole seconds and must not decrease.
    pub fn admit(&self, event: Event, second: u64) -> Admission {
        let max_lines =
            if event.level() <= Level::Warn { FAULT_LINES_PER_S } else { INFO_LINES_PER_S };
        let index = Event::ALL.iter().position(|other| *other == event).unwrap_or_default();
        let mut windows = self.windows.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        windows.resize(Event::ALL.len(), Window::default());
        let window = &mut windows[index];
        let mut omitted = 0;
        if window.second != second {
            omitted = window.omitted;
            *window = Window { second, admitted: 0, omitted: 0 };
        }
        let admitted = window.admitted < max_lines;
        if admitted {
            window.admitted += 1;
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

static LIMITER: Limiter = Limiter::new();
static OMITTED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines that the rate limit omitted since the process started.
pub fn omitted() -> u64 {
    OMITTED.load(Ordering::Relaxed)
}

/// Counts one line of `event` in this process and returns whether it may be written.
/// Also logs how many lines of the event were omitted in its previous window.
pub fn admit(event: Event) -> bool {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    let second = START.get_or_init(Instant::now).elapsed().as_secs();
    let admission = LIMITER.admit(event, second);
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
