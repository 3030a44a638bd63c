//! What a replay has shown.

use super::{PATIENCE, world::World};

/// Worth of a stream that is late, against one that is on time.
const LATE_WORTH: f64 = 0.03;
/// Length of the windows in which worth is compared, in seconds.
const WINDOW: f64 = 2.0;

/// What a replay has shown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Worth earned against the worth of all streams on time.
    pub worth: f64,
    /// The same in the two worst windows.
    pub worst: f64,
    /// Share of streams that were complete but late.
    pub late: f64,
    /// Share of streams that were not complete in time.
    pub failed: f64,
    /// Mean time to the end of a complete stream, in seconds.
    pub duration: f64,
    /// Prompt tokens that were read again, against all prompts.
    pub reread: f64,
}

impl Outcome {
    /// The outcome of a replay that has ended.
    pub(super) fn of(world: &World<'_>) -> Self {
        let windows = (world.pattern.seconds / WINDOW).ceil() as usize;
        let mut earned = vec![(0.0_f64, 0.0_f64); windows];
        let mut outcome = Self::default();
        let (mut complete, mut prompts) = (0.0, 0);
        for stream in &world.streams {
            let ended = stream.ended.filter(|at| *at <= stream.arrived + PATIENCE);
            let worth = match ended {
                Some(_) if !stream.late => 1.0,
                Some(_) => LATE_WORTH,
                None => 0.0,
            };
            let window = &mut earned[((stream.arrived / WINDOW) as usize).min(windows - 1)];
            *window = (window.0 + worth, window.1 + 1.0);
            outcome.worth += worth;
            outcome.late += f64::from(u8::from(ended.is_some() && stream.late));
            outcome.failed += f64::from(u8::from(ended.is_none()));
            outcome.duration += ended.map_or(0.0, |at| at - stream.arrived);
            complete += f64::from(u8::from(ended.is_some()));
            prompts += stream.prompt;
        }
        let all = world.streams.len() as f64;
        let mut shares: Vec<f64> =
            earned.iter().map(|(got, of)| got / f64::max(*of, 1.0)).collect();
        shares.sort_by(f64::total_cmp);
        Self {
            worth: outcome.worth / all,
            worst: shares.iter().take(2).sum::<f64>() / 2.0,
            late: outcome.late / all,
            failed: outcome.failed / all,
            duration: outcome.duration / f64::max(complete, 1.0),
            reread: world.reread as f64 / prompts.max(1) as f64,
        }
    }
}
