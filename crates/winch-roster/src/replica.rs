//! An entry of the list of replicas.

use std::net::SocketAddr;

use crate::Name;

/// One entry of the list of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Id; usually changes when the replica restarts.
    pub id: Name,
    /// Service to which the replica belongs.
    pub service: Name,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub dc: Name,
    /// Version of its software.
    pub version: Name,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it drains: it takes no new requests and is about to stop.
    pub draining: bool,
    /// Start time of this incarnation, in Unix milliseconds, if stated.
    pub started_at_ms: Option<u64>,
}
