//! One answer of a model engine: an append-only log of tokens that survives
//! the engines producing it.
//!
//! Nothing here reads a clock or a socket. Times are [`Duration`]s since an
//! origin of the caller's choosing.
//!
//! [`Duration`]: std::time::Duration

pub mod answer;
pub mod cursor;
pub mod digest;
pub mod stall;
