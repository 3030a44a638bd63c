//! Finds what is probably wrong in a set without faults: objects without effect, and values that
//! contradict each other.
//!
//! A set with warnings may be published.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use winch_move::machine::MIN_MOVE_SECS;

use crate::{
    change::Edit,
    object::{Id, Kind, Move, Name, Target, Workload},
    set::Set,
};

/// Kinds of warnings, numbered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum Code {
    /// Nothing uses the object or the field.
    Unused = 321,
    /// An entry that never matches, or that another one hides.
    Hidden = 322,
    /// An entry that nothing can serve.
    Unserved = 323,
    /// Limits that contradict each other.
    Limits = 324,
}

impl Code {
    /// All codes in the order of their numbers.
    pub const ALL: [Self; 4] = [Self::Unused, Self::Hidden, Self::Unserved, Self::Limits];
}

/// One warning about a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Warning {
    /// The object, as `kind/name`.
    pub object: String,
    /// The field; empty if the warning concerns the whole object.
    pub field: String,
    /// The kind of warning.
    pub code: Code,
    /// What is probably wrong.
    pub reason: String,
}

impl Warning {
    /// Creates a warning about `field` of `object`.
    pub fn new(
        object: impl Into<String>,
        field: &str,
        code: Code,
        reason: impl Into<String>,
    ) -> Self {
        Self { object: object.into(), field: field.into(), code, reason: reason.into() }
    }
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { object, field, code, reason } = self;
        let space = if field.is_empty() { "" } else { " " };
        write!(f, "{} {object}{space}{field}: {reason}", *code as u16)
    }
}

/// Returns the warnings about an edit itself: objects that the same edit replaces or deletes.
pub fn lint_edit(edit: &Edit) -> Vec<Warning> {
    let mut last = BTreeMap::new();
    for (index, object) in edit.puts.iter().enumerate() {
        last.insert(object.id(), index);
    }
    let mut warnings = Vec::new();
    for (index, object) in edit.puts.iter().enumerate() {
        let id = object.id();
        if last[&id] != index {
            let reason = "a later object of the file has the same kind and name";
            warnings.push(Warning::new(id.to_string(), "", Code::Hidden, reason));
        }
    }
    for id in edit.deletes.iter().filter(|id| last.contains_key(*id)) {
        let reason = "the file also deletes it; it is created or replaced";
        warnings.push(Warning::new(id.to_string(), "", Code::Hidden, reason));
    }
    warnings
}

/// Returns all warnings about a set without [faults](crate::check::check).
pub fn lint(set: &Set) -> Vec<Warning> {
    let mut linter = Linter { set, warnings: Vec::new() };
    linter.lint_use();
    linter.lint_routes();
    linter.lint_services();
    linter.lint_moves();
    linter.lint_teams();
    linter.warnings
}

struct Linter<'a> {
    set: &'a Set,
    warnings: Vec<Warning>,
}

