//! Choice of replicas by reported load, data centre and measured latency.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use winch_relay::{
    call::{self, Part},
    catalog::Catalog,
    placement::{self, Candidate, Draw},
    prelude::Name,
    replica::{Replica, Report},
    store::Change,
};
use winch_route::engine::{self, Position, Request, Service};

fn replica(number: u16, dc: &str) -> Replica {
    Replica {
        id: format!("i-{number}").into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], number).into(),
        dc: dc.into(),
        version: "v1".into(),
        slots: 6,
        draining: false,
        started_at_ms: None,
    }
}

fn any(_: &Replica) -> bool {
    true
}

fn catalog(dcs: &[&str]) -> Catalog {
    let mut catalog = Catalog::default();
    for (number, dc) in (1..).zip(dcs) {
        catalog.apply(Change::Put(replica(number, dc)));
    }
    catalog
}

fn draw(affinity: u64, round: u32) -> Draw<'static> {
    Draw { service: "s", dc: "a", affinity, round }
}

fn report(running: u32, prefilling: u32, used_tokens: u64) -> Report {
    Report { running, prefilling, used_tokens, total_tokens: 88_000, ..Report::default() }
}

/// Cost of a stream of 9,000 tokens at a local replica of mean speed.
fn stream_cost(report: &Report, starting: u32, cached: f64) -> f64 {
    let request = Request { tokens: 9_000, prompt_units: 1.0, level: None };
    let position = Position { is_local: true, slowness: 1.0, cached };
    engine::forecast(&report.load(starting), &request, position, &Service::default()).cost
}

#[test]
fn cost_grows_with_load() {
    let cost = |report: &Report| stream_cost(report, 0, 0.0);
    let idle = cost(&report(0, 0, 0));
    let decoding = cost(&report(1, 0, 9_000));
    let prefilling = cost(&report(1, 1, 9_000));
    let queued = cost(&Report { waiting: 2, ..report(1, 1, 9_000) });
    let full = cost(&report(1, 0, 87_000));
    assert!(idle < decoding && decoding < prefilling && prefilling < queued && queued < full);
}

#[test]
fn unreported_streams_counted() {
    let report = report(0, 0, 0);
    let without_own = stream_cost(&report, 0, 0.0);
    assert!(stream_cost(&report, 1, 0.0) > without_own);
}

#[test]
fn copy_in_other_dc() {
    let replicas: Vec<Arc<Replica>> =
        [("a", 1), ("b", 2), ("b", 3)].map(|(dc, number)| Arc::new(replica(number, dc))).into();
    let reports = [report(0, 0, 0), report(3, 0, 30_000), report(1, 0, 9_000)];
    let choose = |reports| {
        let reported = replicas.iter().zip(reports);
        placement::choose_copy_holder(reported, &replica(9, "a"), 9_000, &Service::default())
    };
    assert_eq!(&*choose(&reports).unwrap().id, "i-3");
    let full = [report(0, 0, 0), report(3, 0, 87_000), report(1, 0, 87_000)];
    assert_eq!(choose(&full), None);
}

#[test]
fn candidates_local_and_remote() {
    let dcs: Vec<&str> = (0..12).map(|n| if n < 4 { "a" } else { "b" }).collect();
    let catalog = catalog(&dcs);
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let drawn =
            placement::draw_candidates(&catalog, draw(seed, 0), any, Instant::now(), &mut rng);
        let local = drawn.iter().filter(|(_, replica)| &*replica.dc == "a").count();
        assert_eq!((local, drawn.len()), (2, 4));
        let tried = drawn[0].1.id.clone();
        let untried = |replica: &Replica| replica.id != tried;
        let others =
            placement::draw_candidates(&catalog, draw(seed, 9), untried, Instant::now(), &mut rng);
        assert_eq!(others.len(), 11, "a late round draws every replica that was not tried");
    }
}

