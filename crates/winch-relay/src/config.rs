//! The configuration in force: routes, services, teams and limits.

use std::collections::HashMap;

use rand::Rng;

use crate::prelude::*;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether the stream may go on at another replica.
        resumable: bool,
        /// Longest pause between events of an answer that is on time.
        max_gap: Option<Duration>,
    },
}

impl Semantics {
    /// Whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true, .. })
    }
}

/// A part of a route's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service that receives it.
    pub service: Name,
    /// Weight against the route's other shares.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host, in lower case.
    pub host: Name,
    /// Begin of the paths, with a slash at both ends.
    pub prefix: Name,
    /// What may be repeated.
    pub semantics: Semantics,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub target_latency: Duration,
    /// Rank; zero is the highest.
    pub priority: u32,
    /// Services by weight; never empty.
    pub shares: Vec<Share>,
    /// Most replicas to which one request is sent.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

impl Route {
    /// Picks a service by weight.
    pub fn pick<R: Rng>(&self, rng: &mut R) -> &Name {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut point = rng.random::<f64>() * total;
        let found = self.shares.iter().find(|share| {
            point -= share.weight;
            point < 0.0
        });
        &found.unwrap_or(&self.shares[0]).service
    }
}

/// A model engine's abilities.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory in tokens.
    pub kv_capacity_tokens: u64,
    /// Whether a run can be copied to another replica while it goes on.
    pub copies: bool,
    /// How long a copy that was made on demand is kept, where that can be done.
    pub snapshot_ttl: Option<Duration>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Path of the question whether a replica is healthy.
    pub health_path: Name,
    /// Most connections that a replica accepts from all callers.
    pub max_connections: u32,
    /// Set for a service of model engines.
    pub engine: Option<Engine>,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Rank; takes the place of the route's.
    pub priority: Option<u32>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head in bytes.
    pub head_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request after its first byte.
    pub head_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the whole configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version; only rises.
    pub version: u64,
    routes: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Arc<Service>>,
    teams: HashMap<Name, Arc<Team>>,
    keyed: bool,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

impl Config {
    /// Joins the parts of a configuration.
    ///
    /// `teams` holds the key of each team; `None` if callers need no key at all.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Option<Vec<(Name, Arc<Team>)>>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route.into());
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s.into())).collect();
        let keyed = teams.is_some();
        let teams = teams.unwrap_or_default().into_iter().collect();
        Self { version, routes: by_host, services, teams, keyed, limits }
    }

    /// The route with the longest prefix of `path` on `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The service of model engines, if there is exactly one.
    pub fn only_engine(&self) -> Option<&Arc<Service>> {
        let mut engines = self.services.values().filter(|service| service.engine.is_some());
        engines.next().filter(|_| engines.next().is_none())
    }

    /// Whether requests on `route` need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.keyed && !route.public
    }

    /// The team that holds `key`.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams.get(key)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
