//! One answer of a model engine: an append-only log of tokens that outlives the
//! engines that produce it.
//!
//! [`answer`] keeps the log, [`digest`] identifies its contents, [`cursor`]
//! encodes a position in it as an event id, and [`stall`] decides when an attempt
//! to generate the answer is stalled. Nothing here reads a clock or a socket: times
//! are [`Duration`]s since an origin that the user of the crate chooses.
//!
//! [`Duration`]: std::time::Duration

pub mod answer;
pub mod cursor;
pub mod digest;
pub mod stall;
