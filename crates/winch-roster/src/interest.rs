//! What a daemon needs of the list.

use crate::Name;

/// Replicas of a service that a daemon knows in its own data centre, and again in all other
/// data centres together; a service with fewer is known whole.
///
/// Large enough that the loss of a data centre, or of nine tenths of the replicas in one,
/// leaves every daemon a choice, and that the replicas get even shares of the requests.
pub const SUBSET_SIZE: usize = 128;

/// The part of the list that one daemon needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interest {
    /// The daemon's data centre.
    pub dc: Name,
    /// Position of the daemon on the rings of replicas; its subset begins there.
    pub position: u64,
    /// Replicas of a service in the own data centre, and again in all others together; `None`
    /// for all replicas.
    pub limit: Option<usize>,
}

impl Interest {
    /// The interest of a daemon that serves callers only.
    pub fn subset(name: &str, dc: Name) -> Self {
        Self { dc, position: winch_hash::name(name), limit: Some(SUBSET_SIZE) }
    }

    /// The interest of a daemon that passes the list on to others.
    pub fn whole(dc: Name) -> Self {
        Self { dc, position: 0, limit: None }
    }
}
