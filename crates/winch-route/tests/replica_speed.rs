//! How the speeds of replicas are found from the gaps of streams, and told from noise.

use std::time::Duration;

use winch_route::speed::{Estimator, Level, Meter};

/// Typical gap between events, in milliseconds.
const GAP_MS: f64 = 26.0;

struct Random(u64);

impl Random {
    /// Uniform from 0 to 1.
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (winch_route::hash::mix(self.0) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A sample of a replica with this factor: about a sixth of noise in both directions, and 15%
    /// of the samples 2.5 times too slow.
    fn sample(&mut self, factor: f64) -> Level {
        let noise: f64 = (0..4).map(|_| self.next() - 0.5).sum();
        let outlier = if self.next() < 0.15 { 2.5 } else { 1.0 };
        let gap_ms = GAP_MS * factor * outlier * (0.4 * noise).exp2();
        Level::from_gap(Duration::from_secs_f64(gap_ms / 1_000.0))
    }
}

/// A service whose replicas are sampled in random order, ten samples a second.
struct Service {
    factors: Vec<f64>,
    random: Random,
    estimator: Estimator<usize>,
    samples: usize,
}

impl Service {
    fn new(factors: Vec<f64>, seed: u64) -> Self {
        let random = Random(seed.wrapping_mul(0x2545_f491_4f6c_dd1d));
        Self { factors, random, estimator: Estimator::default(), samples: 0 }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(100) * u32::try_from(self.samples).expect("few")
    }

    fn sample(&mut self, replica: usize) {
        self.samples += 1;
        let level = self.random.sample(self.factors[replica]);
        self.estimator.record(replica, level, self.now());
        self.estimator.evaluate(self.now());
    }

    fn sample_any(&mut self) {
        let replica = (self.random.next() * self.factors.len() as f64) as usize;
        self.sample(replica);
    }

    /// One more sample of every replica.
    fn sample_each(&mut self) {
        (0..self.factors.len()).for_each(|replica| self.sample(replica));
    }

