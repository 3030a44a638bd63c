//! Settings of an entry daemon, apart from the configuration that the platform publishes.

use std::net::SocketAddr;

use crate::prelude::*;

/// Settings of an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this daemon.
    pub name: Name,
    /// Data centre of its VM.
    pub dc: Name,
    /// Address on which callers' requests are accepted.
    pub callers: SocketAddr,
    /// Address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// Address for other daemons, which follow or query this one.
    pub peers: SocketAddr,
    /// Address for metrics; `None` if they are not exposed.
    pub metrics: Option<SocketAddr>,
    /// Settings that may change while the daemon runs.
    pub tuning: Tuning,
}

/// Settings that may change while the daemon runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Addresses of the seed daemons, which read the store for their followers.
    pub seeds: Vec<SocketAddr>,
    /// Time from the stop signal until the platform kills the process.
    pub stop_grace: Duration,
    /// Retries that each caller's request adds to the retry budget of its service.
    pub retry_ratio: f64,
    /// Retries a second that the budgets of a service gain in all daemons together, whatever the
    /// number of requests.
    pub retry_slack_per_s: f64,
    /// Longest time that a message takes from its sender through this daemon to its receiver.
    pub passing_time: Duration,
    /// Interval between two reads of the list of replicas, to which jitter is added. A seed
    /// uses its own list interval if that is shorter.
    pub list_interval: Duration,
    /// Age above which the state of a seed is stale.
    pub max_age: Duration,
    /// Interval at which replicas renew their entries in the list; `None` if it is not known.
    pub renewal_interval: Option<Duration>,
}
