//! Admission of streams to a service: refuses those that no replica can start in time.
//!
//! A [`Gate`] is the state of one daemon for one service. It compares the [`Estimate`] of the best
//! replica that was found with the target latency of the request. Daemons do not consult each
//! other; each learns from its own refusals how many requests compete for the same replicas.

use std::time::Duration;

/// Share of the time to the target that the least urgent of several ranks may wait; the most urgent
/// one may wait for all of it, and those between are spread evenly. A request that waits for a
/// third of the time still starts at the target while more urgent ones take two thirds of the
/// replica.
const LEAST_SHARE: f64 = 1.0 / 3.0;
/// Part of the longest wait that is withheld where all requests are refused. Reports are old: the
/// more requests are refused, the more daemons see the same replica as free and send one there.
const CONTENTION_SHARE: f64 = 0.5;
/// Weight of the newest decision in the share of refused requests.
const DECISION_WEIGHT: f64 = 0.25;
/// Decay time of the share of refused requests, relative to the target latency.
const REFUSED_SHARE_TIME: f64 = 0.25;
/// Time for which a service counts as saturated after it was found loaded, relative to the
/// target latency: queues change little within it.
const SATURATION_TIME: f64 = 0.05;
/// Share of the longest wait above which the best replica found counts as loaded.
const LOADED_SHARE: f64 = 0.5;
/// Share of the longest wait to which queues should have drained when refused callers return. With
/// less, the first of them would fill the queues again.
const RETURN_SHARE: f64 = 0.5;
/// Longest time until refused callers return, relative to the target latency: a caller that
/// counts from its first attempt keeps the other half for the second.
const MAX_RETURN_SHARE: f64 = 0.5;
/// Largest part of the time left that a caller may be asked to wait; it needs the rest for its
/// second attempt.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;
/// Shortest time until a refused caller returns.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest deviation of the time until a caller returns, so that callers do not return together.
const JITTER: f64 = 0.25;

/// A request that has not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Rank of its priority among those of the service; zero is the most urgent.
    pub rank: u32,
    /// Number of ranks of the service.
    pub ranks: u32,
    /// Target latency of the first event.
    pub target: Duration,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Time until its caller gives up.
    pub time_left: Duration,
}

impl Request {
    /// Longest time that the request may wait for others if its own work takes `unloaded`.
    fn longest_wait(&self, unloaded: Duration) -> Duration {
        let last = self.ranks.saturating_sub(1);
        let position = f64::from(self.rank.min(last)) / f64::from(last.max(1));
        self.target.saturating_sub(unloaded).mul_f64(1.0 - (1.0 - LEAST_SHARE) * position)
    }

    /// Whether the replica puts all less urgent requests behind this one.
    fn is_most_urgent(&self) -> bool {
        self.ranks > 1 && self.rank == 0
    }
}

/// Expected time until the first event at the best replica that was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Without any other request there.
    pub unloaded: Duration,
    /// Behind all requests that are queued there.
    pub start: Duration,
    /// Behind those that are at least as urgent.
    pub urgent_start: Duration,
}

/// A request that no replica can start in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which the caller may send it again.
    pub retry_after: Duration,
}

/// A change between normal service and a saturated phase, in which requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A request was refused.
    Began,
    /// No request has been refused for the length of the target latency.
    Ended {
        /// Time from the first refusal to the last one.
        length: Duration,
        /// Number of requests that were refused.
        refused: u64,
    },
}

/// What one daemon knows of the admission of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Rank {
    /// Share of refused requests at the last decision: a moving average.
    refused_share: f64,
    decided_at: Duration,
    saturated_until: Duration,
}

/// A time in which requests are refused.
#[derive(Clone, Copy, Debug)]
struct Phase {
    began_at: Duration,
    last_refusal: Duration,
    /// Time without a refusal after which the phase has ended.
    quiet_time: Duration,
    refused: u64,
    is_announced: bool,
}

/// Admission to one service in one daemon. Times are measured from an origin of the user's
/// choice.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    ranks: Vec<Rank>,
    phase: Option<Phase>,
}

