//! Subsets stay stable, few upstreams are ejected at once, and new ones start slowly.

use std::{collections::HashSet, sync::Arc, time::Duration};

use proptest::prelude::*;
use winch_route::{
    candidate::{Finish, Spec},
    choose::{Error, Request, choose},
    pool::{Key, Options, Pool},
};

fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn spec(number: usize) -> Spec {
    Spec {
        name: format!("u{number}").into(),
        dc: format!("dc-{}", number % 3).into(),
        runs: "v1".into(),
        slots: 8,
        leaving: false,
    }
}

fn names(pool: &Pool) -> HashSet<Arc<str>> {
    pool.members("v1").iter().map(|key| pool.get(*key).unwrap().spec.name.clone()).collect()
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(12), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    /// The removal of one upstream replaces at most one member of a daemon's subset.
    #[test]
    fn stable_subset(size in 20..80_usize, removed in any::<prop::sample::Index>()) {
        let options = Options { subset_size: 16, ..Options::default() };
        let mut pool = Pool::new("entry-1", "dc-0".into(), options);
        pool.sync((0..size).map(spec), at(1));
        let before = names(&pool);
        let removed = removed.index(size);
        pool.sync((0..size).filter(|number| *number != removed).map(spec), at(2));
        let after = names(&pool);
        prop_assert_eq!(after.len(), 16);
        prop_assert!(before.difference(&after).count() <= 1);
    }

    /// No sequence of failures ejects more than the allowed share of upstreams, 5 of 12.
    #[test]
    fn few_ejected(failures in prop::collection::vec((0..12_usize, 0..4_u64), 0..200)) {
        let mut pool = Pool::new("entry-1", "dc-0".into(), Options::default());
        pool.sync((0..12).map(spec), at(1));
        let keys: Vec<Key> = pool.members("v1").to_vec();
        let mut now = at(10);
        for (number, delay) in failures {
            now += Duration::from_millis(delay * 100);
            pool.begin(keys[number], 0);
            pool.finish(keys[number], Finish::Unreachable, now);
            let ejected = keys.iter().filter(|key| pool.get(**key).unwrap().is_ejected(now)).count();
            prop_assert!(ejected <= 5, "{} ejected", ejected);
        }
    }

    /// The number of calls in flight matches the calls begun and finished.
    #[test]
    fn inflight_counted(steps in prop::collection::vec((0..4_usize, any::<bool>()), 0..100)) {
        let mut pool = Pool::new("entry-1", "dc-0".into(), Options::default());
        pool.sync((0..4).map(spec), at(1));
        let keys: Vec<Key> = pool.members("v1").to_vec();
        let mut expected = [0_u32; 4];
        for (number, begins) in steps {
            if begins {
                pool.begin(keys[number], 0);
                expected[number] += 1;
            } else if expected[number] > 0 {
                pool.finish(keys[number], Finish::Completed, at(2));
                expected[number] -= 1;
            }
            prop_assert_eq!(pool.get(keys[number]).unwrap().inflight(), expected[number]);
        }
    }
}

#[test]
fn slow_start() {
    let mut pool = Pool::new("entry-1", "dc-0".into(), Options::default());
    pool.sync((0..2).map(spec), at(1));
    pool.sync((0..3).map(spec), at(100));
    let limit = |name: &str, now| pool.get(pool.find(name).unwrap()).unwrap().limit(now);
    assert!(limit("u2", at(100)) < limit("u0", at(100)) / 4.0);
    assert_eq!(limit("u2", at(111)), limit("u0", at(111)));
}

#[test]
fn rejoin_fresh() {
    let mut pool = Pool::new("entry-1", "dc-0".into(), Options::default());
    pool.sync((0..2).map(spec), at(1));
    let key = pool.find("u1").unwrap();
    pool.mark_leaving("u1".into());
    assert!(pool.is_leaving(key));
    // A new configuration does not end the leaving state, only a new incarnation does.
    pool.sync((0..2).map(spec), at(2));
    assert!(pool.is_leaving(key));
    pool.rejoin("u1", at(3));
    assert!(!pool.is_leaving(key));
}

#[test]
fn stalled_excluded() {
    let mut pool = Pool::new("entry-1", "dc-0".into(), Options::default());
    pool.sync((0..2).map(spec), at(1));
    let [first, second] = pool.members("v1")[..] else {
        panic!("the pool must have two members");
    };
    let chosen = |pool: &Pool, now| {
        let request = Request {
            runs: "v1",
            prefix: 1,
            prefill_tokens: 0,
            tried: &[],
            move_subset: None,
            dc: "dc-0",
        };
        choose(pool, &request, &Default::default(), 3, now)
    };
    pool.mark_stalled(first, at(10));
    assert_eq!(chosen(&pool, at(10)), Ok(second));
    pool.mark_stalled(second, at(10));
    assert_eq!(chosen(&pool, at(10)), Err(Error::NoneEligible));
    // A load report or the timeout ends the stall.
    pool.record_load(first, 1, at(10));
    assert_eq!(chosen(&pool, at(10)), Ok(first));
    assert!(chosen(&pool, at(11)).is_ok());
}

#[test]
fn ejection_ends() {
    let mut pool = Pool::new("entry-1", "dc-0".into(), Options::default());
    pool.sync((0..6).map(spec), at(1));
    let key = pool.members("v1")[0];
    pool.begin(key, 0);
    pool.finish(key, Finish::Unreachable, at(10));
    assert!(pool.get(key).unwrap().is_ejected(at(10)));
    assert!(!pool.get(key).unwrap().is_ejected(at(12)));
}
