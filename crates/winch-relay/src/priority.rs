//! Priorities of requests within their service.
//!
//! Routes and teams state priorities as arbitrary numbers. [`Ranks`] orders the requests of a
//! service by them, and [`Priority`] is the place of a request in that order. Without any
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
    /// Whether all other requests of the service are at least as urgent, and some are more urgent.
    pub fn is_last(self) -> bool {
        self.ranks > 1 && self.rank + 1 >= self.ranks
    }

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

/// The place of a request in the order of its service: the priority of its team, which takes
/// precedence, and then that of its route. A team without a priority counts with that of the route.
type Order = (u32, u32);

fn order(route: &Route, team: Option<u32>) -> Order {
    (team.unwrap_or(route.priority), route.priority)
}

/// The order of the requests of each service of model engines whose routes differ in priority.
#[derive(Clone, Debug, Default)]
pub struct Ranks {
    by_service: HashMap<Name, Vec<Order>>,
}

impl Ranks {
    /// Ranks the requests that `routes` and `teams` allow, by service. Plain services have no
    /// ranks, nor have services whose routes have the same priority: the priorities of teams alone
    /// change nothing.
    ///
    /// `teams` are those that have API keys; `None` if no route needs a key.
    pub fn new<'a>(
        routes: impl Iterator<Item = &'a Route>,
        services: &HashMap<Name, Arc<Service>>,
        teams: Option<&HashMap<Name, Arc<Team>>>,
    ) -> Self {
        let team_priorities: BTreeSet<Option<u32>> =
            teams.into_iter().flat_map(HashMap::values).map(|team| team.priority).collect();
        let mut by_service: HashMap<Name, BTreeSet<Order>> = HashMap::new();
        for route in routes {
            let shares = route.shares.iter().map(|share| &share.service);
            let is_engine =
                |name: &&Name| services.get(*name).is_some_and(|service| service.engine.is_some());
            for service in shares.filter(is_engine) {
                let orders = by_service.entry(service.clone()).or_default();
                orders.extend(team_priorities.iter().map(|team| order(route, *team)));
                if teams.is_none() || route.public {
                    orders.insert(order(route, None));
                }
            }
        }
        by_service.retain(|_, orders| {
            let mut priorities = orders.iter().map(|(_, route)| route);
            let first = priorities.next();
            priorities.any(|priority| Some(priority) != first)
        });
        let sorted =
            |(service, orders): (Name, BTreeSet<Order>)| (service, orders.into_iter().collect());
        Self { by_service: by_service.into_iter().map(sorted).collect() }
    }

    /// The priority of a request of `service` that `route` matched, from a caller of `team`.
    pub fn priority(&self, service: &str, route: &Route, team: Option<&Team>) -> Priority {
        let Some(orders) = self.by_service.get(service) else { return Priority::default() };
        let own = order(route, team.and_then(|team| team.priority));
        let last = orders.len().saturating_sub(1);
        let rank = orders.partition_point(|other| *other < own).min(last);
        let to_u32 = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        Priority { rank: to_u32(rank), ranks: to_u32(orders.len().max(1)) }
    }
}
