//! Relays callers' requests to replicas: lookups, orders and resumable streams.
//!
//! Decisions are plain code without sockets: [`config`] finds the route of a
//! request, [`catalog`] keeps what is known of replicas, [`place`] chooses one,
//! [`events`] splits streams into whole events and [`silence`] tells a slow
//! stream from a lost one. [`edge`], [`plain`] and [`stream`] carry them out.
//! [`moves`] holds what is known of version moves and [`controller`] decides them.
//! [`dialect`] and [`store`] are what an adapter to a platform implements.

pub mod call;
pub mod catalog;
pub mod changelog;
pub mod code;
pub mod config;
pub mod controller;
pub mod counter;
pub mod daemon;
pub mod dialect;
pub mod edge;
pub mod events;
pub mod exposition;
pub mod job;
pub mod moves;
pub mod node;
pub mod peer;
pub mod place;
pub mod plain;
pub mod pool;
pub mod prelude;
pub mod probe;
pub mod protect;
pub mod replica;
pub mod respond;
pub mod settings;
pub mod silence;
pub mod store;
pub mod stream;
pub mod strikes;
pub mod watch;
