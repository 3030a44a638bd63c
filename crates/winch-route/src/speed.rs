//! Speeds of the replicas of a service, measured by the gaps between the events of streams.
//!
//! A [`Meter`] yields [`Level`]s of the gaps of one stream. An [`Estimator`] combines those of all
//! streams into one estimate for each replica, relative to the median of the service. A replica
//! counts as typical unless its estimate differs from the median by more than the noise: by half a
//! doubling and by five standard errors of an estimate.

use std::{collections::HashMap, hash::Hash, time::Duration};

/// Least number of events over which a gap is measured.
const MIN_WINDOW: usize = 4;
/// Largest number of events over which a gap is measured.
const MAX_WINDOW: usize = 16;
/// Time over which a gap is measured, unless that takes too many events. A daemon that shares a CPU
/// may be paused for 100 ms and then reads events together that were made at different times.
const MIN_SPAN: Duration = Duration::from_millis(200);
/// Number of gaps in one sample. A replica gets few streams, so a long stream yields several
/// samples.
const SAMPLE_GAPS: usize = 24;
/// The quantile that makes the sample, as the divisor of the number of gaps: the 20th percentile.
/// Slower gaps include the prefill of other requests.
const QUANTILE_DIVISOR: usize = 5;

/// Number of samples from which a replica has an estimate.
const MIN_SAMPLES: u32 = 6;
/// Weight of the newest sample in an estimate.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Largest deviation of a sample that counts, in doublings.
const MAX_DEVIATION: f64 = 0.5;
/// Number of samples in a row beyond [`MAX_DEVIATION`] on the same side from which the largest
/// deviation doubles with each further one: the speed has changed.
const CHANGE_SAMPLES: u32 = 5;
/// Number of samples in a row that are faster by more than [`MAX_DEVIATION`] from which the newest
/// sample has [`FASTER_WEIGHT`]. Load slows streams down, but nothing speeds them up for a while.
const FASTER_SAMPLES: i32 = 3;
/// Weight of the newest sample while a replica has become faster.
const FASTER_WEIGHT: f64 = 0.25;
/// Weight of the newest sample in the spread of the samples.
const SPREAD_WEIGHT: f64 = 0.02;
/// Spread of the samples before it is known, in doublings.
const ASSUMED_SPREAD: f64 = 0.4;
/// Ratio of the standard deviation to the mean absolute deviation of a normal distribution.
const DEVIATION_RATIO: f64 = 1.25;
/// Difference from the median from which a replica is not typical, in doublings. A smaller one may
/// come from the load, and is not worth a change of the placement.
const MIN_DIFFERENCE: f64 = 0.5;
/// Standard errors of an estimate by which a replica that is not typical differs.
const NOISE_FACTOR: f64 = 5.0;
/// Share of the difference that made a replica not typical below which it is typical again.
const RETURN_SHARE: f64 = 0.5;
/// Time without a sample after which half of a difference is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(300);
/// Number of half-lives without a sample after which an estimate is removed.
const MAX_HALF_LIVES: f64 = 8.0;

/// A gap between events in sixteenths of a doubling, so that it fits into a byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level(pub u8);

impl Level {
    /// Levels of a doubling.
    const STEPS: f64 = 16.0;
    /// The gap at level zero, in seconds; the highest level is 3.1 s.
    const BASE_S: f64 = 50e-6;

    /// The level of a gap; gaps out of range have the nearest level.
    pub fn from_gap(gap: Duration) -> Self {
        Self::from_doublings((gap.as_secs_f64() / Self::BASE_S).log2())
    }

    fn from_doublings(doublings: f64) -> Self {
        // The conversion saturates.
        Self((doublings * Self::STEPS).round() as u8)
    }

    /// Doublings of the gap at level zero.
    fn doublings(self) -> f64 {
        f64::from(self.0) / Self::STEPS
    }

    /// The ratio of this gap to `other`.
    pub fn ratio(self, other: Self) -> f64 {
        (self.doublings() - other.doublings()).exp2()
    }
}

/// Measures the gaps between the events of one stream at one replica.
#[derive(Clone, Debug)]
pub struct Meter {
    /// Times of the last events, as a ring, in microseconds of a clock that wraps around.
    times: [u32; MAX_WINDOW],
    /// Number of events so far.
    events: usize,
    /// Gaps since the last sample.
    gaps: [Level; SAMPLE_GAPS],
    len: usize,
}

