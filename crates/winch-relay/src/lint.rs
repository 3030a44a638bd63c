//! Finds what is probably wrong in a configuration that can be decoded: entries that never match
//! or that nothing uses, and limits that contradict each other.

use std::collections::{HashMap, HashSet};

use winch_config::lint::{Code, Warning};

use crate::{
    config::{Parts, Route, Semantics, Service},
    prelude::{Duration, Name},
};

/// Returns all warnings about a configuration. Fields have the names of the types in
/// [`config`](crate::config).
pub fn lint(parts: &Parts) -> Vec<Warning> {
    let mut linter = Linter { parts, warnings: Vec::new() };
    linter.lint_matches();
    for route in &parts.routes {
        linter.lint_route(route);
    }
    linter.lint_services();
    linter.lint_teams();
    linter.lint_limits();
    linter.warnings
}

struct Linter<'a> {
    parts: &'a Parts,
    warnings: Vec<Warning>,
}

impl Linter<'_> {
    fn add(
        &mut self,
        (kind, name): (&str, &Name),
        field: &str,
        code: Code,
        reason: impl Into<String>,
    ) {
        self.warnings.push(Warning::new(format!("{kind}/{name}"), field, code, reason));
    }

    /// Finds routes that no request can match.
    fn lint_matches(&mut self) {
        let parts = self.parts;
        let mut first: HashMap<(&Name, &Name), &Name> = HashMap::new();
        for route in &parts.routes {
            let label = ("route", &route.name);
            // The port is removed from the host of a request.
            if route.host.contains(':') {
                self.add(label, "host", Code::Hidden, "a host with a port never matches");
            }
            if !route.prefix.starts_with('/') {
                let reason = "paths start with `/`, so that the prefix never matches";
                self.add(label, "prefix", Code::Hidden, reason);
            }
            if let Some(other) = first.get(&(&route.host, &route.prefix)) {
                let reason = format!("route `{other}` has the same host and prefix");
                self.add(label, "prefix", Code::Hidden, reason);
            } else {
                first.insert((&route.host, &route.prefix), &route.name);
            }
        }
    }

    fn lint_route(&mut self, route: &Route) {
        let parts = self.parts;
        let label = ("route", &route.name);
        for share in &route.shares {
            if !parts.services.iter().any(|service| service.name == share.service) {
                let reason = format!("service `{}` is not defined", share.service);
                self.add(label, "shares", Code::Unserved, reason);
            }
            if !(share.weight.is_finite() && share.weight >= 0.0) {
                let reason = format!("weight {} of service `{}`", share.weight, share.service);
                self.add(label, "shares", Code::Limits, reason);
            }
        }
        let total: f64 = route.shares.iter().map(|share| share.weight).sum();
        if total <= 0.0 {
            self.add(label, "shares", Code::Limits, "the weights sum to zero");
        }
        if route.timeout.is_zero() {
            self.add(label, "timeout", Code::Limits, "every request times out at once");
        }
        self.lint_within_timeout(route, "target_latency", Some(route.target_latency));
        if let Semantics::Stream { max_gap, .. } = route.semantics {
            self.lint_within_timeout(route, "max_gap", max_gap);
        }
    }

    fn lint_within_timeout(&mut self, route: &Route, field: &str, time: Option<Duration>) {
        if let Some(time) = time.filter(|time| *time > route.timeout) {
            let (time_ms, timeout_ms) = (time.as_millis(), route.timeout.as_millis());
            let reason = format!("{time_ms} ms is longer than the timeout, {timeout_ms} ms");
            self.add(("route", &route.name), field, Code::Limits, reason);
        }
    }

    fn lint_services(&mut self) {
        let parts = self.parts;
        let shares = parts.routes.iter().flat_map(|route| &route.shares);
        let used: HashSet<&Name> = shares.map(|share| &share.service).collect();
        let mut last: HashMap<&Name, usize> = HashMap::new();
        last.extend(parts.services.iter().enumerate().map(|(index, s)| (&s.name, index)));
        for (index, service) in parts.services.iter().enumerate() {
            let label = ("service", &service.name);
            if last[&service.name] != index {
                let reason = "a later service has the same name and replaces it";
                self.add(label, "name", Code::Hidden, reason);
            }
            if !used.contains(&service.name) {
                self.add(label, "", Code::Unused, "no route uses it");
            }
            self.lint_capacity(service);
        }
    }

    fn lint_capacity(&mut self, service: &Service) {
        let label = ("service", &service.name);
        if service.max_connections == 0 {
            let reason = "its replicas accept no connection";
            self.add(label, "max_connections", Code::Limits, reason);
        }
        let Some(engine) = &service.engine else { return };
        if engine.slots == 0 {
            self.add(label, "slots", Code::Limits, "an engine without slots runs no request");
        }
        if engine.kv_capacity_tokens == 0 {
            let reason = "an engine without KV cache runs no request";
            self.add(label, "kv_capacity_tokens", Code::Limits, reason);
        }
    }

    fn lint_teams(&mut self) {
        let parts = self.parts;
        let Some(teams) = &parts.teams else { return };
        let mut owners: HashMap<&Name, &Name> = HashMap::new();
        for (team, keys) in teams {
            let label = ("team", &team.name);
            if keys.is_empty() {
                self.add(label, "keys", Code::Hidden, "no request is of a team without keys");
            }
            for key in keys {
                // Keys are secret, so that the warning does not state it.
                if let Some(other) = owners.insert(key, &team.name) {
                    let reason = if *other == team.name {
                        "a key is listed twice".to_owned()
                    } else {
                        format!("a key is also one of team `{other}`, whose requests it takes")
                    };
                    self.add(label, "keys", Code::Hidden, reason);
                }
            }
        }
        if owners.is_empty() {
            for route in parts.routes.iter().filter(|route| !route.public) {
                let reason = "it needs an API key, and no team has one";
                self.add(("route", &route.name), "public", Code::Unserved, reason);
            }
        }
    }

    fn lint_limits(&mut self) {
        let limits = &self.parts.limits;
        let zero = [
            ("head_bytes", limits.head_bytes == 0),
            ("body_bytes", limits.body_bytes == 0),
            ("head_timeout", limits.head_timeout.is_zero()),
            ("idle_timeout", limits.idle_timeout.is_zero()),
        ];
        for (field, _) in zero.into_iter().filter(|(_, is_zero)| *is_zero) {
            self.warnings.push(Warning::new("limits", field, Code::Limits, "must not be zero"));
        }
    }
}
