//! Peers of a fleet: who is alive, and facts that everybody should know.
//!
//! [`node::Node`] is a plain state machine. It is given the time, messages and
//! a seed, and returns [`node::Effect`]s; sockets belong to whoever embeds it.
//! Failure detection follows SWIM (Das, Gupta, Motivala 2002): random probes,
//! indirect probes, suspicion, and refutation by incarnation. Facts are pushed
//! once to a few peers by everybody who hears of them and repaired by digests
//! in the probes, so that they reach everybody under loss.

pub mod facts;
pub mod member;
pub mod node;
pub mod simulation;
