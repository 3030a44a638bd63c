//! The entry daemon and its operator commands.
//!
//! [`edge`] answers callers and operators, [`generate`] drives answers,
//! [`control`] keeps the daemon in step with the fleet, and [`command`] is the
//! command line over all of them.

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
