//! Spreads a list of replicas from the few daemons that read it to all others.
//!
//! A [`Roster`](roster::Roster) holds the complete list of a daemon that serves others. For
//! each of these a [`Cursor`](cursor::Cursor) remembers what was sent and yields the
//! [`Delta`](cursor::Delta) that is missing. What a daemon needs of the list is its
//! [`Interest`](interest::Interest): normally a subset of each service whose size does not grow
//! with the service. [`frame`] encodes both for the wire, [`source`] decides whom a daemon
//! follows and when it reads the list itself, and [`pace`] derives all intervals from the
//! greatest age that knowledge may have.
//!
//! Nothing here uses a socket or a clock: time and randomness are arguments. The example
//! `fan_out` shows a complete exchange.

pub mod cursor;
pub mod frame;
pub mod interest;
pub mod pace;
pub mod position;
pub mod replica;
mod ring;
pub mod roster;
pub mod source;

/// A shared immutable name.
pub type Name = std::sync::Arc<str>;
