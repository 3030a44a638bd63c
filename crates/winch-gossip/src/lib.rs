//! Membership, failure detection and dissemination of facts among daemons.
//!
//! [`node::Node`] is a state machine without I/O: it takes the time, received
//! messages and a random seed, and returns [`node::Effect`]s; the embedder owns
//! the sockets. Failure detection follows SWIM (Das, Gupta, Motivala 2002):
//! random probes, indirect probes, suspicion, and refutation by incarnation.
//! Each daemon pushes a fact that is new to it once, to a few peers. Digests in
//! the probes show which peers hold other facts; the exchange that follows
//! repairs losses, so that each fact that is not ephemeral reaches all daemons.

pub mod facts;
pub mod member;
pub mod node;
pub mod simulation;
