//! Relays callers' requests to replicas: lookups, orders and resumable streams.
//!
//! Modules that decide use no sockets: [`config`] finds the route of a request,
//! [`catalog`] holds the known replicas, [`placement`] chooses one, [`sse`] splits
//! streams into complete events, [`stall`] detects stalled streams, [`running_time`] judges
//! silence, and [`moves`] holds the state of version moves. [`edge`], [`unary`] and [`stream`]
//! carry out requests, [`trace`] and [`delivery`] hold what became of them, [`probe`] requests load reports from replicas, [`copy_holder`] finds a
//! replica for a KV cache copy, and [`strikes`] detects requests that crash replicas.
//!
//! [`watch`] and [`peer`] keep the state of [`node`] in sync with the platform's store, and
//! [`controller`] drives version moves. An adapter to a platform implements [`protocol`]
//! and [`store`].

pub mod call;
pub mod catalog;
pub mod code;
pub mod config;
pub mod controller;
pub mod copy_holder;
pub mod counter;
pub mod daemon;
pub mod delivery;
pub mod edge;
pub mod edition;
pub mod exchange;
pub mod exposition;
pub mod fleet;
pub mod forward;
pub mod intake;
pub mod job;
pub mod kv_snapshot;
pub mod lint;
pub mod listen;
pub mod memory;
pub mod moves;
pub mod node;
pub mod opening;
pub mod peer;
pub mod placement;
pub mod pool;
pub mod prelude;
pub mod priority;
pub mod probe;
pub mod protocol;
mod pulse;
pub mod quarantine;
pub mod reach;
pub mod replica;
pub mod respond;
pub mod running_time;
pub mod settings;
mod shed;
pub mod speed;
pub mod sse;
pub mod stall;
pub mod store;
pub mod stream;
pub mod strikes;
pub mod trace;
pub mod unary;
pub mod watch;
