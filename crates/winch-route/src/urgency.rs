//! Urgency classes of calls, inferred because callers do not state one.

use std::time::Duration;

/// Class of a call by how long its caller is likely to wait for the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// A lookup or an order, for whose result a person is waiting.
    Immediate,
    /// A short generation.
    Short,
    /// A long generation, such as a draft.
    Long,
}

/// Boundary between short and long generations, and the longest wait for the start of a call of
/// each class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Number of tokens from which a generation counts as long.
    pub long_tokens: usize,
    /// Longest wait of a lookup or order.
    pub immediate_wait: Duration,
    /// Longest wait of a short generation.
    pub short_wait: Duration,
    /// Longest wait of a long generation.
    pub long_wait: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            long_tokens: 512,
            immediate_wait: Duration::from_secs(1),
            short_wait: Duration::from_secs(3),
            long_wait: Duration::from_secs(20),
        }
    }
}

impl Options {
    /// Class of a generation with a limit of `max_tokens`, of which `accepted_tokens` exist.
    pub fn classify_generation(&self, max_tokens: usize, accepted_tokens: usize) -> Urgency {
        let is_long = max_tokens.max(accepted_tokens) >= self.long_tokens;
        if is_long { Urgency::Long } else { Urgency::Short }
    }

    /// Longest time that a call of a class waits for its start.
    pub fn max_wait(&self, urgency: Urgency) -> Duration {
        match urgency {
            Urgency::Immediate => self.immediate_wait,
            Urgency::Short => self.short_wait,
            Urgency::Long => self.long_wait,
        }
    }
}

impl Urgency {
    /// Priority passed to an engine; lower is more urgent.
    ///
    /// A resumed answer goes before new ones of its class, because its caller has already waited.
    pub fn priority(self, is_resumed: bool) -> u8 {
        let base = match self {
            Self::Immediate => 1,
            Self::Short => 3,
            Self::Long => 5,
        };
        base - u8::from(is_resumed)
    }
}
