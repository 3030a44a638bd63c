//! What an entry daemon has to be told.

use std::net::SocketAddr;

use crate::prelude::*;

/// Settings of an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this daemon.
    pub name: Name,
    /// Data centre of its VM.
    pub dc: Name,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether the daemon is ready.
    pub ready: SocketAddr,
    /// Where other daemons ask what this one knows.
    pub peers: SocketAddr,
    /// Where counters and histograms are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// What may change while the daemon runs.
    pub tuning: Tuning,
}

/// Settings that may change while the daemon runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Daemons that read the store for the others.
    pub seeds: Vec<SocketAddr>,
    /// Time from the signal to stop until the process is killed.
    pub stop_grace: Duration,
    /// Retries that a service takes per request of callers.
    pub retry_ratio: f64,
    /// Longest pause in the list of replicas between two reads.
    pub list_interval: Duration,
    /// Age at which what a seed knows is stale.
    pub max_age: Duration,
}
