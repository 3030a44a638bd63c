//! Types used by most modules of this crate.

pub use std::{sync::Arc, time::Duration};

pub use tokio::time::Instant;
pub use winch_event::{Event, emit};

pub use crate::{
    call::Call, code::Code, node::Node, protocol::Protocol, replica::Replica, store::Store,
};

/// A shared immutable name.
pub type Name = Arc<str>;
