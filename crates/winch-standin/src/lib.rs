//! Stand-ins for what surrounds the daemons: model engines, plain services,
//! the platform, and callers. Used by tests and experiments; not shipped.

pub mod engine;
pub mod load;
pub mod platform;
pub mod relay;
pub mod service;
pub mod verify;
