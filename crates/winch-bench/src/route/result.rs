//! Computes the values of a table row from the calls of one simulation.

use hdrhistogram::Histogram;
use winch_route::urgency::{self, Urgency};

use super::{Job, Scenario, Simulation, State, TEAMS};
use crate::table;

impl Simulation<'_> {
    /// Returns the values of a table row, in the order of its columns from `goodput` on.
    pub(super) fn result(&self, end: f64) -> [f64; 10] {
        let options = urgency::Options::default();
        // Calls that arrive in the last quarter are not counted, as they may still be running
        // at the end.
        let last_quarter_start = end - f64::from(self.config.seconds) / 4.0;
        let counted_arrivals = match self.scenario {
            Scenario::Spike => end * 0.8..end * 0.9,
            _ => 0.0..last_quarter_start,
        };
        let counted: Vec<&Job> =
            self.jobs.iter().filter(|job| counted_arrivals.contains(&job.arrived_at)).collect();
        let first_token_limit = |job: &Job| {
            let urgency = if job.is_long { Urgency::Long } else { Urgency::Short };
            options.max_wait(urgency).as_secs_f64()
        };
        let is_good = |job: &&&Job| {
            let in_time = job
                .first_token_at
                .is_some_and(|first| first - job.arrived_at <= first_token_limit(job));
            in_time && (job.state == State::Done || job.state == State::Running && job.is_long)
        };
        let total = counted.len().max(1) as f64;
        let goodput = counted.iter().filter(is_good).count() as f64 / total;
        let mut first_tokens_ms: Histogram<u64> = table::milliseconds();
        for job in &counted {
            if let Some(first) = job.first_token_at {
                first_tokens_ms.saturating_record(((first - job.arrived_at) * 1_000.0) as u64);
            }
        }
        let refused = counted.iter().filter(|job| job.state == State::Refused).count() as f64;
        let long_calls: Vec<&&Job> = counted.iter().filter(|job| job.is_long).collect();
        let long_done =
            long_calls.iter().filter(|job| matches!(job.state, State::Done | State::Running));
        let served_shares: Vec<f64> = (0..TEAMS)
            .map(|team| {
                let of_team: Vec<&&Job> = counted.iter().filter(|job| job.team == team).collect();
                of_team.iter().filter(|job| is_good(job)).count() as f64
                    / of_team.len().max(1) as f64
            })
            .collect();
        let (prefilled, cached) = self.engines.iter().fold((0.0, 0.0), |(p, c), engine| {
            (p + engine.prefilled_tokens, c + engine.cached_tokens)
        });
        let produced: f64 = self.jobs.iter().map(|job| job.produced_tokens).sum();
        let wasted: f64 = self
            .jobs
            .iter()
            .map(|job| {
                let is_late = job.state == State::Done
                    && job
                        .first_token_at
                        .is_none_or(|first| first - job.arrived_at > first_token_limit(job));
                job.wasted_tokens + if is_late { job.produced_tokens } else { 0.0 }
            })
            .sum();
        [
            goodput,
            first_tokens_ms.value_at_quantile(0.5) as f64,
            first_tokens_ms.value_at_quantile(0.95) as f64,
            self.gaps_ms.value_at_quantile(0.95) as f64,
            refused / total,
            long_done.count() as f64 / long_calls.len().max(1) as f64,
            cached / (cached + prefilled).max(1.0),
            jain(&served_shares),
            wasted / produced.max(1.0),
            self.retries as f64,
        ]
    }
}

/// Returns Jain's fairness index: 1 if all values are equal, and the reciprocal of their
/// number if all but one are zero.
fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares > 0.0 { sum * sum / (values.len() as f64 * squares) } else { 1.0 }
}
