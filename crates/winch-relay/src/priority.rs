//! Priorities of requests within their service.
//!
//! Routes and teams state priorities as arbitrary numbers. [`Ranks`] orders those that requests of
//! one service can have, and [`Priority`] is the place of a request in that order. Without any
//! difference a request has no [level](Priority::level), and replicas serve it as before.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use crate::{
    config::{Route, Service, Team},
    prelude::Name,
};

/// Largest level that replicas know; higher levels are less urgent.
const MAX_LEVEL: u32 = 9;

/// Priority of a request relative to the other requests of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Priority {
    /// Position among the ranks of the service; zero is the most urgent.
    pub rank: u32,
    /// Number of ranks of the service, at least one.
    pub ranks: u32,
}

impl Default for Priority {
    /// The only rank of a service.
    fn default() -> Self {
        Self { rank: 0, ranks: 1 }
    }
}

impl Priority {
    /// Level at the replica, 0 (most urgent) to 9; `None` if the service has one rank only.
    ///
    /// The caller of a repeated request, which starts again from its prompt after a loss, has
    /// already waited. Such a request goes before the others of its rank, but not before those
    /// of a more urgent rank.
    pub fn level(self, is_repeated: bool) -> Option<u8> {
        if self.ranks <= 1 {
            return None;
        }
        let level = (2 * self.rank + 1).saturating_sub(u32::from(is_repeated)).min(MAX_LEVEL);
        u8::try_from(level).ok()
    }
}

/// The priorities that requests of each service of model engines can have, in order.
#[derive(Clone, Debug, Default)]
pub struct Ranks {
    by_service: HashMap<Name, Vec<u32>>,
}

impl Ranks {
    /// Ranks the priorities of `routes` and `teams` by service. Plain services have no ranks.
    ///
    /// `teams` are those that have API keys; `None` if no route needs a key. A priority
    /// counts only if a request can have it: that of a route does not if the route's callers all
    /// belong to teams with priorities of their own.
    pub fn new<'a>(
        routes: impl Iterator<Item = &'a Route>,
        services: &HashMap<Name, Arc<Service>>,
        teams: Option<&HashMap<Name, Arc<Team>>>,
    ) -> Self {
        let team_priorities: BTreeSet<u32> =
            teams.into_iter().flat_map(HashMap::values).filter_map(|team| team.priority).collect();
        let has_plain_team =
            teams.is_none_or(|teams| teams.values().any(|team| team.priority.is_none()));
        let mut by_service: HashMap<Name, BTreeSet<u32>> = HashMap::new();
        for route in routes {
            let shares = route.shares.iter().map(|share| &share.service);
            let is_engine =
                |name: &&Name| services.get(*name).is_some_and(|service| service.engine.is_some());
            for service in shares.filter(is_engine) {
                let priorities = by_service.entry(service.clone()).or_default();
                priorities.extend(&team_priorities);
                if has_plain_team || route.public {
                    priorities.insert(route.priority);
                }
            }
        }
        let sorted = |(service, priorities): (Name, BTreeSet<u32>)| {
            (service, priorities.into_iter().collect())
        };
        Self { by_service: by_service.into_iter().map(sorted).collect() }
    }

    /// The priority of a request of `service` that `route` matched, from a caller of `team`.
    pub fn priority(&self, service: &str, route: &Route, team: Option<&Team>) -> Priority {
        let Some(priorities) = self.by_service.get(service) else { return Priority::default() };
        let own = team.and_then(|team| team.priority).unwrap_or(route.priority);
        let last = priorities.len().saturating_sub(1);
        let rank = priorities.partition_point(|priority| *priority < own).min(last);
        let to_u32 = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        Priority { rank: to_u32(rank), ranks: to_u32(priorities.len().max(1)) }
    }
}