#[test]
fn ejected_used_when_alone() {
    let (mut catalog, now) = (catalog(&["a"]), Instant::now());
    let key = catalog.key("i-1").unwrap();
    catalog.eject(key, now);
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(placement::draw_candidates(&catalog, draw(1, 0), any, now, &mut rng).len(), 1);
    assert!(placement::choose_replica(&catalog, "s", "a", any, now, &mut rng).is_some());
}

#[test]
fn local_until_slow_or_failing() {
    let (mut catalog, now) = (catalog(&["a", "b"]), Instant::now());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut chosen = |catalog: &Catalog| {
        placement::choose_replica(catalog, "s", "a", any, now, &mut rng).unwrap().1.id.to_string()
    };
    assert_eq!(chosen(&catalog), "i-1");
    let key = catalog.key("i-1").unwrap();
    for _ in 0..20 {
        catalog.record_answer(key, Some(Duration::from_millis(100)), false, now);
    }
    assert_eq!(chosen(&catalog), "i-2");
    for _ in 0..40 {
        catalog.record_answer(key, Some(Duration::from_millis(15)), true, now);
    }
    assert_eq!(chosen(&catalog), "i-2", "fast failures do not make a replica preferable");
}

/// A replica whose queue is full refuses the requests of all daemons, so that another one is chosen
/// until its queue has moved up.
// Guards against a replica that was slow once and then gets no request, and so no sample, for good.
#[test]
fn outdated_latency_measured_again() {
    let (mut catalog, start) = (catalog(&["a", "a"]), Instant::now());
    let keys = [catalog.key("i-1").unwrap(), catalog.key("i-2").unwrap()];
    let mut rng = SmallRng::seed_from_u64(5);
    let mut chosen = |catalog: &Catalog, now| {
        placement::choose_replica(catalog, "s", "a", any, now, &mut rng).unwrap().0
    };
    catalog.record_answer(keys[0], Some(Duration::from_millis(100)), false, start);
    let mut slow_count = 0;
    for second in 0..20 {
        let now = start + Duration::from_secs(second);
        catalog.record_answer(keys[1], Some(Duration::from_millis(10)), false, now);
        for _ in 0..20 {
            if chosen(&catalog, now) == keys[0] {
                slow_count += 1;
                // It is as slow as before.
                catalog.record_answer(keys[0], Some(Duration::from_millis(100)), false, now);
            }
        }
    }
    assert!((2..=4).contains(&slow_count), "measured {slow_count} times in 20 s");
    let now = start + Duration::from_secs(60);
    catalog.record_answer(keys[0], Some(Duration::from_millis(10)), false, now);
    let counts = (0..100).filter(|_| chosen(&catalog, now) == keys[0]).count();
    assert!(counts > 20, "a replica that has become fast is used again: {counts} of 100");
}

#[test]
fn full_replica_avoided() {
    let (mut catalog, now) = (catalog(&["a", "b"]), Instant::now());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut chosen = |catalog: &Catalog, now| {
        placement::choose_replica(catalog, "s", "a", any, now, &mut rng).unwrap().1.id.to_string()
    };
    let key = catalog.key("i-1").unwrap();
    catalog.record_answer(key, Some(Duration::from_millis(20)), false, now);
    catalog.record_full(key, now);
    assert_eq!(chosen(&catalog, now), "i-2");
    assert_eq!(chosen(&catalog, now + Duration::from_millis(100)), "i-1");
}

/// The name of the local replica with the least cost for a stream, by reports of these queues.
fn best_for_stream(catalog: &mut Catalog, waiting: [u32; 2], now: Instant) -> &'static str {
    let mut costs = Vec::new();
    for (number, waiting) in (1..).zip(waiting) {
        let replica = replica(number, "a");
        let key = catalog.key(&replica.id).unwrap();
        let report = Report { waiting, ..report(1, 1, 9_000) };
        catalog.record_waiting(key, waiting);
        let candidate = Candidate { key, replica: &replica, report: &report, cached: 0.0 };
        let request = Request { tokens: 9_000, prompt_units: 1.0, level: None };
        let service = Service::default();
        let forecast = placement::forecast(catalog, candidate, "a", &request, &service, now);
        costs.push(forecast.cost);
    }
    if costs[0] < costs[1] { "i-1" } else { "i-2" }
}

