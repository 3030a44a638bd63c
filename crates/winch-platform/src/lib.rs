//! The platform as the daemons see it: a transactional table, an object
//! store, a rate-limited weight store and a lagging membership list.
//!
//! Each service is a trait; [`http`] talks to the real ones and [`memory`]
//! keeps everything in the process, with faults that tests can switch on.

pub mod http;
pub mod lease;
pub mod membership;
pub mod memory;
pub mod object;
pub mod table;
pub mod weight;
