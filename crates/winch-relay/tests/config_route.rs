//! Lookup of routes by host and longest prefix, and of teams by API key; statuses that guarantee
//! that a request did not run.

use std::{sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::SmallRng};
use winch_relay::{
    code::Code,
    config::{Config, Limits, Route, Semantics, Share, Team},
    unary,
};

fn route(host: &str, prefix: &str, shares: &[(&str, f64)]) -> Route {
    let shares = shares
        .iter()
        .map(|(service, weight)| Share { service: (*service).into(), weight: *weight });
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        semantics: Semantics::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 1,
        shares: shares.collect(),
        max_attempts: 2,
        public: false,
    }
}

fn config(teams: Option<Vec<(Arc<str>, Arc<Team>)>>) -> Config {
    let routes = vec![
        route("a.example", "/x/", &[("s", 1.0)]),
        route("a.example", "/x/y/", &[("t", 1.0)]),
        route("b.example", "/", &[("s", 90.0), ("t", 10.0)]),
    ];
    Config::new(3, routes, Vec::new(), teams, Limits::default())
}

#[test]
fn longest_prefix_wins() {
    let config = config(None);
    let name = |host, path| config.route(host, path).map(|route| route.name.to_string());
    assert_eq!(name("a.example", "/x/1").as_deref(), Some("/x/"));
    assert_eq!(name("A.example:81", "/x/y/1").as_deref(), Some("/x/y/"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("c.example", "/x/1"), None);
}

#[test]
fn split_by_weight() {
    let config = config(None);
    let route = config.route("b.example", "/1").unwrap();
    let mut rng = SmallRng::seed_from_u64(4);
    let picked = (0..10_000).filter(|_| &**route.pick(&mut rng) == "t").count();
    assert!(
        (800..1_200).contains(&picked),
        "picked {picked} times in 10,000 at a weight of 10 in 100, expected 800 to 1,199"
    );
}

#[test]
fn keys_required_with_teams() {
    let open = config(None);
    let route = open.route("a.example", "/x/1").unwrap().clone();
    assert!(!open.needs_key(&route));
    let team = Arc::new(Team { name: "t".into(), priority: None });
    let keyed = config(Some(vec![("key".into(), team)]));
    assert!(keyed.needs_key(&route));
    assert!(!keyed.needs_key(&Route { public: true, ..(*route).clone() }));
    assert!(keyed.team("key").is_some() && keyed.team("other").is_none());
}

#[test]
fn not_run_guarantee() {
    for code in Code::ALL {
        let guarantees_not_run = unary::guarantees_not_run(code.status());
        assert!(
            !(guarantees_not_run && code.may_have_run()),
            "the status of {} guarantees that the request did not run, but it may have run",
            code.name()
        );
        if unary::retry_after(*code).is_some() {
            assert!(
                guarantees_not_run,
                "{} has a Retry-After, but its status does not guarantee that nothing ran",
                code.name()
            );
        }
    }
}
