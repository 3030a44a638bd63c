//! Descriptions of replicas: entries of the platform's list, and the replicas' load reports.

pub use winch_roster::replica::Replica;

/// Load report of a replica; its figures can be some hundred milliseconds old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of running requests that are still in prefill, without an event yet.
    pub prefilling: u32,
    /// KV cache in use that cannot be freed, in tokens.
    pub used_tokens: u64,
    /// KV cache capacity, in tokens.
    pub total_tokens: u64,
    /// Whether the replica drains.
    pub draining: bool,
    /// Start time of the reporting incarnation, in Unix milliseconds, if stated.
    pub started_at_ms: Option<u64>,
}

impl Report {
    /// Whether the report comes from another incarnation than the `listed` one; `false` if
    /// either start time is not stated.
    ///
    /// After a restart another incarnation may listen on the same address; it refuses
    /// requests that are addressed to its predecessor.
    pub fn is_from_other_incarnation(&self, listed: &Replica) -> bool {
        self.started_at_ms.is_some()
            && listed.started_at_ms.is_some()
            && self.started_at_ms != listed.started_at_ms
    }

    /// KV cache that a new run can use, in tokens: all that is free or can be freed.
    pub fn free_tokens(&self) -> u64 {
        self.total_tokens.saturating_sub(self.used_tokens)
    }
}
