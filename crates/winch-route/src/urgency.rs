//! Urgency, inferred because callers state none.

use std::time::Duration;

/// How long a call's caller is likely to wait for its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// A lookup or an order: somebody stands at a counter.
    Immediate,
    /// A short generation.
    Short,
    /// A long draft.
    Long,
}

/// Where the classes begin and how long their callers wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Tokens from which an answer counts as long.
    pub long_tokens: usize,
    /// Longest wait of a prompt call.
    pub immediate_wait: Duration,
    /// Longest wait of a short generation.
    pub short_wait: Duration,
    /// Longest wait of a long draft.
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
    /// Class of a generation from what is known: the limit asked for and the output so far.
    pub fn generation(&self, max_tokens: usize, so_far: usize) -> Urgency {
        let long = max_tokens.max(so_far) >= self.long_tokens;
        if long { Urgency::Long } else { Urgency::Short }
    }

    /// Longest wait of a class.
    pub fn wait(&self, urgency: Urgency) -> Duration {
        match urgency {
            Urgency::Immediate => self.immediate_wait,
            Urgency::Short => self.short_wait,
            Urgency::Long => self.long_wait,
        }
    }
}

impl Urgency {
    /// Priority handed to an engine; lower is more urgent.
    ///
    /// A resumed answer has waited already, so it goes before new ones of its class.
    pub fn priority(self, resumed: bool) -> u8 {
        let base = match self {
            Self::Immediate => 1,
            Self::Short => 3,
            Self::Long => 5,
        };
        base - u8::from(resumed)
    }
}
