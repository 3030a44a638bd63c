//! The figures of one run.

use hdrhistogram::Histogram;
use winch_route::urgency::{self, Urgency};

use super::{Job, State, TEAMS, Trouble, World};
use crate::table;

impl World<'_> {
    pub(super) fn result(&self, end: f64) -> [f64; 10] {
        let options = urgency::Options::default();
        // What arrived late may still be running.
        let horizon = end - f64::from(self.config.seconds) / 4.0;
        let span = match self.trouble {
            Trouble::Spike => end * 0.8..end * 0.9,
            _ => 0.0..horizon,
        };
        let counted: Vec<&Job> =
            self.jobs.iter().filter(|job| span.contains(&job.arrived)).collect();
        let need = |job: &Job| {
            let urgency = if job.long { Urgency::Long } else { Urgency::Short };
            options.wait(urgency).as_secs_f64()
        };
        let good = |job: &&&Job| {
            let in_time = job.first.is_some_and(|first| first - job.arrived <= need(job));
            in_time && (job.state == State::Done || job.state == State::Running && job.long)
        };
        let total = counted.len().max(1) as f64;
        let goodput = counted.iter().filter(good).count() as f64 / total;
        let mut firsts: Histogram<u64> = table::milliseconds();
        for job in &counted {
            if let Some(first) = job.first {
                firsts.saturating_record(((first - job.arrived) * 1_000.0) as u64);
            }
        }
        let refused = counted.iter().filter(|job| job.state == State::Refused).count() as f64;
        let long: Vec<&&Job> = counted.iter().filter(|job| job.long).collect();
        let long_done = long.iter().filter(|job| matches!(job.state, State::Done | State::Running));
        let served: Vec<f64> = (0..TEAMS)
            .map(|team| {
                let of_team: Vec<&&Job> = counted.iter().filter(|job| job.team == team).collect();
                of_team.iter().filter(|job| good(job)).count() as f64 / of_team.len().max(1) as f64
            })
            .collect();
        let (prefilled, cached) = self
            .engines
            .iter()
            .fold((0.0, 0.0), |(p, c), engine| (p + engine.prefilled, c + engine.cached));
        let produced: f64 = self.jobs.iter().map(|job| job.produced).sum();
        let wasted: f64 = self
            .jobs
            .iter()
            .map(|job| {
                let missed = job.state == State::Done
                    && job.first.is_none_or(|first| first - job.arrived > need(job));
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

/// Jain's fairness index.
fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares > 0.0 { sum * sum / (values.len() as f64 * squares) } else { 1.0 }
}
