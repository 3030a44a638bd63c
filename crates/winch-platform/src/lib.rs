//! The services of the platform that daemons use: a transactional table, an
//! object store, a rate-limited weight store and an eventually consistent
//! membership list.
//!
//! Each service is a trait. [`http`] implements the traits over the platform's
//! HTTP interface, [`memory`] in the process, with fault injection for tests.
//! [`lease`] builds leases with fencing tokens on the table.

pub mod http;
pub mod lease;
pub mod membership;
pub mod memory;
pub mod object;
pub mod table;
pub mod weight;