impl Default for Meter {
    fn default() -> Self {
        Self { times: [0; MAX_WINDOW], events: 0, gaps: [Level(0); SAMPLE_GAPS], len: 0 }
    }
}

impl Meter {
    /// Records `count` events that were received together at `now`; returns a sample if there are
    /// enough gaps.
    pub fn record(&mut self, count: usize, now: Duration) -> Option<Level> {
        let now = now.as_micros() as u32;
        let mut sample = None;
        for _ in 0..count {
            let gap = self.gap_before(now);
            self.times[self.events % MAX_WINDOW] = now;
            self.events += 1;
            let Some(gap) = gap else { continue };
            self.gaps[self.len] = Level::from_gap(gap);
            self.len += 1;
            if self.len == SAMPLE_GAPS {
                sample = self.take();
            }
        }
        sample
    }

    /// The mean gap of the last events before one at `now`; `None` if they are too few.
    fn gap_before(&self, now: u32) -> Option<Duration> {
        let span = |window: usize| {
            let time = self.times[(self.events - window) % MAX_WINDOW];
            Duration::from_micros(now.wrapping_sub(time).into())
        };
        let mut windows = MIN_WINDOW..=MAX_WINDOW.min(self.events);
        let window = windows.find(|window| *window == MAX_WINDOW || span(*window) >= MIN_SPAN)?;
        Some(span(window) / window as u32)
    }

    fn take(&mut self) -> Option<Level> {
        let len = std::mem::take(&mut self.len);
        let (_, quantile, _) = self.gaps[..len].select_nth_unstable(len / QUANTILE_DIVISOR);
        Some(*quantile)
    }
}

/// The estimate of one replica.
#[derive(Clone, Debug)]
struct Estimate {
    /// Moving average of the samples, in doublings; of the first ones the second lowest.
    mean: f64,
    first: Vec<Level>,
    samples: u32,
    /// Samples in a row beyond the largest deviation, negative for those below the mean.
    run: i32,
    sampled_at: Duration,
    /// Whether the replica is not typical.
    differs: bool,
    /// Whether another daemon made the estimate and no sample followed.
    is_restored: bool,
}

impl Estimate {
    /// An estimate with `samples` samples at `level`.
    fn new(level: Level, samples: u32, now: Duration) -> Self {
        Self {
            mean: level.doublings(),
            first: Vec::new(),
            samples,
            run: 0,
            sampled_at: now,
            differs: false,
            is_restored: false,
        }
    }

    /// Adds a sample; returns its deviation once there is an estimate.
    fn add(&mut self, level: Level, now: Duration) -> Option<f64> {
        self.sampled_at = now;
        self.is_restored = false;
        self.samples = self.samples.saturating_add(1);
        if self.samples <= MIN_SAMPLES {
            self.first.push(level);
            self.first.sort_unstable();
            // Most of the outliers are too slow, and several of a few samples may be.
            self.mean = self.first[self.first.len().min(2) - 1].doublings();
            if self.samples == MIN_SAMPLES {
                self.first = Vec::new();
            }
            return None;
        }
        let deviation = level.doublings() - self.mean;
        if deviation.abs() <= MAX_DEVIATION {
            self.run = 0;
        } else if deviation > 0.0 {
            self.run = self.run.max(0).saturating_add(1);
        } else {
            self.run = self.run.min(0).saturating_sub(1);
        }
        let doublings = (self.run.unsigned_abs() + 1).saturating_sub(CHANGE_SAMPLES).min(8);
        let largest = MAX_DEVIATION * f64::from(1 << doublings);
        let weight = if self.run <= -FASTER_SAMPLES { FASTER_WEIGHT } else { SAMPLE_WEIGHT };
        self.mean += weight * deviation.clamp(-largest, largest);
        Some(deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION))
    }

    fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Difference from `typical` in doublings, less what is forgotten.
    fn difference(&self, typical: f64, now: Duration) -> f64 {
        (self.mean - typical) * (-self.half_lives(now)).exp2()
    }

    fn half_lives(&self, now: Duration) -> f64 {
        now.saturating_sub(self.sampled_at).as_secs_f64() / HALF_LIFE.as_secs_f64()
    }
}

/// The speeds of the replicas of one service.
#[derive(Clone, Debug)]
pub struct Estimator<K> {
    estimates: HashMap<K, Estimate>,
    /// Moving average of the absolute deviation of samples from their estimate.
    spread: f64,
    /// The median of the estimates.
    typical: Option<f64>,
    /// Distance of the upper quartile of the estimates from the lower one.
    quartile_distance: f64,
    now: Duration,
}

