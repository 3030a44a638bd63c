//! Pacing of resumes, so that a lost rack does not stampede the rest.
//!
//! A resume prefills the whole answer again, which delays what the engine
//! already runs. Only a few resumes per replica may be in prefill at once;
//! answers with the most output go first, since they have the most to lose.

use std::{cmp::Reverse, collections::BTreeSet};

/// Number of a waiting resume.
pub type WaiterId = u64;

/// Admits resumes a few at a time.
#[derive(Debug, Default)]
pub struct Pacer {
    running: usize,
    waiting: BTreeSet<(Reverse<usize>, WaiterId)>,
    next: WaiterId,
}

impl Pacer {
    /// Resumes in prefill allowed for each fit replica.
    pub const RESUMES_PER_REPLICA: usize = 2;

    /// Lets a resume of `tokens` accepted tokens wait.
    pub fn enqueue(&mut self, tokens: usize) -> WaiterId {
        let ticket = self.next;
        self.next += 1;
        self.waiting.insert((Reverse(tokens), ticket));
        ticket
    }

    /// Starts the resume `ticket` if it is its turn, with `replicas` fit replicas.
    pub fn try_start(&mut self, ticket: WaiterId, replicas: usize) -> bool {
        let free = (replicas * Self::RESUMES_PER_REPLICA).max(1).saturating_sub(self.running);
        let turn = self.waiting.iter().take(free).find(|(_, other)| *other == ticket).copied();
        let Some(place) = turn else {
            return false;
        };
        self.waiting.remove(&place);
        self.running += 1;
        true
    }

    /// Counts the end of a prefill, or of a resume that failed before it.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes a resume out before it started.
    pub fn remove(&mut self, ticket: WaiterId) {
        self.waiting.retain(|(_, other)| *other != ticket);
    }

    /// Resumes that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
