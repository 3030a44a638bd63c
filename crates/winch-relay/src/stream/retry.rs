//! What limits the further sends of a stream: the route's limit, the retry budget of its service, and
//! the time between two refusals.

use rand::Rng;
use tokio::{
    io::AsyncWrite,
    time::{sleep, sleep_until},
};

use super::{Session, Target};
use crate::{counter, prelude::*};

/// Interval at which a stream that has begun asks again for a retry.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the first refusal in a row at which a stream that has begun asks again; it doubles up
/// to [`REFUSAL_BACKOFF_MAX`].
const REFUSAL_BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest time after a refusal at which a stream that has begun asks again.
const REFUSAL_BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Relative deviation of these times, so that streams which were refused together do not return
/// together.
const REFUSAL_JITTER: f64 = 0.2;

impl<P: Protocol, W: AsyncWrite + Unpin> Session<'_, P, W> {
    /// Number of sends that count against the route's limit. A replica that refuses a stream does not
    /// run it, so refusals do not use up the sends of one that has begun: its caller would lose what
    /// it has. Retries and the time between refusals limit these. Nor do requests that were withdrawn
    /// while the first replica was silent: these no longer run.
    pub(super) fn counted_sends(&self) -> u32 {
        let uncounted = if self.has_forwarded { self.refusals + self.withdrawals } else { 0 };
        self.trace.sends - uncounted
    }

    /// Records that `target` has refused the stream.
    pub(super) fn record_refusal(&mut self, target: &Target, is_full: bool) {
        self.refusals += 1;
        self.refusals_in_row += 1;
        self.trace.record(&target.replica, "refused");
        counter::retried("refused");
        if is_full {
            self.node.catalog().record_full(target.key, Instant::now());
        }
    }

    /// Waits before a stream that has begun, and was refused, asks another replica; at most until
    /// its deadline. Other requests ask at once, since they have few sends.
    pub(super) async fn wait_after_refusal(&self) {
        if !self.has_forwarded {
            return;
        }
        let doublings = self.refusals_in_row.saturating_sub(1).min(8);
        let backoff = (REFUSAL_BACKOFF_MIN * 2_u32.pow(doublings)).min(REFUSAL_BACKOFF_MAX);
        let jitter = self.node.rng().random_range(1.0 - REFUSAL_JITTER..1.0 + REFUSAL_JITTER);
        let ask_at = Instant::now() + backoff.mul_f64(jitter);
        sleep_until(ask_at.min(self.job.deadline(self.node))).await;
    }

    /// Waits until the next send of a stream that has begun has a retry, at most until its deadline
    /// and while this daemon reaches its service; `false` if there is none. Other requests take
    /// theirs once they have a target.
    pub(super) async fn wait_for_retry(&mut self) -> bool {
        if !self.has_forwarded || self.trace.sends == 0 {
            return true;
        }
        while !self.take_retry() {
            let deadline = self.job.deadline(self.node);
            if Instant::now() + RETRY_INTERVAL >= deadline || !self.may_wait() {
                return false;
            }
            sleep(RETRY_INTERVAL).await;
        }
        true
    }

    /// Takes a retry for the next send, unless one is held; `false` if the budget is exhausted.
    pub(super) fn take_retry(&mut self) -> bool {
        self.holds_retry = self.holds_retry || self.spend_retry();
        self.holds_retry
    }

    /// Whether the stream waits for a replica although there is none now: it has begun, and this
    /// daemon reaches replicas of its service.
    pub(super) fn may_wait(&self) -> bool {
        self.has_forwarded && !self.node.is_isolated(&self.job.service)
    }

    /// Takes one retry from the budget of the service; `false` if the budget is exhausted.
    pub(super) fn spend_retry(&self) -> bool {
        if self.has_forwarded {
            self.node.spend_retry(&self.job.service)
        } else {
            self.node.spend_restart(&self.job.service)
        }
    }

    /// Whether the budget of the service has a retry left for this stream.
    pub(super) fn has_retry(&self) -> bool {
        self.node.has_retry(&self.job.service, self.has_forwarded)
    }
}
