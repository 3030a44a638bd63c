//! Decisions about where a call goes, when it starts, and whether it may be
//! tried again.
//!
//! Everything here is a plain state machine: times are [`Duration`]s since an
//! origin of the caller's choosing and randomness is passed in as numbers.
//!
//! [`Duration`]: std::time::Duration

pub mod admission;
pub mod budget;
pub mod candidate;
pub mod choose;
pub mod hash;
pub mod pace;
pub mod pool;
pub mod router;
pub mod suspect;
pub mod urgency;
