//! How far the times of requests exceed what was expected of each.

/// Number of the latest requests that count.
const SAMPLES: usize = 40;
/// Share of them that end within [`Spread::upper()`].
const UPPER_SHARE: f64 = 0.9;
/// Number of requests from which on they alone decide.
const MIN_SAMPLES: usize = 10;
/// Ratio assumed at least before that.
const DEFAULT_RATIO: f64 = 1.3;

/// Ratios of the times of the latest requests to the expected ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Spread {
    ratios: [f64; SAMPLES],
    /// Number of requests so far.
    count: usize,
}

impl Default for Spread {
    fn default() -> Self {
        Self { ratios: [0.0; SAMPLES], count: 0 }
    }
}

impl Spread {
    /// Adds a request that took `ratio` times the expected time. What is not a number, or is
    /// infinite, is no sample.
    pub(super) fn record(&mut self, ratio: f64) {
        if ratio.is_finite() {
            self.ratios[self.count % SAMPLES] = ratio;
            self.count += 1;
        }
    }

    /// The ratio that few of the latest requests exceeded; at least 1.
    pub(super) fn upper(&self) -> f64 {
        let mut ratios = self.ratios;
        let ratios = &mut ratios[..self.count.min(SAMPLES)];
        let least = if ratios.len() < MIN_SAMPLES { DEFAULT_RATIO } else { 1.0 };
        if ratios.is_empty() {
            return least;
        }
        let rank = (ratios.len() as f64 * UPPER_SHARE).ceil() as usize - 1;
        let (_, upper, _) = ratios.select_nth_unstable_by(rank, f64::total_cmp);
        upper.max(least)
    }
}
