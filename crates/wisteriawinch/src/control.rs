//! Control tasks of a daemon, apart from the request path: configuration, peers, membership and
//! version moves, with their supervision and the status report.

pub mod config;
pub mod facts;
pub mod fetch;
pub mod members;
pub mod moves;
pub mod peers;
pub mod status;
pub mod supervisor;
pub mod suspects;
