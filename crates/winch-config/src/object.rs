//! The kinds of configuration objects and their fields.

use std::{fmt, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// A shared immutable name.
pub type Name = Arc<str>;

/// One configuration object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Object {
    /// A back end: one replica of a model engine or of a plain service.
    Upstream(Upstream),
    /// A version of a model.
    Version(Version),
    /// A model or path that callers may use, and the version or service that serves it.
    Route(Route),
    /// A planned version move of a route.
    Move(Move),
    /// A team, identified by its API key.
    Team(Team),
    /// A plain service.
    Service(Service),
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique among upstreams.
    pub name: Name,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub dc: Name,
    /// What it runs.
    pub runs: Workload,
    /// Whether it is being taken out of service and gets no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Number of calls that it can run at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it rejects orders with an outdated fencing token.
    #[serde(default)]
    pub fencing: Fencing,
}

fn default_slots() -> u32 {
    16
}

/// What an upstream runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Workload {
    /// A model version, by name.
    Version(Name),
    /// A plain service, by name.
    Service(Name),
}

/// What an upstream does with the fencing token of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Orders with an outdated token are rejected.
    Honoured,
    /// The token is ignored.
    #[default]
    Ignored,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Unique among versions.
    pub name: Name,
    /// The model's name, as in the `model` field of requests.
    pub model: Name,
}

/// A route from a model or a path prefix to what serves it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Fields", into = "Fields")]
pub struct Route {
    /// Unique among routes.
    pub name: Name,
    /// The requests that match, and what serves them.
    pub target: Target,
}

/// The requests that a route matches, and what serves them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Generation requests for a model.
    Model {
        /// The `model` field of a request.
        model: Name,
        /// The version that serves it, unless a version move of the route has started; a
        /// completed move keeps its new version.
        version: Name,
    },
    /// Calls of a plain service under a path prefix.
    Service {
        /// First segment of the path, such as `/orders`.
        prefix: Name,
        /// The service that serves the calls.
        service: Name,
    },
}

/// The serialised form of a [`Route`]. Decoding errors sent to operators contain
/// the name of this type.
#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Fields {
    name: Name,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<Name>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<Name>,
    #[serde(skip_serializing_if = "Option::is_none")]
    prefix: Option<Name>,
    #[serde(skip_serializing_if = "Option::is_none")]
    service: Option<Name>,
}

impl TryFrom<Fields> for Route {
    type Error = &'static str;

    fn try_from(fields: Fields) -> Result<Self, Self::Error> {
        let Fields { name, model, version, prefix, service } = fields;
        let target = match (model, version, prefix, service) {
            (Some(model), Some(version), None, None) => Target::Model { model, version },
            (None, None, Some(prefix), Some(service)) => Target::Service { prefix, service },
            _ => return Err("a route has either `model` and `version` or `prefix` and `service`"),
        };
        Ok(Self { name, target })
    }
}

impl From<Route> for Fields {
    fn from(route: Route) -> Self {
        let empty =
            Self { name: route.name, model: None, version: None, prefix: None, service: None };
        match route.target {
            Target::Model { model, version } => {
                Self { model: Some(model), version: Some(version), ..empty }
            }
            Target::Service { prefix, service } => {
                Self { prefix: Some(prefix), service: Some(service), ..empty }
            }
        }
    }
}

/// A plain service, and how its calls may be retried.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique among services.
    pub name: Name,
    /// Methods whose calls are idempotent. Calls with other methods run at most once.
    #[serde(default)]
    pub idempotent: Vec<Name>,
    /// Whether the service itself deduplicates calls by their `Idempotency-Key`.
    #[serde(default)]
    pub dedupes: bool,
    /// Timeout of one call, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
}

fn default_timeout() -> u64 {
    5_000
}

/// A planned version move on one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Unique among all moves, including past ones.
    pub name: Name,
    /// The route whose traffic moves.
    pub route: Name,
    /// The version that serves the route before the move.
    pub from: Name,
    /// The version that serves the route after the move.
    pub to: Name,
    /// Unix time in seconds at which traffic may start to move.
    pub start: u64,
    /// Unix time in seconds by which all traffic should have moved.
    pub deadline: u64,
    /// Whether an operator has cancelled the move.
    #[serde(default)]
    pub cancelled: bool,
}

/// A team, identified by its API key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique among teams.
    pub name: Name,
    /// BLAKE3 digest of the team's API key, 64 hexadecimal digits.
    pub key_digest: Name,
    /// Share of a contended resource, relative to the weights of other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// Identifies an object within a set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The object's kind.
    pub kind: Kind,
    /// The object's name.
    pub name: Name,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

/// Kinds of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// See [`Upstream`].
    Upstream,
    /// See [`Version`].
    Version,
    /// See [`Route`].
    Route,
    /// See [`Move`].
    Move,
    /// See [`Team`].
    Team,
    /// See [`Service`].
    Service,
}

impl Kind {
    /// Returns the kind's name as written in configuration files.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Upstream => "upstream",
            Self::Version => "version",
            Self::Route => "route",
            Self::Move => "move",
            Self::Team => "team",
            Self::Service => "service",
        }
    }
}

impl Object {
    /// Returns the object's kind and name.
    pub fn id(&self) -> Id {
        let (kind, name) = match self {
            Self::Upstream(o) => (Kind::Upstream, &o.name),
            Self::Version(o) => (Kind::Version, &o.name),
            Self::Route(o) => (Kind::Route, &o.name),
            Self::Move(o) => (Kind::Move, &o.name),
            Self::Team(o) => (Kind::Team, &o.name),
            Self::Service(o) => (Kind::Service, &o.name),
        };
        Id { kind, name: name.clone() }
    }
}
