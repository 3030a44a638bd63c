//! Checks a set of objects as a whole and reports all of its faults, not only the first.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    object::{Kind, Move, Name, Route, Target, Workload},
    set::Set,
};

/// Kinds of configuration faults, numbered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "u16", try_from = "u16")]
#[repr(u16)]
pub enum Code {
    /// The text or a value cannot be parsed.
    Syntax = 301,
    /// A field that the object's kind does not have.
    UnknownField = 302,
    /// A reference to an object that is not in the set.
    MissingReference = 303,
    /// A name with characters that are not allowed.
    BadName = 304,
    /// A number outside its range.
    OutOfRange = 305,
    /// Two objects claim the same address, key, model or prefix.
    Duplicate = 306,
    /// Objects that contradict each other.
    Contradiction = 307,
}

impl Code {
    /// All codes in the order of their numbers.
    pub const ALL: [Self; 7] = [
        Self::Syntax,
        Self::UnknownField,
        Self::MissingReference,
        Self::BadName,
        Self::OutOfRange,
        Self::Duplicate,
        Self::Contradiction,
    ];

    /// Returns the code of a decoding error. `serde_json` reports unknown fields only
    /// in the text of the error.
    pub(crate) fn of(error: &serde_json::Error) -> Self {
        if error.to_string().contains("unknown field") { Self::UnknownField } else { Self::Syntax }
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code as Self
    }
}

impl TryFrom<u16> for Code {
    type Error = String;

    fn try_from(number: u16) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|code| *code as u16 == number);
        found.ok_or_else(|| format!("no configuration fault has the number {number}"))
    }
}

/// One fault of a set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The object, as `kind/name`, or as its position such as `objects[2]` if kind or name
    /// is missing; `file` for the file as a whole.
    pub object: String,
    /// The field; empty if the fault concerns the whole object.
    pub field: String,
    /// The kind of fault.
    pub code: Code,
    /// What is wrong, or which value is expected.
    pub reason: String,
}

impl Fault {
    pub(crate) fn new(
        object: impl Into<String>,
        field: &str,
        code: Code,
        reason: impl Into<String>,
    ) -> Self {
        Self { object: object.into(), field: field.into(), code, reason: reason.into() }
    }
}

/// Returns all faults of a set, which may be published if it has none.
pub fn check(set: &Set) -> Vec<Fault> {
    let mut checker = Checker { set, faults: Vec::new() };
    checker.check_names();
    checker.check_upstreams();
    checker.check_routes();
    checker.check_moves();
    checker.check_teams();
    checker.check_services();
    checker.check_versions();
    checker.faults
}

