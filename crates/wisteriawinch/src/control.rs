//! What keeps a daemon in step with the fleet, beside the request path.

pub mod config;
pub mod facts;
pub mod fetch;
pub mod members;
pub mod moves;
pub mod peers;
pub mod status;
pub mod supervisor;
