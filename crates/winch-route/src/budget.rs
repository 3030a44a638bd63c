//! Retry budgets: retries add at most a stated part of the load.

/// A retry budget for one route or upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    options: Options,
    tokens: f64,
}

/// Size of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Most retries that may be saved up.
    pub burst: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { ratio: 0.1, burst: 20.0 }
    }
}

impl Budget {
    /// A full budget.
    pub fn new(options: Options) -> Self {
        Self { options, tokens: options.burst }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.options.ratio).min(self.options.burst);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
