//! Types used nearly everywhere.

pub use std::{sync::Arc, time::Duration};

pub use crate::{code::Code, event::Event, fleet::Fleet, settings::Settings};

/// A shared immutable name.
pub type Name = Arc<str>;

/// Seconds since the Unix epoch by the VM's clock.
pub fn unix_now() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
