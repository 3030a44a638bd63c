//! Relays callers' requests to replicas: lookups, orders and resumable streams.
//!
//! Decisions are plain code without sockets: [`config`] finds the route of a
//! request, [`catalog`] keeps what is known of replicas, [`placement`] chooses one,
//! [`sse`] splits streams into whole events and [`stall`] tells a slow
//! stream from a lost one. [`edge`], [`unary`] and [`stream`] carry them out.
//! [`moves`] holds what is known of version moves and [`controller`] decides them.
//! [`protocol`] and [`store`] are what an adapter to a platform implements.

pub mod call;
pub mod catalog;
pub mod changelog;
pub mod code;
pub mod config;
pub mod controller;
pub mod counter;
pub mod daemon;
pub mod edge;
pub mod exposition;
pub mod job;
pub mod kv_snapshot;
pub mod moves;
pub mod node;
pub mod peer;
pub mod placement;
pub mod pool;
pub mod prelude;
pub mod probe;
pub mod protocol;
pub mod replica;
pub mod respond;
pub mod settings;
pub mod sse;
pub mod stall;
pub mod store;
pub mod stream;
pub mod strikes;
pub mod unary;
pub mod watch;
