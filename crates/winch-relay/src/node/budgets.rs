//! Retry budgets of this daemon, one for each service.

use std::{collections::HashMap, sync::Mutex};

use winch_route::budget::{self, Budget};

use super::lock;
use crate::prelude::*;

/// Largest number of unused retries that the budget of a service holds in one daemon.
const RETRY_BURST: f64 = 10.0;
/// Retries of a budget that streams which have not begun leave to those that have: the callers of
/// the latter lose what they have received.
const BEGUN_RESERVE: f64 = 2.0;

/// The retry budget of one service.
#[derive(Clone, Copy, Debug)]
struct RetryBudget {
    budget: Budget,
    /// When the budget last gained its part of the slack.
    refilled_at: Instant,
}

/// The retry budgets by service.
#[derive(Debug, Default)]
pub(super) struct Budgets(Mutex<HashMap<Name, RetryBudget>>);

impl Budgets {
    /// Drops all budgets; each is created again, full, on its next use.
    pub(super) fn clear(&self) {
        lock(&self.0).clear();
    }
}

impl<P: Protocol> Node<P> {
    /// Adds the share of a retry that one caller's request earns to the budget of `service`.
    pub fn earn_retry(&self, service: &Name) {
        self.with_budget(service, Budget::earn);
    }

    /// Takes back what one request has earned, which a daemon earns to which it is passed on.
    pub fn give_retry(&self, service: &Name) {
        self.with_budget(service, Budget::give_away);
    }

    /// Takes one retry from the budget of `service`; `false` if the budget is exhausted.
    pub fn spend_retry(&self, service: &Name) -> bool {
        self.with_budget(service, Budget::spend)
    }

    /// Takes one retry of a stream that has not begun from the budget of `service`, but not from
    /// the reserve for those that have; `false` if the rest is exhausted.
    pub fn spend_restart(&self, service: &Name) -> bool {
        self.with_budget(service, |budget| budget.spend_above(BEGUN_RESERVE))
    }

    /// Whether the budget of `service` has a retry left for a stream that `has_begun` or has not.
    pub fn has_retry(&self, service: &Name, has_begun: bool) -> bool {
        let reserve = if has_begun { 0.0 } else { BEGUN_RESERVE };
        self.with_budget(service, |budget| budget.has_above(reserve))
    }

    fn with_budget<T>(&self, service: &Name, act: impl FnOnce(&mut Budget) -> T) -> T {
        let (tuning, now) = (self.tuning(), Instant::now());
        let refill_per_s = tuning.retry_slack_per_s / f64::from(self.daemons().max(1));
        let options = budget::Options { ratio: tuning.retry_ratio, burst: RETRY_BURST };
        let mut budgets = lock(&self.budgets.0);
        let entry = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget { budget: Budget::new(options), refilled_at: now });
        let elapsed = now.saturating_duration_since(entry.refilled_at);
        entry.budget.add(elapsed.as_secs_f64() * refill_per_s);
        entry.refilled_at = now;
        act(&mut entry.budget)
    }
}
