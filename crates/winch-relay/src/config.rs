//! The configuration in force: routes, services, teams and limits.
//!
//! An adapter to a platform decodes it; requests look up their route, service and team.

use std::collections::HashMap;

use rand::Rng;

use crate::{
    prelude::*,
    priority::{Priority, Ranks},
};

/// How often a request of a route may run, and the form of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// The answer is a stream of events, which may be resumable.
    Stream {
        /// Whether the stream may resume at another replica.
        resumable: bool,
        /// Longest gap between two events that still counts as on time; `None` if the route
        /// states none.
        max_gap: Option<Duration>,
    },
}

impl Semantics {
    /// Whether a request may be sent again although an earlier attempt may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true, .. })
    }
}

/// The part of a route's traffic that one service receives.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Name of the service.
    pub service: Name,
    /// Weight relative to the route's other shares.
    pub weight: f64,
}

/// A route, which selects requests by host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host name, in lower case.
    pub host: Name,
    /// Prefix of the paths, with a slash at both ends.
    pub prefix: Name,
    /// How often a request may run, and the form of its answer.
    pub semantics: Semantics,
    /// Timeout of a request, for all its attempts together.
    pub timeout: Duration,
    /// Time within which an answer counts as on time.
    pub target_latency: Duration,
    /// Priority; zero is the highest.
    pub priority: u32,
    /// Services with their weights; never empty.
    pub shares: Vec<Share>,
    /// Largest number of times that one request is sent to replicas.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub public: bool,
}

impl Route {
    /// Picks a service at random, by weight.
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

/// Capacity and features of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests that a replica runs at once.
    pub slots: u32,
    /// KV cache capacity of a replica, in tokens.
    pub kv_capacity_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: f64,
    /// Whether a replica can copy the KV cache of a run to another one while the run goes on.
    pub copies: bool,
    /// Lifetime of a snapshot of a KV cache; `None` if replicas make no snapshots.
    pub snapshot_ttl: Option<Duration>,
}

/// A service: replicas that run the same software.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Path of health checks of a replica.
    pub health_path: Name,
    /// Largest number of connections that a replica accepts in total.
    pub max_connections: u32,
    /// Set if the replicas are model engines; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// A team, which API keys identify.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Priority; replaces that of the route if set.
    pub priority: Option<u32>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request must arrive after its first byte.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
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

/// A configuration as its document lists it, in the document's order.
#[derive(Clone, Debug, PartialEq)]
pub struct Parts {
    /// See [`Config::version`].
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The teams, with their API keys; `None` if no route needs a key.
    pub teams: Option<Vec<(Arc<Team>, Vec<Name>)>>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
}

/// One version of the complete configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version; newer configurations have higher ones.
    pub version: u64,
    routes: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Arc<Service>>,
    teams: HashMap<Name, Arc<Team>>,
    requires_keys: bool,
    ranks: Ranks,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
}

impl From<Parts> for Config {
    fn from(parts: Parts) -> Self {
        let Parts { version, routes, services, teams, limits } = parts;
        let by_key = |teams: Vec<(Arc<Team>, Vec<Name>)>| {
            let keys = |(team, keys): (Arc<Team>, Vec<Name>)| {
                keys.into_iter().map(move |key| (key, team.clone()))
            };
            teams.into_iter().flat_map(keys).collect()
        };
        Self::new(version, routes, services, teams.map(by_key), limits)
    }
}

impl Config {
    /// Builds a configuration from its parts.
    ///
    /// `teams` pairs each API key with its team; `None` if no route needs a key.
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
        let requires_keys = teams.is_some();
        let teams = teams.unwrap_or_default().into_iter().collect();
        let all_routes = by_host.values().flatten().map(|route| &**route);
        let ranks = Ranks::new(all_routes, &services, requires_keys.then_some(&teams));
        Self { version, routes: by_host, services, teams, requires_keys, ranks, limits }
    }

    /// The route with the longest prefix of `path` on `host`, which may include a port and
    /// upper-case letters; `None` if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The service with this name; `None` if the configuration has none.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The service of model engines; `None` if there is not exactly one.
    pub fn only_engine_service(&self) -> Option<&Arc<Service>> {
        let mut engines = self.services.values().filter(|service| service.engine.is_some());
        engines.next().filter(|_| engines.next().is_none())
    }

    /// Whether requests on `route` need an API key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.requires_keys && !route.public
    }

    /// The team to which the API key `key` belongs; `None` if the key is not known.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams.get(key)
    }

    /// The priority of a request of `service` that `route` matched, from a caller of `team`.
    pub fn priority(&self, service: &str, route: &Route, team: Option<&Team>) -> Priority {
        self.ranks.priority(service, route, team)
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
