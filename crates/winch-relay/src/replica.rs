//! Replicas as the platform's list and the replicas themselves describe them.

use std::net::SocketAddr;

use crate::prelude::*;

/// One entry of the list of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Identity; a restart mostly brings a new one.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub dc: Name,
    /// Version of its software.
    pub version: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Start of this incarnation, in Unix milliseconds, if stated.
    pub started_at_ms: Option<u64>,
}

/// What a replica says of its load; some hundred milliseconds old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Runs that have not made an event yet.
    pub prefilling: u32,
    /// Tokens of memory that cannot be freed.
    pub used_tokens: u64,
    /// Tokens of memory.
    pub total_tokens: u64,
    /// Whether the replica is about to leave.
    pub draining: bool,
    /// Start of the incarnation that reports, in Unix milliseconds, if stated.
    pub started_at_ms: Option<u64>,
}

impl Report {
    /// Whether the report comes from another incarnation than the one in the list.
    ///
    /// After a restart another replica may hold the address; it refuses what is
    /// meant for its predecessor.
    pub fn is_foreign(&self, listed: &Replica) -> bool {
        self.started_at_ms.is_some()
            && listed.started_at_ms.is_some()
            && self.started_at_ms != listed.started_at_ms
    }

    /// Tokens of memory that a new run can have.
    pub fn free_tokens(&self) -> u64 {
        self.total_tokens.saturating_sub(self.used_tokens)
    }
}