#[test]
fn full_replica_last_for_streams() {
    let (mut catalog, now) = (catalog(&["a", "a"]), Instant::now());
    let key = catalog.key("i-1").unwrap();
    assert_eq!(best_for_stream(&mut catalog, [4, 9], now), "i-1");
    catalog.record_full(key, now);
    assert_eq!(best_for_stream(&mut catalog, [4, 9], now), "i-2", "although its queue is longer");
    assert_eq!(best_for_stream(&mut catalog, [3, 9], now), "i-1", "the queue has moved up");
    assert_eq!(best_for_stream(&mut catalog, [4, 9], now), "i-1", "another request has come");
}

#[test]
fn full_for_a_prompt_time() {
    let (mut catalog, now) = (catalog(&["a", "a"]), Instant::now());
    let prompt_time = Duration::from_millis(400);
    catalog.record_typical(&"s".into(), |typical| {
        typical.record_prompt_time(prompt_time, 1.0, 1.0);
    });
    catalog.record_full(catalog.key("i-1").unwrap(), now);
    let before = now + prompt_time - Duration::from_millis(1);
    assert_eq!(best_for_stream(&mut catalog, [0, 9], before), "i-2");
    assert_eq!(best_for_stream(&mut catalog, [0, 9], now + prompt_time), "i-1");
}

#[test]
fn repeat_offered_to_same() {
    let dcs: Vec<&str> = (0..60).map(|n| if n < 20 { "a" } else { "b" }).collect();
    let catalog = catalog(&dcs);
    let now = Instant::now();
    let drawn = |affinity: u64, seed: u64| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let drawn = placement::draw_candidates(&catalog, draw(affinity, 0), any, now, &mut rng);
        drawn.into_iter().map(|(_, replica)| replica.id.clone()).collect::<Vec<_>>()
    };
    let mut counts = HashMap::new();
    for affinity in 0..400 {
        let (first, repeated) = (drawn(affinity, 1), drawn(affinity, 2));
        let common = first.iter().filter(|id| repeated.contains(id)).count();
        assert!(common >= 3, "{first:?} and {repeated:?}, by another daemon");
        for id in first {
            *counts.entry(id).or_insert(0) += 1;
        }
    }
    assert_eq!(counts.len(), 60, "every replica is a candidate of some request");
    let most = counts.values().max().unwrap();
    // 800 local candidates for 20 replicas, and 800 remote ones for 40.
    assert!(*most < 80, "one replica is a candidate of {most} requests");
}

#[test]
fn hot_key_spreads() {
    let dcs = vec!["b"; 60];
    let catalog = catalog(&dcs);
    let mut drawn = HashSet::new();
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let candidates =
            placement::draw_candidates(&catalog, draw(7, 0), any, Instant::now(), &mut rng);
        assert_eq!(candidates.len(), 4);
        drawn.extend(candidates.into_iter().map(|(_, replica)| replica.id.clone()));
    }
    assert!(drawn.len() > 40, "requests with one key are offered to {} replicas", drawn.len());
}

#[test]
fn cached_prompt_preferred() {
    let cost = |running, cached| stream_cost(&report(running, 0, 0), 0, cached);
    assert!(cost(3, 1.0) < cost(0, 0.0), "the prompt need not be read again");
    assert!(cost(8, 1.0) > cost(0, 0.0), "but not at any price");
    assert!(cost(3, 0.02) > cost(0, 0.0), "a shared part alone counts little");
}

