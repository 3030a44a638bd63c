//! Retry budgets, which limit retries to a share of the first attempts plus a burst.

/// A token bucket of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    options: Options,
    /// Retries left.
    tokens: f64,
}

/// Refill rate and size of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Retries added by each first attempt.
    pub ratio: f64,
    /// Largest number of retries that accumulate, and the number in a new budget.
    pub burst: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { ratio: 0.1, burst: 20.0 }
    }
}

impl Budget {
    /// Creates a full budget.
    pub fn new(options: Options) -> Self {
        Self { options, tokens: options.burst }
    }

    /// Adds the share of a retry that one first attempt earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.options.ratio).min(self.options.burst);
    }

    /// Takes back the share of a retry that one first attempt has earned, since another daemon earns
    /// it. What was spent meanwhile is owed, up to the size of the budget.
    pub fn give_away(&mut self) {
        self.tokens = (self.tokens - self.options.ratio).max(-self.options.burst);
    }

    /// Adds retries that no first attempt has earned, such as this daemon's part of a slack that
    /// all daemons share.
    pub fn add(&mut self, retries: f64) {
        self.tokens = (self.tokens + retries).min(self.options.burst);
    }

    /// Takes one retry; returns false if less than one is left.
    pub fn spend(&mut self) -> bool {
        self.spend_above(0.0)
    }

    /// Takes one retry, unless less than `reserve` would be left for retries that matter more.
    pub fn spend_above(&mut self, reserve: f64) -> bool {
        let is_allowed = self.has_above(reserve);
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }

    /// Whether a retry is left above `reserve`.
    pub fn has_above(&self, reserve: f64) -> bool {
        self.tokens >= 1.0 + reserve
    }
}
