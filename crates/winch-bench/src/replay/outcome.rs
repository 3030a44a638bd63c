//! Computes the outcome of a replay from its streams.

use super::{CALLER_TIMEOUT_S, simulation::Simulation};

/// Worth of a late stream relative to one on time.
const LATE_WORTH: f64 = 0.03;
/// Length of the windows for [`Outcome::worst`], in seconds.
const WINDOW_S: f64 = 2.0;

/// Results of one replay, or their means over several.
///
/// A completed stream is late if the wait for its first event, or a gap between events, was
/// longer than the target of the simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Worth of all streams, relative to all of them being on time. A failed stream is worth
    /// nothing.
    pub worth: f64,
    /// Mean worth of the two worst windows of 2 s. A stream counts for the window in which it
    /// arrived.
    pub worst: f64,
    /// Share of streams that completed late.
    pub late: f64,
    /// Share of streams that did not complete before the caller's timeout.
    pub failed: f64,
    /// Mean time from the arrival to the end of a completed stream, in seconds.
    pub duration: f64,
    /// Prompt tokens of the streams that had to be placed again without a copy, relative to the
    /// tokens of all prompts.
    pub reread: f64,
}

impl Outcome {
    /// Computes the results of a simulation that has handled all its events.
    pub(super) fn of(simulation: &Simulation<'_>) -> Self {
        let windows = (simulation.pattern.seconds / WINDOW_S).ceil() as usize;
        let mut windows_worth = vec![(0.0_f64, 0.0_f64); windows];
        let mut outcome = Self::default();
        let (mut completed, mut prompt_tokens) = (0.0, 0);
        for stream in &simulation.streams {
            let ended_at = stream.ended_at.filter(|at| *at <= stream.arrived_at + CALLER_TIMEOUT_S);
            let worth = match ended_at {
                Some(_) if !stream.is_late => 1.0,
                Some(_) => LATE_WORTH,
                None => 0.0,
            };
            let window =
                &mut windows_worth[((stream.arrived_at / WINDOW_S) as usize).min(windows - 1)];
            *window = (window.0 + worth, window.1 + 1.0);
            outcome.worth += worth;
            outcome.late += f64::from(u8::from(ended_at.is_some() && stream.is_late));
            outcome.failed += f64::from(u8::from(ended_at.is_none()));
            outcome.duration += ended_at.map_or(0.0, |at| at - stream.arrived_at);
            completed += f64::from(u8::from(ended_at.is_some()));
            prompt_tokens += stream.prompt_tokens;
        }
        let stream_count = simulation.streams.len() as f64;
        let mut means: Vec<f64> =
            windows_worth.iter().map(|(worth, count)| worth / f64::max(*count, 1.0)).collect();
        means.sort_by(f64::total_cmp);
        Self {
            worth: outcome.worth / stream_count,
            worst: means.iter().take(2).sum::<f64>() / 2.0,
            late: outcome.late / stream_count,
            failed: outcome.failed / stream_count,
            duration: outcome.duration / f64::max(completed, 1.0),
            reread: simulation.reread_tokens as f64 / prompt_tokens.max(1) as f64,
        }
    }
}