#[test]
fn cache_counts_from_front() {
    let part = |id: &str, tokens| Part { id: id.into(), tokens };
    let prompt = [part("shared", 200), part("own", 600)];
    let share = |held: &[(&str, u64)]| {
        let held = held.iter().map(|(id, tokens)| (Name::from(*id), *tokens)).collect();
        call::cached_share(&prompt, &held)
    };
    assert_eq!(share(&[("shared", 200), ("own", 600)]), 1.0);
    assert_eq!(share(&[("shared", 200), ("own", 200)]), 0.5);
    assert_eq!(share(&[("own", 600)]), 0.0);
    assert_eq!(share(&[("shared", 100), ("own", 600)]), 0.125);
    assert_eq!(call::cached_share(&[], &HashMap::new()), 0.0);
}

#[test]
fn open_slot_offered() {
    let mut catalog = catalog(&["a", "b", "c"].repeat(20));
    let now = Instant::now();
    let key = catalog.key("i-41").expect("listed");
    // The only daemon has a slot each second, the first one now.
    catalog.set_limit(key, Some(1.0 / 0.7), 1.0, now, 0.0);
    (0..300).for_each(|_| catalog.record_demand(&"s".into(), now));
    for affinity in 0..20 {
        let mut rng = SmallRng::seed_from_u64(affinity);
        let drawn = placement::draw_candidates(&catalog, draw(affinity, 0), any, now, &mut rng);
        assert!(drawn.iter().any(|(drawn, _)| *drawn == key), "a slot is lost if it is not used");
        assert_eq!(drawn.len(), 4);
    }
    assert!(catalog.take_slot(key, now));
    let is_drawn = |affinity| {
        let mut rng = SmallRng::seed_from_u64(affinity);
        let drawn = placement::draw_candidates(&catalog, draw(affinity, 0), any, now, &mut rng);
        drawn.iter().any(|(drawn, _)| *drawn == key)
    };
    let times = (0..200).filter(|affinity| is_drawn(*affinity)).count();
    assert!((1..20).contains(&times), "without a slot it is drawn at random only: {times} of 200");
}

#[test]
fn light_demand_needs_no_slot() {
    let mut catalog = catalog(&["a"; 4]);
    let now = Instant::now();
    let key = catalog.key("i-1").expect("listed");
    // Ten daemons share the limit; the first slot of this one is seconds away.
    catalog.set_limit(key, Some(1.0), 10.0, now, 0.9);
    assert!(catalog.take_slot(key, now));
    assert!(catalog.take_slot(key, now), "nobody presses");
    (0..10).for_each(|_| catalog.record_demand(&"s".into(), now));
    assert!(!catalog.take_slot(key, now), "ten such daemons send more than half of the limit");
    assert!(catalog.take_slot(key, now + Duration::from_secs(30)), "the demand is over");
}

#[test]
fn further_candidates_unasked() {
    let dcs: Vec<&str> = (0..30).map(|n| ["a", "b", "c"][n % 3]).collect();
    let mut catalog = catalog(&dcs);
    let now = Instant::now();
    catalog.eject(catalog.key("i-30").unwrap(), now);
    let mut seen = HashSet::new();
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first = placement::draw_candidates(&catalog, draw(seed, 0), any, now, &mut rng);
        let asked: Vec<_> = first.iter().map(|(key, _)| *key).collect();
        let further = placement::draw_further(&catalog, "s", &asked, any, now, &mut rng);
        assert_eq!(further.len(), 8);
        assert!(further.iter().all(|(key, _)| !asked.contains(key)), "no replica is asked twice");
        seen.extend(further.into_iter().map(|(_, replica)| replica.id.clone()));
    }
    assert_eq!(seen.len(), 29, "all data centres are asked, ejected replicas are not");
}

#[test]
fn further_candidates_end() {
    let catalog = catalog(&["a", "b"]);
    let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(1));
    let asked = [catalog.key("i-1").unwrap()];
    assert_eq!(placement::draw_further(&catalog, "s", &asked, any, now, &mut rng).len(), 1);
    let excluded = |replica: &Replica| &*replica.id != "i-2";
    assert!(placement::draw_further(&catalog, "s", &asked, excluded, now, &mut rng).is_empty());
}
