//! Stand-ins for the systems around the daemons: model engines, plain services,
//! the platform and callers. Tests and experiments use them; they are not shipped.

pub mod engine;
pub mod load;
pub mod platform;
pub mod relay;
pub mod service;
pub mod verify;
