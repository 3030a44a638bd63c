//! Computes the outcome of a replay from its streams.

use super::simulation::{Simulation, Stream};

/// Length of the windows for [`Outcome::worst`], in seconds.
const WINDOW_S: f64 = 2.0;

/// Results of one replay, or their means over several.
///
/// A completed stream is late if the wait for its first event, or a gap between events, was
/// longer than the target of its kind or the limit on gaps.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Results of each kind of streams, in the order of the pattern.
    pub kinds: Vec<KindOutcome>,
    /// Value of all streams, relative to all of them being on time. A failed or refused stream
    /// is worth nothing.
    pub worth: f64,
    /// Mean worth of the two worst windows of 2 s. A stream counts for the window in which it
    /// arrived.
    pub worst: f64,
    /// Share of streams that completed late.
    pub late: f64,
    /// Share of streams that did not complete before the caller's timeout, without those that
    /// were refused.
    pub failed: f64,
    /// Share of streams that were refused.
    pub refused: f64,
    /// Mean time from the arrival to the end of a completed stream, in seconds.
    pub duration: f64,
    /// Prompt tokens of the streams that had to be placed again without a copy, relative to the
    /// tokens of all prompts.
    pub reread: f64,
    /// Number of preempted runs.
    pub preemptions: f64,
    /// Tokens that were prefilled for runs that were preempted, lost without a copy, or given up,
    /// relative to the tokens of all prompts.
    pub wasted: f64,
}

/// Results of the streams of one kind in one replay, or their means over several.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindOutcome {
    /// Number of streams that arrived.
    pub streams: f64,
    /// Number of streams that completed on time.
    pub in_time: f64,
    /// Number of streams that completed late.
    pub late: f64,
    /// Number of streams that were refused.
    pub refused: f64,
    /// Number of streams that neither completed nor were refused.
    pub failed: f64,
    /// Value of the completed streams.
    pub value: f64,
}

impl KindOutcome {
    /// Computes the results of the streams of a kind.
    fn of(simulation: &Simulation<'_>, kind: usize) -> Self {
        let streams: Vec<&Stream> =
            simulation.streams.iter().filter(|stream| stream.kind == kind).collect();
        let count = |is_counted: fn(&Stream) -> bool| {
            streams.iter().filter(|stream| is_counted(stream)).count() as f64
        };
        let in_time = count(|stream| stream.has_completed() && !stream.is_late);
        let late = count(|stream| stream.has_completed() && stream.is_late);
        let values = &simulation.kinds[kind];
        Self {
            streams: streams.len() as f64,
            in_time,
            late,
            refused: count(|stream| stream.is_refused),
            failed: count(|stream| !stream.has_completed() && !stream.is_refused),
            value: in_time * values.value + late * values.late,
        }
    }

    /// Adds the results of another replay with a weight.
    fn add(&mut self, other: &Self, weight: f64) {
        self.streams += other.streams * weight;
        self.in_time += other.in_time * weight;
        self.late += other.late * weight;
        self.refused += other.refused * weight;
        self.failed += other.failed * weight;
        self.value += other.value * weight;
    }
}

impl Outcome {
    /// Computes the results of a simulation that has handled all its events.
    pub(super) fn of(simulation: &Simulation<'_>) -> Self {
        let windows = (simulation.pattern.seconds / WINDOW_S).ceil() as usize;
        let mut windows_value = vec![(0.0_f64, 0.0_f64); windows];
        let (mut duration, mut prompt_tokens) = (0.0, 0);
        for stream in &simulation.streams {
            let kind = &simulation.kinds[stream.kind];
            let value = match stream.has_completed() {
                true if !stream.is_late => kind.value,
                true => kind.late,
                false => 0.0,
            };
            let window =
                &mut windows_value[((stream.arrived_at / WINDOW_S) as usize).min(windows - 1)];
            *window = (window.0 + value, window.1 + kind.value);
            let ended_at = stream.ended_at.filter(|_| stream.has_completed());
            duration += ended_at.map_or(0.0, |at| at - stream.arrived_at);
            prompt_tokens += stream.prompt_tokens;
        }
        let mut worths: Vec<f64> = windows_value
            .iter()
            .map(|(value, most)| if *most > 0.0 { value / most } else { 0.0 })
            .collect();
        worths.sort_by(f64::total_cmp);
        let (value, most) = windows_value
            .iter()
            .fold((0.0, 0.0), |sum, window| (sum.0 + window.0, sum.1 + window.1));
        let kinds: Vec<_> =
            (0..simulation.kinds.len()).map(|kind| KindOutcome::of(simulation, kind)).collect();
        let sum = |field: fn(&KindOutcome) -> f64| kinds.iter().map(field).sum::<f64>();
        let streams = sum(|kind| kind.streams);
        let (late, refused, failed) =
            (sum(|kind| kind.late), sum(|kind| kind.refused), sum(|kind| kind.failed));
        let completed = streams - refused - failed;
        Self {
            worth: value / most,
            worst: worths.iter().take(2).sum::<f64>() / 2.0,
            late: late / streams,
            failed: failed / streams,
            refused: refused / streams,
            duration: duration / completed.max(1.0),
            reread: simulation.reread_tokens as f64 / prompt_tokens.max(1) as f64,
            preemptions: simulation.preemptions as f64,
            wasted: simulation.wasted_tokens as f64 / prompt_tokens.max(1) as f64,
            kinds,
        }
    }

    /// Adds the results of another replay with a weight.
    pub(super) fn add(&mut self, other: &Self, weight: f64) {
        self.worth += other.worth * weight;
        self.worst += other.worst * weight;
        self.late += other.late * weight;
        self.failed += other.failed * weight;
        self.refused += other.refused * weight;
        self.duration += other.duration * weight;
        self.reread += other.reread * weight;
        self.preemptions += other.preemptions * weight;
        self.wasted += other.wasted * weight;
        self.kinds.resize(other.kinds.len(), KindOutcome::default());
        self.kinds.iter_mut().zip(&other.kinds).for_each(|(kind, other)| kind.add(other, weight));
    }
}
