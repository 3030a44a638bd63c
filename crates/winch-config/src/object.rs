//! The kinds of objects and their fields.

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
    /// What callers may ask for, and what answers it.
    Route(Route),
    /// A planned change of a route from one version to another.
    Move(Move),
    /// A caller.
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
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub dc: Name,
    /// What it runs.
    pub runs: Workload,
    /// True when it must get no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Calls it can run at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether orders with an old fencing number are refused by it.
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

/// What an upstream does with the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Orders with an old number are refused.
    Honoured,
    /// The number is ignored.
    #[default]
    Ignored,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Unique among versions.
    pub name: Name,
    /// The model, as callers name it.
    pub model: Name,
}

/// What callers may ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Fields", into = "Fields")]
pub struct Route {
    /// Unique among routes.
    pub name: Name,
    /// What is asked for, and what answers.
    pub target: Target,
}

/// What a route matches and where it leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Generations of a model.
    Model {
        /// The `model` field of a request.
        model: Name,
        /// The version that serves it when no move is under way.
        version: Name,
    },
    /// Calls below a path.
    Service {
        /// First part of the path, such as `/orders`.
        prefix: Name,
        /// The service that answers.
        service: Name,
    },
}

/// A route as it is written.
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

/// A plain service and what may be done with its calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique among services.
    pub name: Name,
    /// Methods whose calls are idempotent; all others run at most once.
    #[serde(default)]
    pub idempotent: Vec<Name>,
    /// Whether the service drops repeats of an `Idempotency-Key` by itself.
    #[serde(default)]
    pub dedupes: bool,
    /// Longest time for one call, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
}

fn default_timeout() -> u64 {
    5_000
}

/// A planned change of version on one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Unique among moves, also among past ones.
    pub name: Name,
    /// The route whose traffic moves.
    pub route: Name,
    /// The version it leaves.
    pub from: Name,
    /// The version it goes to.
    pub to: Name,
    /// Unix time in seconds at which traffic may start to move.
    pub start: u64,
    /// Unix time in seconds by which all traffic should have moved.
    pub deadline: u64,
    /// Set when an operator calls the move off.
    #[serde(default)]
    pub cancelled: bool,
}

/// A caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique among teams.
    pub name: Name,
    /// BLAKE3 digest of the team's API key, 64 hexadecimal digits.
    pub key_digest: Name,
    /// Share of a contended resource relative to other teams.
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
    /// The kind as it is written in files.
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
    /// The object's kind and name.
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