impl Gate {
    /// Decides whether a request is sent to the replica of `estimate`. `phase` is a random number
    /// from 0 to 1.
    ///
    /// # Errors
    /// A [`Refusal`] if the request would have to wait for others for longer than its target
    /// and its rank allow. A replica that can start at once is never refused to a request, even
    /// if the request's own work takes longer than the target.
    pub fn admit(
        &mut self,
        request: &Request,
        estimate: Estimate,
        now: Duration,
        phase: f64,
    ) -> Result<(), Refusal> {
        let start = if request.is_most_urgent() { estimate.urgent_start } else { estimate.start };
        let wait = start.saturating_sub(estimate.unloaded);
        let longest_wait = request.longest_wait(estimate.unloaded);
        let rank = self.rank_mut(request.rank);
        let age = now.saturating_sub(rank.decided_at);
        let decay_time = request.target.mul_f64(REFUSED_SHARE_TIME);
        let contention = rank.refused_share * decay(age, decay_time);
        let allowed = longest_wait.mul_f64(1.0 - CONTENTION_SHARE * contention);
        let is_refused = !wait.is_zero() && request.elapsed.saturating_add(wait) > allowed;
        rank.refused_share =
            contention + DECISION_WEIGHT * (f64::from(u8::from(is_refused)) - contention);
        rank.decided_at = now;
        if is_refused || wait > longest_wait.mul_f64(LOADED_SHARE) {
            rank.saturated_until = now + request.target.mul_f64(SATURATION_TIME);
        } else {
            // More urgent requests find at least as much room.
            let cleared = self.ranks.iter_mut().take(request.rank as usize + 1);
            cleared.for_each(|rank| rank.saturated_until = Duration::ZERO);
        }
        if !is_refused {
            return Ok(());
        }
        self.record_refusal(request, now);
        Err(Refusal { retry_after: retry_after(request, wait, longest_wait, phase) })
    }

    /// Whether the service was found loaded so recently that further replicas need not be asked
    /// for a request of `rank`.
    pub fn is_saturated(&self, rank: u32, now: Duration) -> bool {
        let more_urgent = self.ranks.iter().take(rank as usize + 1);
        more_urgent.into_iter().any(|rank| now < rank.saturated_until)
    }

    /// The change since the last call, if there is one.
    pub fn take_change(&mut self, now: Duration) -> Option<Change> {
        let phase = self.phase.as_mut()?;
        if !phase.is_announced {
            phase.is_announced = true;
            return Some(Change::Began);
        }
        if now.saturating_sub(phase.last_refusal) < phase.quiet_time {
            return None;
        }
        let length = phase.last_refusal.saturating_sub(phase.began_at);
        let refused = phase.refused;
        self.phase = None;
        Some(Change::Ended { length, refused })
    }

    fn rank_mut(&mut self, rank: u32) -> &mut Rank {
        let index = rank as usize;
        if self.ranks.len() <= index {
            self.ranks.resize_with(index + 1, Rank::default);
        }
        &mut self.ranks[index]
    }

    fn record_refusal(&mut self, request: &Request, now: Duration) {
        let phase = self.phase.get_or_insert(Phase {
            began_at: now,
            last_refusal: now,
            quiet_time: Duration::ZERO,
            refused: 0,
            is_announced: false,
        });
        phase.last_refusal = now;
        phase.quiet_time = phase.quiet_time.max(request.target);
        phase.refused += 1;
    }
}

/// What remains of a value after `age` if it decays exponentially.
fn decay(age: Duration, time: Duration) -> f64 {
    (-age.as_secs_f64() / time.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
}

/// Time after which the queues have drained as far as the callers that return need it.
fn retry_after(request: &Request, wait: Duration, longest_wait: Duration, phase: f64) -> Duration {
    let drained = wait.saturating_sub(longest_wait.mul_f64(RETURN_SHARE));
    let longest = request
        .target
        .mul_f64(MAX_RETURN_SHARE)
        .min(request.time_left.mul_f64(MAX_WAIT_SHARE))
        .div_f64(1.0 + JITTER);
    let jitter = 1.0 + JITTER * (2.0 * phase - 1.0);
    drained.min(longest).mul_f64(jitter).max(MIN_RETRY_AFTER)
}
