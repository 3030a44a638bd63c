//! Common imports of the crate's modules.

pub use std::{sync::Arc, time::Duration};

pub use crate::{code::Code, event::Event, fleet::Fleet, settings::Settings};

/// Name of an object or daemon; cheap to clone.
pub type Name = Arc<str>;

/// Seconds since the Unix epoch by the VM's clock; 0 if the clock is before it.
pub fn unix_now() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