struct Checker<'a> {
    set: &'a Set,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn add(&mut self, kind: Kind, name: &str, field: &str, code: Code, reason: impl Into<String>) {
        self.faults.push(Fault::new(format!("{}/{name}", kind.as_str()), field, code, reason));
    }

    fn check_names(&mut self) {
        const MAX_NAME_BYTES: usize = 64;
        let is_valid = |name: &str| {
            (1..=MAX_NAME_BYTES).contains(&name.len())
                && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
        };
        let invalid: Vec<_> =
            self.set.objects().map(|o| o.id()).filter(|id| !is_valid(&id.name)).collect();
        for id in invalid {
            let reason = "use 1 to 64 letters, digits, `-` and `_`";
            self.add(id.kind, &id.name, "name", Code::BadName, reason);
        }
    }

    /// Adds a fault and returns false unless the set has an object `name` of `kind`.
    ///
    /// `referrer` is the kind, the name and the field of the object that refers to it.
    fn check_reference(&mut self, referrer: (Kind, &str, &str), kind: Kind, name: &str) -> bool {
        let found = match kind {
            Kind::Version => self.set.version(name).is_some(),
            Kind::Service => self.set.service(name).is_some(),
            Kind::Route => self.set.route(name).is_some(),
            Kind::Upstream => self.set.upstream(name).is_some(),
            Kind::Move => self.set.planned_move(name).is_some(),
            Kind::Team => self.set.team(name).is_some(),
        };
        if !found {
            let reason = format!("no {} is called `{name}`", kind.as_str());
            self.add(referrer.0, referrer.1, referrer.2, Code::MissingReference, reason);
        }
        found
    }

    fn check_upstreams(&mut self) {
        let mut addresses = BTreeMap::new();
        for upstream in self.set.upstreams() {
            let name = &upstream.name;
            match &upstream.runs {
                Workload::Version(v) => {
                    self.check_reference((Kind::Upstream, name, "runs"), Kind::Version, v)
                }
                Workload::Service(s) => {
                    self.check_reference((Kind::Upstream, name, "runs"), Kind::Service, s)
                }
            };
            if upstream.slots == 0 {
                self.add(Kind::Upstream, name, "slots", Code::OutOfRange, "must be at least 1");
            }
            if let Some(other) = addresses.insert(upstream.address, name) {
                let reason = format!("`{other}` has the same address");
                self.add(Kind::Upstream, name, "address", Code::Duplicate, reason);
            }
        }
    }

    fn check_routes(&mut self) {
        let mut keys: BTreeMap<Name, Name> = BTreeMap::new();
        for route in self.set.routes() {
            let key = match &route.target {
                Target::Model { model, version } => {
                    self.check_route_version(route, model, version);
                    model
                }
                Target::Service { prefix, service } => {
                    self.check_route_prefix(route, prefix);
                    self.check_reference(
                        (Kind::Route, &route.name, "service"),
                        Kind::Service,
                        service,
                    );
                    prefix
                }
            };
            if let Some(other) = keys.insert(key.clone(), route.name.clone()) {
                let reason = format!("route `{other}` already serves `{key}`");
                self.add(Kind::Route, &route.name, "model", Code::Duplicate, reason);
            }
        }
    }

    fn check_route_version(&mut self, route: &Route, model: &Name, version: &Name) {
        let referrer = (Kind::Route, &*route.name, "version");
        if !self.check_reference(referrer, Kind::Version, version) {
            return;
        }
        if self.set.version(version).is_some_and(|v| v.model != *model) {
            let reason = format!("version `{version}` is not of model `{model}`");
            self.add(Kind::Route, &route.name, "version", Code::Contradiction, reason);
        }
    }

    fn check_route_prefix(&mut self, route: &Route, prefix: &str) {
        const RESERVED: [&str; 5] = ["/v1", "/admin", "/health", "/ready", "/metrics"];
        let is_one_segment =
            prefix.starts_with('/') && prefix.len() > 1 && !prefix[1..].contains('/');
        if !is_one_segment {
            let reason = "use one path segment such as `/orders`";
            self.add(Kind::Route, &route.name, "prefix", Code::OutOfRange, reason);
        }
        if RESERVED.contains(&prefix) {
            let reason = format!("`{prefix}` is reserved");
            self.add(Kind::Route, &route.name, "prefix", Code::Contradiction, reason);
        }
    }

    fn check_moves(&mut self) {
        let mut active: BTreeMap<&Name, &Name> = BTreeMap::new();
        for planned in self.set.moves() {
            let referrer = |field| (Kind::Move, &*planned.name, field);
            let route_exists = self.check_reference(referrer("route"), Kind::Route, &planned.route);
            let versions_exist =
                self.check_reference(referrer("from"), Kind::Version, &planned.from)
                    & self.check_reference(referrer("to"), Kind::Version, &planned.to);
            if route_exists && versions_exist {
                self.check_move_versions(planned);
            }
            if planned.start >= planned.deadline {
                let reason = "must come after `start`";
                self.add(Kind::Move, &planned.name, "deadline", Code::OutOfRange, reason);
            }
            if planned.cancelled {
                continue;
            }
            if let Some(other) = active.insert(&planned.route, &planned.name) {
                let reason = format!("move `{other}` is under way on this route");
                self.add(Kind::Move, &planned.name, "route", Code::Contradiction, reason);
            }
        }
    }

    fn check_move_versions(&mut self, planned: &Move) {
        let set = self.set;
        let model_of = |name: &Name| set.version(name).map(|v| v.model.clone());
        if planned.from == planned.to {
            self.add(
                Kind::Move,
                &planned.name,
                "to",
                Code::Contradiction,
                "must differ from `from`",
            );
        }
        if model_of(&planned.from) != model_of(&planned.to) {
            let reason = "both versions must be of one model";
            self.add(Kind::Move, &planned.name, "to", Code::Contradiction, reason);
        }
        let serves_either = set.route(&planned.route).is_some_and(|route| match &route.target {
            Target::Model { version, .. } => [&planned.from, &planned.to].contains(&version),
            Target::Service { .. } => false,
        });
        if !serves_either {
            let reason = format!("route `{}` serves neither version", planned.route);
            self.add(Kind::Move, &planned.name, "route", Code::Contradiction, reason);
        }
    }

    fn check_teams(&mut self) {
        const DIGEST_DIGITS: usize = 64;
        let mut keys = BTreeMap::new();
        for team in self.set.teams() {
            let name = &team.name;
            let is_hex = team.key_digest.bytes().all(|b| b.is_ascii_hexdigit());
            if team.key_digest.len() != DIGEST_DIGITS || !is_hex {
                let reason = "must be 64 hexadecimal digits";
                self.add(Kind::Team, name, "key_digest", Code::Syntax, reason);
            }
            if team.weight == 0 {
                self.add(Kind::Team, name, "weight", Code::OutOfRange, "must be at least 1");
            }
            if let Some(other) = keys.insert(&team.key_digest, name) {
                let reason = format!("team `{other}` has the same key");
                self.add(Kind::Team, name, "key_digest", Code::Duplicate, reason);
            }
        }
    }

    fn check_services(&mut self) {
        const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];
        for service in self.set.services() {
            for method in service.idempotent.iter().filter(|m| !METHODS.contains(&&***m)) {
                let reason = format!("`{method}` is not a method");
                self.add(Kind::Service, &service.name, "idempotent", Code::OutOfRange, reason);
            }
            if service.timeout_ms == 0 {
                let reason = "must be at least 1";
                self.add(Kind::Service, &service.name, "timeout_ms", Code::OutOfRange, reason);
            }
        }
    }

    fn check_versions(&mut self) {
        let served: BTreeSet<&Name> =
            self.set.routes().filter_map(|route| route.target.version()).collect();
        let set = self.set;
        for version in served {
            let replicas = set.upstreams().filter(|u| u.runs == Workload::Version(version.clone()));
            if set.version(version).is_some() && replicas.count() == 0 {
                let reason = "a route serves this version, but no upstream runs it";
                self.add(Kind::Version, version, "", Code::Contradiction, reason);
            }
        }
    }
}

impl Target {
    /// Returns the version that serves a model route; `None` for a service route.
    pub fn version(&self) -> Option<&Name> {
        match self {
            Self::Model { version, .. } => Some(version),
            Self::Service { .. } => None,
        }
    }
}
