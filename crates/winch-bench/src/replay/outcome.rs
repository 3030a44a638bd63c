//! Results of a replay.

use super::{CALLER_TIMEOUT_S, simulation::Simulation};

/// Worth of a late stream relative to one on time.
const LATE_WORTH: f64 = 0.03;
/// Length of the windows for [`Outcome::worst`], in seconds.
const WINDOW_S: f64 = 2.0;

/// Results of a replay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Worth of all streams relative to all being on time.
    pub worth: f64,
    /// Mean worth of the two worst windows.
    pub worst: f64,
    /// Share of streams that completed late.
    pub late: f64,
    /// Share of streams that did not complete before the caller's timeout.
    pub failed: f64,
    /// Mean time to the end of a complete stream, in seconds.
    pub duration: f64,
    /// Prompt tokens prefilled again, relative to the tokens of all prompts.
    pub reread: f64,
}

impl Outcome {
    /// Computes the results of a finished simulation.
    pub(super) fn of(simulation: &Simulation<'_>) -> Self {
        let windows = (simulation.pattern.seconds / WINDOW_S).ceil() as usize;
        let mut windows_worth = vec![(0.0_f64, 0.0_f64); windows];
        let mut outcome = Self::default();
        let (mut complete, mut prompts) = (0.0, 0);
        for stream in &simulation.streams {
            let ended = stream.ended.filter(|at| *at <= stream.arrived + CALLER_TIMEOUT_S);
            let worth = match ended {
                Some(_) if !stream.late => 1.0,
                Some(_) => LATE_WORTH,
                None => 0.0,
            };
            let window =
                &mut windows_worth[((stream.arrived / WINDOW_S) as usize).min(windows - 1)];
            *window = (window.0 + worth, window.1 + 1.0);
            outcome.worth += worth;
            outcome.late += f64::from(u8::from(ended.is_some() && stream.late));
            outcome.failed += f64::from(u8::from(ended.is_none()));
            outcome.duration += ended.map_or(0.0, |at| at - stream.arrived);
            complete += f64::from(u8::from(ended.is_some()));
            prompts += stream.prompt;
        }
        let all = simulation.streams.len() as f64;
        let mut means: Vec<f64> =
            windows_worth.iter().map(|(worth, count)| worth / f64::max(*count, 1.0)).collect();
        means.sort_by(f64::total_cmp);
        Self {
            worth: outcome.worth / all,
            worst: means.iter().take(2).sum::<f64>() / 2.0,
            late: outcome.late / all,
            failed: outcome.failed / all,
            duration: outcome.duration / f64::max(complete, 1.0),
            reread: simulation.reread as f64 / prompts.max(1) as f64,
        }
    }
}