impl Linter<'_> {
    fn add(&mut self, kind: Kind, name: &Name, field: &str, code: Code, reason: impl Into<String>) {
        let id = Id { kind, name: name.clone() };
        self.warnings.push(Warning::new(id.to_string(), field, code, reason));
    }

    /// Moves that an operator has not cancelled.
    fn moves(&self) -> impl Iterator<Item = &Move> {
        self.set.moves().filter(|planned| !planned.cancelled)
    }

    /// What routes and moves use.
    fn used(&self) -> BTreeSet<(Kind, Name)> {
        let targets = self.set.routes().map(|route| match &route.target {
            Target::Model { version, .. } => (Kind::Version, version.clone()),
            Target::Service { service, .. } => (Kind::Service, service.clone()),
        });
        let versions = self.moves().flat_map(|planned| [&planned.from, &planned.to]);
        targets.chain(versions.map(|name| (Kind::Version, name.clone()))).collect()
    }

    fn lint_use(&mut self) {
        let (set, used) = (self.set, self.used());
        for version in set.versions() {
            if !used.contains(&(Kind::Version, version.name.clone())) {
                let reason = "no route and no move uses it";
                self.add(Kind::Version, &version.name, "", Code::Unused, reason);
            }
        }
        for service in set.services() {
            if !used.contains(&(Kind::Service, service.name.clone())) {
                self.add(Kind::Service, &service.name, "", Code::Unused, "no route uses it");
            }
        }
        for upstream in set.upstreams() {
            let (kind, name) = match &upstream.runs {
                Workload::Version(name) => (Kind::Version, name),
                Workload::Service(name) => (Kind::Service, name),
            };
            if !used.contains(&(kind, name.clone())) {
                let reason = format!("it runs {} `{name}`, which nothing uses", kind.as_str());
                self.add(Kind::Upstream, &upstream.name, "runs", Code::Unused, reason);
            }
        }
    }

    fn lint_routes(&mut self) {
        let set = self.set;
        for route in set.routes() {
            let (field, workload) = match &route.target {
                Target::Model { version, .. } => ("version", Workload::Version(version.clone())),
                Target::Service { service, .. } => ("service", Workload::Service(service.clone())),
            };
            let mut upstreams = set.upstreams().filter(|u| u.runs == workload).peekable();
            // A version without any upstream is a fault.
            if upstreams.peek().is_none() && field == "version" {
                continue;
            }
            if upstreams.all(|upstream| upstream.leaving) {
                let reason = "no upstream takes its calls: none runs it, or all are leaving";
                self.add(Kind::Route, &route.name, field, Code::Unserved, reason);
            }
        }
    }

    fn lint_services(&mut self) {
        let set = self.set;
        for service in set.services() {
            let mut methods = BTreeSet::new();
            for method in service.idempotent.iter().filter(|method| !methods.insert(*method)) {
                let reason = format!("`{method}` is listed twice");
                self.add(Kind::Service, &service.name, "idempotent", Code::Unused, reason);
            }
        }
    }

    fn lint_moves(&mut self) {
        let set = self.set;
        let slots = |version: &Name| -> u64 {
            let runs = Workload::Version(version.clone());
            let upstreams = set.upstreams().filter(|u| u.runs == runs && !u.leaving);
            upstreams.map(|upstream| u64::from(upstream.slots)).sum()
        };
        for planned in set.moves().filter(|planned| !planned.cancelled) {
            let (from, to) = (slots(&planned.from), slots(&planned.to));
            if to == 0 {
                let reason = format!("no upstream takes calls for `{}`", planned.to);
                self.add(Kind::Move, &planned.name, "to", Code::Unserved, reason);
            } else if to < from {
                let reason = format!(
                    "`{}` has {to} slots in all and `{}` has {from}",
                    planned.to, planned.from
                );
                self.add(Kind::Move, &planned.name, "to", Code::Limits, reason);
            }
            let time_s = planned.deadline.saturating_sub(planned.start);
            if (time_s as f64) < MIN_MOVE_SECS {
                let reason = format!(
                    "{time_s} s after `start`, but the stages take {MIN_MOVE_SECS} s at least"
                );
                self.add(Kind::Move, &planned.name, "deadline", Code::Limits, reason);
            }
        }
    }

    fn lint_teams(&mut self) {
        let set = self.set;
        let mut digests: BTreeMap<String, &Name> = BTreeMap::new();
        for team in set.teams() {
            let digest = team.key_digest.to_ascii_lowercase();
            if *digest != *team.key_digest {
                let reason = "digests are compared in lower case, so that no key matches";
                self.add(Kind::Team, &team.name, "key_digest", Code::Hidden, reason);
            }
            if let Some(other) = digests.insert(digest, &team.name) {
                let reason = format!("team `{other}` has the same key in another case");
                self.add(Kind::Team, &team.name, "key_digest", Code::Hidden, reason);
            }
        }
    }
}
