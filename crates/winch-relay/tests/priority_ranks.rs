//! Ranks of the priorities of routes and teams within a service, and the levels that replicas get.
//!
//! A level where all requests are alike would put them before or behind those of callers that go
//! past the daemons; a level that mixes ranks would let ordinary requests pass urgent ones.

use std::{sync::Arc, time::Duration};

use winch_relay::{
    config::{Config, Engine, Limits, Route, Semantics, Service, Share, Team},
    priority::Priority,
};

fn route(name: &str, service: &str, priority: u32) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/").as_str().into(),
        semantics: Semantics::Stream { resumable: true, max_gap: None },
        timeout: Duration::from_secs(20),
        target_latency: Duration::from_secs(4),
        priority,
        shares: vec![Share { service: service.into(), weight: 1.0 }],
        max_attempts: 2,
        public: false,
    }
}

fn service(name: &str, is_engine: bool) -> Service {
    let engine = Engine {
        slots: 4,
        kv_capacity_tokens: 1_000,
        tokens_per_event: 1.0,
        copies: true,
        snapshot_ttl: None,
    };
    Service {
        name: name.into(),
        health_path: "/health".into(),
        max_connections: 10,
        engine: is_engine.then_some(engine),
    }
}

type Teams = Vec<(Arc<str>, Arc<Team>)>;

fn team(name: &str, priority: Option<u32>) -> (Arc<str>, Arc<Team>) {
    (format!("key-{name}").as_str().into(), Arc::new(Team { name: name.into(), priority }))
}

fn config(routes: Vec<Route>, teams: Option<Teams>) -> Config {
    let services = vec![service("model", true), service("other", true), service("desk", false)];
    Config::new(1, routes, services, teams, Limits::default())
}

/// Rank and number of ranks of a request of `service` on the route `name`.
fn rank(config: &Config, service: &str, name: &str, team: Option<&str>) -> (u32, u32) {
    let route = config.route("a.example", &format!("/{name}/1")).unwrap();
    let team = team.map(|name| config.team(&format!("key-{name}")).unwrap());
    let Priority { rank, ranks } = config.priority(service, route, team.map(|team| &**team));
    (rank, ranks)
}

#[test]
fn distinct_priorities_ranked_by_service() {
    let routes = vec![
        route("urgent", "model", 0),
        route("ordinary", "model", 2),
        route("late", "model", 7),
        route("also-ordinary", "model", 2),
        route("alone", "other", 5),
        route("order", "desk", 9),
        route("status", "desk", 0),
    ];
    let config = config(routes, None);
    assert_eq!(rank(&config, "model", "urgent", None), (0, 3));
    assert_eq!(rank(&config, "model", "ordinary", None), (1, 3));
    assert_eq!(rank(&config, "model", "also-ordinary", None), (1, 3));
    assert_eq!(rank(&config, "model", "late", None), (2, 3));
    assert_eq!(rank(&config, "other", "alone", None), (0, 1), "the only rank of its service");
    assert_eq!(rank(&config, "desk", "order", None), (0, 1), "a plain service has one rank");
    assert_eq!(rank(&config, "desk", "status", None), (0, 1), "a plain service has one rank");
}

/// Guards against requests of one team in the order of their routes only, or in no order at all.
#[test]
fn team_precedes_route() {
    let routes = || vec![route("urgent", "model", 0), route("ordinary", "model", 4)];
    let mixed = config(routes(), Some(vec![team("plain", None), team("batch", Some(6))]));
    assert_eq!(rank(&mixed, "model", "urgent", Some("plain")), (0, 4));
    assert_eq!(rank(&mixed, "model", "ordinary", Some("plain")), (1, 4));
    assert_eq!(rank(&mixed, "model", "urgent", Some("batch")), (2, 4));
    assert_eq!(rank(&mixed, "model", "ordinary", Some("batch")), (3, 4));
}

/// A team without a key has no requests: its priority must not put the others in ranks.
#[test]
fn priorities_that_no_request_has_ignored() {
    let alike = config(
        vec![route("urgent", "model", 0), route("ordinary", "model", 4)],
        Some(vec![team("batch", Some(6)), team("bulk", Some(6))]),
    );
    assert_eq!(rank(&alike, "model", "urgent", Some("batch")), (0, 2));
    assert_eq!(rank(&alike, "model", "ordinary", Some("bulk")), (1, 2));
}

/// Guards against a change for services whose routes are alike: they are served as before.
#[test]
fn teams_alone_have_no_ranks() {
    let public = Route { public: true, ..route("open", "model", 4) };
    let config = config(vec![public], Some(vec![team("batch", Some(6)), team("quick", Some(1))]));
    assert_eq!(rank(&config, "model", "open", None), (0, 1));
    assert_eq!(rank(&config, "model", "open", Some("batch")), (0, 1));
}

#[test]
fn one_rank_has_no_level() {
    assert_eq!(Priority::default().level(false), None);
    assert_eq!(Priority::default().level(true), None);
}

#[test]
fn repeated_request_stays_within_its_rank() {
    let levels = |rank, ranks| {
        let priority = Priority { rank, ranks };
        (priority.level(false).unwrap(), priority.level(true).unwrap())
    };
    assert_eq!(levels(0, 2), (1, 0));
    assert_eq!(levels(1, 2), (3, 2));
    let level = |rank| Priority { rank, ranks: 10 }.level(false).unwrap();
    assert_eq!([0, 1, 2, 4, 9].map(level), [1, 3, 5, 9, 9]);
    for ranks in 2..12 {
        for rank in 0..ranks {
            let (level, repeated) = levels(rank, ranks);
            assert!(repeated <= level && level <= 9, "rank {rank} has levels {repeated}, {level}");
            if rank > 0 {
                let (before, _) = levels(rank - 1, ranks);
                assert!(before <= repeated, "rank {rank} passes rank {} by a repeat", rank - 1);
            }
        }
    }
}
