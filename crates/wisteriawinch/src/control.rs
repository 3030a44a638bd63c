//! Control tasks of a daemon, apart from the request path: configuration, peers, membership,
//! version moves and their supervision.

pub mod config;
pub mod facts;
pub mod fetch;
pub mod members;
pub mod moves;
pub mod peers;
pub mod status;
pub mod supervisor;