impl<K> Default for Estimator<K> {
    fn default() -> Self {
        let spread = ASSUMED_SPREAD / DEVIATION_RATIO;
        Self {
            estimates: HashMap::new(),
            spread,
            typical: None,
            quartile_distance: 0.0,
            now: Duration::ZERO,
        }
    }
}

impl<K: Copy + Eq + Hash> Estimator<K> {
    /// Adds a sample of a stream at replica `key`.
    pub fn record(&mut self, key: K, level: Level, now: Duration) {
        let estimate = self.estimates.entry(key).or_insert_with(|| Estimate::new(level, 0, now));
        if let Some(deviation) = estimate.add(level, now) {
            self.spread += SPREAD_WEIGHT * (deviation.abs() - self.spread);
        }
    }

    /// Restores an estimate that another daemon made, unless there are samples; `differs` tells
    /// whether it is not typical.
    pub fn restore(&mut self, key: K, level: Level, differs: bool, now: Duration) {
        let restored =
            Estimate { differs, is_restored: true, ..Estimate::new(level, MIN_SAMPLES, now) };
        let estimate = self.estimates.entry(key).or_insert_with(|| restored.clone());
        if estimate.is_restored && differs {
            *estimate = restored;
        }
    }

    /// Updates the median and which replicas differ from it.
    pub fn evaluate(&mut self, now: Duration) {
        self.now = now;
        self.estimates.retain(|_, estimate| estimate.half_lives(now) < MAX_HALF_LIVES);
        let known = self.estimates.values().filter(|estimate| estimate.is_known());
        let mut means: Vec<f64> = known.map(|estimate| estimate.mean).collect();
        // The first few of many replicas may be of one kind.
        if means.len() < 2 || means.len() * 2 < self.estimates.len() {
            return;
        }
        means.sort_unstable_by(f64::total_cmp);
        let typical = median(&means);
        let quartile = means.len() / 4;
        self.quartile_distance = means[means.len() - 1 - quartile] - means[quartile];
        self.typical = Some(typical);
        let error = self.spread * DEVIATION_RATIO;
        for estimate in self.estimates.values_mut().filter(|estimate| estimate.is_known()) {
            let share =
                (SAMPLE_WEIGHT / (2.0 - SAMPLE_WEIGHT)).max(1.0 / f64::from(estimate.samples));
            let least = MIN_DIFFERENCE.max(NOISE_FACTOR * error * share.sqrt());
            let least = if estimate.differs { RETURN_SHARE * least } else { least };
            estimate.differs = estimate.difference(typical, now).abs() >= least;
        }
    }

    /// The typical gap; `None` if no replica differs from it.
    pub fn typical(&self) -> Option<Level> {
        let differs = self.estimates.values().any(|estimate| estimate.differs);
        self.typical.filter(|_| differs).map(Level::from_doublings)
    }

    /// The replicas that differ from the typical one, with their gaps.
    pub fn differing(&self) -> impl Iterator<Item = (K, Level)> {
        let keys = self.estimates.iter();
        keys.filter_map(|(key, estimate)| Some((*key, self.differing_level(estimate)?)))
    }

    fn differing_level(&self, estimate: &Estimate) -> Option<Level> {
        let typical = self.typical.filter(|_| estimate.differs)?;
        Some(Level::from_doublings(typical + estimate.difference(typical, self.now)))
    }

    /// Time that the replica takes for the same work, relative to the typical one; 1 if it does not
    /// differ.
    pub fn slowness(&self, key: K) -> f64 {
        let level = self.estimates.get(&key).and_then(|estimate| self.differing_level(estimate));
        level.zip(self.typical()).map_or(1.0, |(level, typical)| level.ratio(typical))
    }

    /// Ratio of the upper quartile of the estimates to the lower one.
    pub fn quartile_ratio(&self) -> f64 {
        self.quartile_distance.exp2()
    }

    /// Number of replicas with an estimate.
    pub fn known(&self) -> usize {
        self.estimates.values().filter(|estimate| estimate.is_known()).count()
    }
}

/// The median of sorted values, of which there is at least one.
fn median(values: &[f64]) -> f64 {
    let middle = values.len() / 2;
    if values.len() % 2 == 1 {
        values[middle]
    } else {
        f64::midpoint(values[middle - 1], values[middle])
    }
}
