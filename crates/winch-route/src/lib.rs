//! Routing decisions: which upstream runs a call, when the call starts, and
//! whether it may be retried.
//!
//! [`router::Router`] holds the routing state of one daemon. [`suspect`] and [`quarantine`] find
//! requests and parts of prompts that crash engines; [`backlog`], [`overload`] and [`shed`] decide
//! what waits or is refused while a service is overloaded.
//!
//! All types are plain state machines without I/O. Times are [`Duration`]s since
//! an origin that the user of the crate chooses, and random numbers are passed in.
//!
//! [`Duration`]: std::time::Duration

pub mod admission;
pub mod backlog;
pub mod budget;
pub mod candidate;
pub mod choose;
pub mod engine;
pub mod hash;
pub mod overload;
pub mod pace;
pub mod pool;
pub mod quarantine;
pub mod reach;
pub mod router;
pub mod shed;
pub mod speed;
pub mod suspect;
pub mod throttle;
pub mod urgency;
