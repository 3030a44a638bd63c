//! Descriptions of replicas: entries of the platform's list, and the replicas' load reports.

use http::HeaderValue;
pub use winch_roster::replica::Replica;
use winch_route::{
    engine::{Load, Run},
    hash,
};

/// The id of a replica as the value of a header; `None` if it cannot be sent whole, so that requests
/// could not be kept from another replica at its address.
pub fn encode_id(id: &str) -> Option<HeaderValue> {
    let is_whole = !id.is_empty() && id.trim_matches([' ', '\t']).len() == id.len();
    HeaderValue::from_bytes(id.as_bytes()).ok().filter(|_| is_whole)
}

/// Load report of a replica; its figures can be some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
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
    /// Tokens of the first queued request, if stated.
    pub next_tokens: Option<u64>,
    /// Number of KV cache copies of other replicas' runs.
    pub copies: u32,
    /// Running requests that have sent an event, if stated.
    pub runs: Vec<Run>,
    /// Hashes of the ids of `runs`, in the same order.
    pub run_ids: Vec<u64>,
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

    /// Number of events that the run with this id has made; `None` if it has made none.
    pub fn events_of(&self, id: &str) -> Option<u64> {
        let hash = hash::name(id);
        let index = self.run_ids.iter().position(|run| *run == hash)?;
        self.runs.get(index).map(|run| run.events)
    }

    /// The reported load; `starting` is the number of this daemon's own streams there without a
    /// first event, which the report may be too old to include.
    pub fn load(&self, starting: u32) -> Load<'_> {
        Load {
            waiting: self.waiting,
            running: self.running,
            prefilling: self.prefilling,
            used_tokens: self.used_tokens,
            total_tokens: self.total_tokens,
            next_tokens: self.next_tokens,
            copies: self.copies,
            runs: &self.runs,
            starting,
        }
    }

    /// KV cache that is free now or can be freed, in tokens, although requests at the replica may
    /// still take it.
    pub fn free_tokens(&self) -> u64 {
        self.total_tokens.saturating_sub(self.used_tokens)
    }
}
