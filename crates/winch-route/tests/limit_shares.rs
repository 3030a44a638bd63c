//! Daemons that obey a common limit without consulting each other stay within it together.

use std::time::Duration;

use proptest::prelude::*;
use winch_route::{
    hash,
    throttle::{Demand, Throttle},
};

const STEP: Duration = Duration::from_millis(50);
const WINDOW: Duration = Duration::from_secs(4);

fn phase(seed: u64) -> f64 {
    (hash::mix(seed) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Largest number of requests in a window under a limit, in requests a second.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

/// Times at which `daemons` daemons send from `start` to `end`, each as often as it may.
fn send_times(
    limit: f64,
    daemons: u64,
    seed: u64,
    start: Duration,
    end: Duration,
) -> Vec<Duration> {
    let new = |number| {
        let phase = phase(seed.wrapping_add(number));
        Throttle::new(limit, daemons as f64, Duration::ZERO, phase)
    };
    let mut throttles: Vec<Throttle> = (0..daemons).map(new).collect();
    let mut sent = Vec::new();
    let mut now = start;
    while now < end {
        for throttle in &mut throttles {
            while throttle.take(now) {
                sent.push(now);
            }
        }
        now += STEP;
    }
    sent
}

fn busiest_window(sent: &[Duration]) -> usize {
    let count = |start: &Duration| {
        sent.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    sent.iter().map(count).max().unwrap_or_default()
}

#[test]
fn share_is_used() {
    for (limit, daemons) in [(1.0, 12), (20.0, 12), (3.0, 300)] {
        let sent = send_times(limit, daemons, 24, Duration::ZERO, Duration::from_secs(100));
        let used = sent.len() as f64 / (100.0 * limit);
        assert!((0.6..0.8).contains(&used), "{used} of {limit}/s by {daemons} daemons");
    }
}

#[test]
fn zero_limit_waits() {
    let mut throttle = Throttle::new(0.0, 1.0, Duration::ZERO, 0.5);
    assert!(!throttle.take(Duration::from_secs(60)));
    throttle.adjust(10.0, 1.0, Duration::from_secs(60), 0.5);
    assert!(throttle.take(Duration::from_secs(61)), "a raised limit is used at once");
}

#[test]
fn lost_slot_not_made_up() {
    let mut throttle = Throttle::new(1.0, 10.0, Duration::ZERO, 0.0);
    assert!(throttle.is_open(Duration::ZERO));
    assert!(!throttle.is_open(Duration::from_secs(1)), "the slot is lost");
    assert!(!throttle.take(Duration::from_secs(14)));
    assert!(throttle.take(Duration::from_millis(14_300)), "the next one comes in its time");
    assert!(!throttle.take(Duration::from_millis(14_300)));
}

/// Requests that reach the busiest upstream in a window if `daemons` daemons send `rate` requests a
/// second in all, six times as many from 20 s to 30 s, each to a random upstream that has a slot or
/// whose limit does not bind.
fn busiest_upstream(limit: f64, daemons: u64, upstreams: u64, rate: f64, seed: u64) -> usize {
    let random = |number: u64| phase(seed.wrapping_mul(31).wrapping_add(number));
    let new = |number| Throttle::new(limit, daemons as f64, Duration::ZERO, random(number));
    let mut throttles: Vec<Throttle> = (0..daemons * upstreams).map(new).collect();
    let mut demands = vec![Demand::default(); daemons as usize];
    let mut sent = vec![Vec::new(); upstreams as usize];
    let mut number = 1_000_000;
    for step in 0..600_u32 {
        let now = STEP * step;
        let burst = if now >= Duration::from_secs(20) { 6.0 } else { 1.0 };
        for daemon in 0..daemons {
            number += 2;
            if random(number) >= rate * burst * STEP.as_secs_f64() / daemons as f64 {
                continue;
            }
            let demand = &mut demands[daemon as usize];
            demand.record(now);
            let demand = demand.rate(now) / upstreams as f64;
            let first = (random(number + 1) * upstreams as f64) as u64;
            let is_sent = |upstream: &u64| {
                let throttle = &mut throttles[(daemon * upstreams + upstream) as usize];
                throttle.take(now) || !throttle.binds(demand)
            };
            if let Some(upstream) = (0..upstreams).map(|n| (first + n) % upstreams).find(is_sent) {
                sent[upstream as usize].push(now);
            }
        }
    }
    sent.iter().map(|sent| busiest_window(sent)).max().unwrap_or_default()
}

#[test]
fn burst_after_light_load() {
    for (limit, daemons, upstreams) in [(1.0, 12, 25), (1.0, 130, 130), (4.0, 60, 40)] {
        let rate = 0.25 * limit * upstreams as f64;
        for seed in 0..8 {
            let most = busiest_upstream(limit, daemons, upstreams, rate, seed);
            assert!(most as f64 <= allowed(limit), "{most} under {limit}/s, {daemons} daemons");
        }
    }
}

fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(24);
    ProptestConfig { rng_seed, cases: 64, ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    /// All daemons begin to press at once, after the limit has been known for a while.
    #[test]
    fn burst_stays_within(
        seed: u64,
        daemons in 1..400_u64,
        limit in 0.5..40.0_f64,
        idle in 0..40_u64,
    ) {
        let start = Duration::from_secs(idle);
        let sent = send_times(limit, daemons, seed, start, start + Duration::from_secs(12));
        let most = busiest_window(&sent);
        prop_assert!(most as f64 <= allowed(limit), "{most} requests in {WINDOW:?}");
    }
}
