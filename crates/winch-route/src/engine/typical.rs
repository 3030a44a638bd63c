//! Means over the requests of one service, and the times that follow from them.

use std::time::Duration;

use super::spread::Spread;

/// Weight of the newest sample in moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Prompt and answer assumed before the first request that states its size, in tokens.
const DEFAULT_TOKENS: f64 = 500.0;
/// Time assumed for one mean prompt, and for one mean answer, before the first measurement.
const DEFAULT_TIME: Duration = Duration::from_secs(1);

/// Moving averages over the requests of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Typical {
    /// Tokens of a prompt; `None` before the first request that states them.
    prompt_tokens: Option<f64>,
    /// Largest number of tokens of an answer, as requests state it.
    answer_tokens: Option<f64>,
    /// Time in which an engine prefills a mean prompt.
    prompt_time: Option<Duration>,
    /// Time from the first to the last event of an answer.
    answer_time: Option<Duration>,
    /// Ratios of the times of requests to the expected ones.
    spread: Spread,
}

impl Typical {
    /// Records the size that a request states, in tokens.
    pub fn record_size(&mut self, prompt: u64, answer: u64) {
        average(&mut self.prompt_tokens, prompt as f64);
        average(&mut self.answer_tokens, answer as f64);
    }

    /// Records the time to the first event at an engine without a queue, for a prompt of
    /// `units` mean prompts, on an engine of this `slowness`.
    pub fn record_prompt_time(&mut self, time: Duration, units: f64, slowness: f64) {
        average_time(&mut self.prompt_time, time, units * slowness);
    }

    /// Records the time from the first to the last event, on an engine of this `slowness`.
    pub fn record_answer_time(&mut self, time: Duration, slowness: f64) {
        average_time(&mut self.answer_time, time, slowness);
    }

    /// The time in which an engine prefills a mean prompt.
    pub fn prompt_time(&self) -> Duration {
        self.prompt_time.unwrap_or(DEFAULT_TIME)
    }

    /// Whether [`Self::prompt_time()`] has been measured.
    pub fn is_measured(&self) -> bool {
        self.prompt_time.is_some()
    }

    /// Expected time from the start of a request to its end at a typical engine without a queue;
    /// `None` before a request has ended. Its size is in tokens, if stated.
    pub fn run_time(&self, prompt: Option<u64>, answer: Option<u64>) -> Option<Duration> {
        let prompt_s = self.prompt_time().as_secs_f64() * self.prompt_units(prompt);
        let answer_s = self.answer_time?.as_secs_f64() * share_of(answer, self.answer_tokens);
        // Requests may state any size.
        Some(Duration::try_from_secs_f64(prompt_s + answer_s).unwrap_or(Duration::MAX))
    }

    /// Records that a request of this size, in tokens, has ended `time` after its start. That counts
    /// all that has delayed it: queues, silences of its engine, further attempts.
    pub fn record_time(&mut self, time: Duration, prompt: Option<u64>, answer: Option<u64>) {
        let Some(expected) = self.run_time(prompt, answer) else { return };
        self.spread.record(time.as_secs_f64() / expected.as_secs_f64());
    }

    /// Time from the start of a request to its end that few of this size exceed, by those that ended
    /// lately; `None` before a request has ended.
    pub fn longest_time(&self, prompt: Option<u64>, answer: Option<u64>) -> Option<Duration> {
        let time = self.run_time(prompt, answer)?.as_secs_f64() * self.spread.upper();
        Some(Duration::try_from_secs_f64(time).unwrap_or(Duration::MAX))
    }

    /// Size of a prompt in mean prompts; 1 if it is not known.
    pub fn prompt_units(&self, prompt_tokens: Option<u64>) -> f64 {
        share_of(prompt_tokens, self.prompt_tokens)
    }

    /// Duration of a mean answer, in units of a mean prompt.
    pub(super) fn answer_units(&self) -> f64 {
        let prompt = self.prompt_time().max(Duration::from_millis(1));
        self.answer_time.unwrap_or(DEFAULT_TIME).as_secs_f64() / prompt.as_secs_f64()
    }

    pub(super) fn answer_tokens(&self) -> f64 {
        self.answer_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// KV cache that a mean request needs until its end.
    pub(super) fn total_tokens(&self) -> f64 {
        self.prompt_tokens.unwrap_or(DEFAULT_TOKENS) + self.answer_tokens()
    }
}

/// `tokens` in units of `mean`; 1 if either is not known.
fn share_of(tokens: Option<u64>, mean: Option<f64>) -> f64 {
    match (tokens, mean) {
        (Some(tokens), Some(mean)) if mean > 0.0 => tokens as f64 / mean,
        _ => 1.0,
    }
}

fn average(mean: &mut Option<f64>, sample: f64) {
    let last = mean.unwrap_or(sample);
    *mean = Some(last + SAMPLE_WEIGHT * (sample - last));
}

/// Adds the sample `time / divisor` to a mean; ignores it if that is no duration.
fn average_time(mean: &mut Option<Duration>, time: Duration, divisor: f64) {
    let mut seconds = mean.map(|mean| mean.as_secs_f64());
    average(&mut seconds, time.as_secs_f64() / divisor);
    let updated = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    *mean = updated.or(*mean);
}
