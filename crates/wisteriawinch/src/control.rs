//! What keeps a daemon in step with the fleet, beside the request path.

pub mod config;
pub mod status;
pub mod supervisor;
