//! Computes the results of one simulation.

use hdrhistogram::Histogram;
use winch_route::urgency::{self, Urgency};

use super::{Job, Scenario, Simulation, State, TEAMS};
use crate::table;

impl Simulation<'_> {
    /// Returns the values of a table row, in the order of its columns from `goodput` on.
    pub(super) fn result(&self, end: f64) -> [f64; 10] {
        let options = urgency::Options::default();
        // Calls that arrive in the last quarter may still be running at the end.
        let horizon = end - f64::from(self.config.seconds) / 4.0;
        let span = match self.scenario {
            Scenario::Spike => end * 0.8..end * 0.9,
            _ => 0.0..horizon,
        };
        let counted: Vec<&Job> =
            self.jobs.iter().filter(|job| span.contains(&job.arrived)).collect();
        let first_token_limit = |job: &Job| {
            let urgency = if job.long { Urgency::Long } else { Urgency::Short };
            options.max_wait(urgency).as_secs_f64()
        };
        let is_good = |job: &&&Job| {
            let in_time = job
                .first_token_at
                .is_some_and(|first| first - job.arrived <= first_token_limit(job));
            in_time && (job.state == State::Done || job.state == State::Running && job.long)
        };
        let total = counted.len().max(1) as f64;
        let goodput = counted.iter().filter(is_good).count() as f64 / total;
        let mut firsts: Histogram<u64> = table::milliseconds();
        for job in &counted {
            if let Some(first) = job.first_token_at {
                firsts.saturating_record(((first - job.arrived) * 1_000.0) as u64);
            }
        }
        let refused = counted.iter().filter(|job| job.state == State::Refused).count() as f64;
        let long: Vec<&&Job> = counted.iter().filter(|job| job.long).collect();
        let long_done = long.iter().filter(|job| matches!(job.state, State::Done | State::Running));
        let served: Vec<f64> = (0..TEAMS)
            .map(|team| {
                let of_team: Vec<&&Job> = counted.iter().filter(|job| job.team == team).collect();
                of_team.iter().filter(|job| is_good(job)).count() as f64
                    / of_team.len().max(1) as f64
            })
            .collect();
        let (prefilled, cached) = self.engines.iter().fold((0.0, 0.0), |(p, c), engine| {
            (p + engine.prefilled_tokens, c + engine.cached_tokens)
        });
        let produced: f64 = self.jobs.iter().map(|job| job.produced).sum();
        let wasted: f64 = self
            .jobs
            .iter()
            .map(|job| {
                let missed = job.state == State::Done
                    && job
                        .first_token_at
                        .is_none_or(|first| first - job.arrived > first_token_limit(job));
                job.wasted + if missed { job.produced } else { 0.0 }
            })
            .sum();
        [
            goodput,
            firsts.value_at_quantile(0.5) as f64,
            firsts.value_at_quantile(0.95) as f64,
            self.gaps.value_at_quantile(0.95) as f64,
            refused / total,
            long_done.count() as f64 / long.len().max(1) as f64,
            cached / (cached + prefilled).max(1.0),
            jain(&served),
            wasted / produced.max(1.0),
            self.retries as f64,
        ]
    }
}

/// Returns Jain's fairness index.
fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares > 0.0 { sum * sum / (values.len() as f64 * squares) } else { 1.0 }
}
