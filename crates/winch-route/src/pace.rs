//! Pacing of resumes after the loss of replicas.
//!
//! A resume prefills the whole answer again, which delays the calls that the
//! engine already runs. The pacer therefore lets only a few resumes per replica
//! be in prefill at once, so that the loss of a rack does not overload the
//! remaining replicas. Answers with the most output go first, since they have
//! the most work to lose.

use std::{cmp::Reverse, collections::BTreeSet};

/// Identifies a waiting resume within its [`Pacer`].
pub type WaiterId = u64;

/// Queue of resumes that limits how many are in prefill at once.
#[derive(Debug, Default)]
pub struct Pacer {
    /// Number of resumes in prefill.
    in_prefill: usize,
    /// Queued resumes, those with the most accepted tokens first.
    waiting: BTreeSet<(Reverse<usize>, WaiterId)>,
    next_waiter: WaiterId,
}

impl Pacer {
    /// Resumes that may be in prefill at once, per eligible replica.
    pub const RESUMES_PER_REPLICA: usize = 2;

    /// Queues a resume of an answer with `tokens` accepted tokens; returns its id.
    pub fn enqueue(&mut self, tokens: usize) -> WaiterId {
        let waiter = self.next_waiter;
        self.next_waiter += 1;
        self.waiting.insert((Reverse(tokens), waiter));
        waiter
    }

    /// Starts the resume `waiter` if fewer resumes are queued before it than may still enter
    /// prefill.
    ///
    /// `replicas` is the number of eligible replicas; one resume may be in prefill even if it
    /// is zero. Returns false if the resume has to keep waiting or is not queued.
    pub fn try_start(&mut self, waiter: WaiterId, replicas: usize) -> bool {
        let free = (replicas * Self::RESUMES_PER_REPLICA).max(1).saturating_sub(self.in_prefill);
        let startable = self.waiting.iter().take(free).find(|(_, other)| *other == waiter).copied();
        let Some(entry) = startable else {
            return false;
        };
        self.waiting.remove(&entry);
        self.in_prefill += 1;
        true
    }

    /// Counts the end of a prefill, or of a resume that failed before its prefill ended.
    pub fn finish(&mut self) {
        self.in_prefill = self.in_prefill.saturating_sub(1);
    }

    /// Removes a queued resume; does nothing if it has started.
    pub fn remove(&mut self, waiter: WaiterId) {
        self.waiting.retain(|(_, other)| *other != waiter);
    }

    /// Number of queued resumes.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
