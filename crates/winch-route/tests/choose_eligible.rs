//! Compares choices with a naive model: only eligible upstreams, the cheapest of those sampled.

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use winch_route::{
    candidate::{Finish, Spec},
    choose::{Error, Options, Request, choose},
    pool::{self, Key, Pool},
};

const NOW: Duration = Duration::from_secs(100);

#[derive(Clone, Debug)]
struct Upstream {
    /// Whether it runs the requested version, v1.
    runs_v1: bool,
    /// Whether the configuration says that it is leaving.
    leaving: bool,
    /// Whether it was marked as leaving since.
    marked_leaving: bool,
    ejected: bool,
    load: u32,
    tried: bool,
}

fn upstreams() -> impl Strategy<Value = Vec<Upstream>> {
    let upstream =
        (
            any::<bool>(),
            prop::bool::weighted(0.2),
            prop::bool::weighted(0.1),
            prop::bool::weighted(0.2),
            0..12_u32,
            prop::bool::weighted(0.2),
        )
            .prop_map(|(runs_v1, leaving, marked_leaving, ejected, load, tried)| {
                Upstream { runs_v1, leaving, marked_leaving, ejected, load, tried }
            });
    prop::collection::vec(upstream, 0..24)
}

fn pool(upstreams: &[Upstream]) -> (Pool, Vec<Key>) {
    let options = pool::Options { subset_size: 64, max_ejected_share: 1.0 };
    let mut pool = Pool::new("entry-1", "dc".into(), options);
    let specs = upstreams.iter().enumerate().map(|(number, upstream)| Spec {
        name: format!("u{number}").into(),
        dc: if number % 2 == 0 { "dc".into() } else { "other".into() },
        runs: if upstream.runs_v1 { "v1".into() } else { "v2".into() },
        slots: 8,
        leaving: upstream.leaving,
    });
    pool.sync(specs, NOW);
    let keys: Vec<Key> =
        (0..upstreams.len()).map(|number| pool.find(&format!("u{number}")).unwrap()).collect();
    for (number, upstream) in upstreams.iter().enumerate() {
        let key = keys[number];
        (0..upstream.load).for_each(|_| pool.begin(key, 1));
        if upstream.marked_leaving {
            pool.mark_leaving(format!("u{number}").into());
        }
        if upstream.ejected {
            pool.begin(key, 1);
            pool.finish(key, Finish::Unreachable, NOW);
        }
    }
    (pool, keys)
}

/// The upstreams that may be chosen, found by a check of each one.
fn eligible(upstreams: &[Upstream], keys: &[Key]) -> Vec<Key> {
    const SLOTS: u32 = 8;
    let eligible = upstreams.iter().zip(keys).filter(|(upstream, _)| {
        upstream.runs_v1
            && !upstream.leaving
            && !upstream.marked_leaving
            && !upstream.ejected
            && !upstream.tried
            && upstream.load < SLOTS
    });
    eligible.map(|(_, key)| *key).collect()
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn only_eligible(upstreams in upstreams(), prefix in any::<u64>(), random in any::<u64>()) {
        let (pool, keys) = pool(&upstreams);
        let tried: Vec<Key> = upstreams.iter().zip(&keys)
            .filter(|(upstream, _)| upstream.tried).map(|(_, key)| *key).collect();
        let request = Request {
            runs: "v1", prefix, prefill_tokens: 100, tried: &tried, move_subset: None, dc: "dc",
        };
        let eligible = eligible(&upstreams, &keys);
        match choose(&pool, &request, &Options::default(), random, NOW) {
            Ok(key) => prop_assert!(eligible.contains(&key)),
            Err(error) => {
                prop_assert!(eligible.is_empty());
                let any_runs_v1 = upstreams.iter().any(|upstream| upstream.runs_v1);
                prop_assert_eq!(error == Error::NoUpstream, !any_runs_v1);
            }
        }
    }

    /// If all upstreams are compared and only load has a cost, the least loaded one is chosen.
    #[test]
    fn least_loaded(loads in prop::collection::vec(0..8_u32, 1..12), random in any::<u64>()) {
        let upstreams: Vec<Upstream> = loads.iter().map(|load| Upstream {
            runs_v1: true, leaving: false, marked_leaving: false, ejected: false, load: *load,
            tried: false,
        }).collect();
        let (pool, keys) = pool(&upstreams);
        let options = Options {
            rendezvous_choices: 64, random_choices: 0, prefill_cost: 0.0, dc_cost: 0.0,
            ..Options::default()
        };
        let request = Request {
            runs: "v1", prefix: 7, prefill_tokens: 0, tried: &[], move_subset: None, dc: "dc",
        };
        let chosen = choose(&pool, &request, &options, random, NOW).unwrap();
        let least_load = loads.iter().min().copied().unwrap();
        let index = keys.iter().position(|key| *key == chosen).unwrap();
        prop_assert_eq!(loads[index], least_load);
    }
}

#[test]
fn daemons_agree() {
    // Two daemons without calls in flight choose the same upstream for a prefix.
    let specs = |_: &str| {
        (0..40).map(|number| Spec {
            name: format!("u{number}").into(),
            dc: "dc".into(),
            runs: "v1".into(),
            slots: 8,
            leaving: false,
        })
    };
    let first_choice = |daemon: &str| -> Arc<str> {
        let mut pool = Pool::new(daemon, "dc".into(), pool::Options::default());
        pool.sync(specs(daemon), NOW);
        let request = Request {
            runs: "v1",
            prefix: 99,
            prefill_tokens: 500,
            tried: &[],
            move_subset: None,
            dc: "dc",
        };
        let options = Options { random_choices: 0, rendezvous_choices: 1, ..Options::default() };
        let key = choose(&pool, &request, &options, 1, NOW).unwrap();
        pool.get(key).unwrap().spec.name.clone()
    };
    assert_eq!(first_choice("entry-1"), first_choice("entry-2"));
}