    fn slowness(&self, replica: usize) -> f64 {
        self.estimator.slowness(replica)
    }
}

/// Factors 0.7, 0.7 and 1.7 in turn.
fn unequal(replicas: usize) -> Vec<f64> {
    (0..replicas).map(|replica| if replica % 3 == 2 { 1.7 } else { 0.7 }).collect()
}

#[test]
fn slow_replicas_found() {
    let (mut right, mut total) = (0, 0);
    for seed in 0..50 {
        let mut service = Service::new(unequal(30), seed);
        (0..8).for_each(|_| service.sample_each());
        for replica in 0..30 {
            let is_slow = service.slowness(replica) > 1.6;
            right += usize::from(is_slow == (replica % 3 == 2));
            total += 1;
        }
    }
    println!("on the right side after 8 samples each: {right} of {total}");
    assert!(right * 100 >= total * 98, "{right} of {total}");
}

#[test]
fn factors_estimated() {
    for seed in 0..20 {
        let mut service = Service::new(unequal(12), seed);
        (0..100).for_each(|_| service.sample_each());
        for replica in 0..12 {
            let expected = if replica % 3 == 2 { 1.7 / 0.7 } else { 1.0 };
            let ratio = service.slowness(replica) / expected;
            assert!((0.75..1.33).contains(&ratio), "seed {seed}, replica {replica}: {ratio}");
        }
    }
}

#[test]
fn equal_replicas_typical() {
    let mut failed = Vec::new();
    for seed in 0..200 {
        let mut service = Service::new(vec![1.0; 30], seed);
        for sample in 0..6_000 {
            service.sample_any();
            if service.estimator.typical().is_some() {
                failed.push((seed, sample));
                break;
            }
        }
    }
    println!("seeds of equal replicas that were found to differ: {failed:?} of 200");
    assert!(failed.len() <= 4, "{failed:?}");
}

#[test]
fn slowed_replica_found_and_forgiven() {
    let (mut found, mut forgiven) = (0, 0);
    for seed in 0..40 {
        let mut service = Service::new(vec![1.0; 12], seed);
        (0..40).for_each(|_| service.sample_each());
        service.factors[3] = 4.0;
        let mut count = 0;
        while service.slowness(3) < 2.0 {
            service.sample(3);
            count += 1;
            assert!(count < 40, "seed {seed}: not found");
        }
        found = found.max(count);
        service.factors[3] = 1.0;
        count = 0;
        while service.slowness(3) != 1.0 {
            service.sample(3);
            count += 1;
            assert!(count < 40, "seed {seed}: not forgiven");
        }
        forgiven = forgiven.max(count);
    }
    println!("at most {found} samples until it counts twice as slow, {forgiven} until typical");
}

#[test]
fn difference_forgotten_without_samples() {
    let mut service = Service::new(vec![1.0, 1.0, 1.0, 4.0], 1);
    (0..20).for_each(|_| service.sample_each());
    let known = service.slowness(3);
    assert!(known > 3.0, "{known}");
    let now = service.now();
    service.estimator.evaluate(now + Duration::from_secs(300));
    let later = service.slowness(3);
    assert!((1.5..known * 0.7).contains(&later), "{later}");
    service.estimator.evaluate(now + Duration::from_secs(3_000));
    assert_eq!(service.slowness(3), 1.0);
    assert_eq!(service.estimator.known(), 0, "estimates without samples take no memory");
}

#[test]
fn few_samples_typical() {
    let mut service = Service::new(unequal(6), 7);
    (0..4).for_each(|_| service.sample_each());
    assert!((0..6).all(|replica| service.slowness(replica) == 1.0));
    let mut alone = Service::new(vec![9.0], 7);
    (0..40).for_each(|_| alone.sample_each());
    assert_eq!(alone.slowness(0), 1.0, "one replica is typical");
}

#[test]
fn restored_estimates_used() {
    let mut service = Service::new(unequal(9), 3);
    (0..30).for_each(|_| service.sample_each());
    let (typical, now) = (service.estimator.typical().expect("they differ"), service.now());
    let mut next = Estimator::default();
    for (replica, level) in service.estimator.differing() {
        next.restore(replica, level, true, now);
    }
    for replica in 0..9 {
        next.restore(replica, typical, false, now);
    }
    next.evaluate(now);
    for replica in 0..9 {
        assert_eq!(next.slowness(replica), service.slowness(replica), "replica {replica}");
    }
}

/// Feeds a meter with the arrival times of single events; returns its samples.
fn measure(arrivals_ms: impl IntoIterator<Item = u64>) -> Vec<Level> {
    let mut meter = Meter::default();
    let mut samples: Vec<Level> = Vec::new();
    for at in arrivals_ms {
        samples.extend(meter.record(1, Duration::from_millis(at)));
    }
    samples
}

fn level(ms: u64) -> Level {
    Level::from_gap(Duration::from_millis(ms))
}

#[test]
fn even_stream_measured() {
    assert_eq!(measure((0..34).map(|event| event * 20)), [level(20)], "early sample");
    assert_eq!(
        measure((0..130).map(|event| event * 20)),
        [level(20); 5],
        "one sample for each 24 gaps"
    );
    assert_eq!(measure((0..33).map(|event| event * 20)), [], "too few events");
}

#[test]
fn prefill_ignored() {
    // Other requests are prefilled for most of the time, in turns of 8 events.
    let gap = |event: u64| if event % 24 < 8 { 180 } else { 20 };
    let mut at = 0;
    let arrivals = (0..130).map(|event| {
        at += gap(event);
        at
    });
    let samples = measure(arrivals);
    assert!(samples.iter().all(|sample| sample.ratio(level(20)) < 1.1), "{samples:?}");
}

#[test]
fn batched_reads_measured() {
    // The daemon reads only every 100 ms, several events at once.
    for gap in [14, 18, 22, 44] {
        let arrivals = (0..130_u64).map(|event| (event * gap / 100 + 1) * 100);
        for sample in measure(arrivals) {
            let ratio = sample.ratio(level(gap));
            assert!((0.75..1.34).contains(&ratio), "{gap} ms measured {ratio} times as long");
        }
    }
}

#[test]
fn events_counted_not_reads() {
    let mut meter = Meter::default();
    let samples: Vec<Level> =
        (0..20).filter_map(|read| meter.record(4, Duration::from_millis(80 * read))).collect();
    assert_eq!(samples, [level(20); 2], "one sample for each 24 gaps of 80 events");
}
