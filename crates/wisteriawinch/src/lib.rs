//! The entry daemon and its operator commands.
//!
//! [`edge`] serves the HTTP interface, [`generate`] streams answers from model
//! engines and resumes them after a failure, [`control`] synchronises
//! configuration, membership and version moves with the other daemons, and
//! [`fleet`] holds the state that these share. [`daemon`] starts and stops all of
//! them, and [`command`] is the command line.

pub mod code;
pub mod command;
pub mod control;
pub mod counter;
pub mod daemon;
pub mod edge;
pub mod fleet;
pub mod generate;
pub mod prelude;
pub mod rollout;
pub mod settings;
pub mod snapshot;

pub use winch_event::{self as event, emit};
