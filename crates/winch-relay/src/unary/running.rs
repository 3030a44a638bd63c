//! The attempts of one request that run at the same time.

use std::{
    collections::VecDeque,
    future::{Future, pending},
};

use futures_util::stream::{FuturesUnordered, StreamExt};

use super::attempt::{Answer, End, Ended};

/// The attempts that run. Dropping it closes their connections.
pub(super) struct Running<F> {
    attempts: FuturesUnordered<F>,
    /// Attempts that have ended and are yet to be returned by [`Self::next()`].
    ended: VecDeque<Ended>,
}

impl<F: Future<Output = Ended>> Running<F> {
    pub(super) fn new() -> Self {
        Self { attempts: FuturesUnordered::new(), ended: VecDeque::new() }
    }

    pub(super) fn push(&mut self, attempt: F) {
        self.attempts.push(attempt);
    }

    /// Waits until an attempt ends. Never completes if none runs.
    pub(super) async fn next(&mut self) -> Ended {
        if let Some(ended) = self.ended.pop_front() {
            return ended;
        }
        match self.attempts.next().await {
            Some(ended) => ended,
            None => pending().await,
        }
    }

    /// Waits until a replica answers, and not with an error of its own. Keeps attempts that end in
    /// another way for [`Self::next()`].
    pub(super) async fn answer(&mut self) -> Answer {
        loop {
            let Some(ended) = self.attempts.next().await else { return pending().await };
            let Ended { target, end } = ended;
            match end {
                End::Complete(reply, body) if !reply.status.is_server_error() => {
                    return Answer { replica: target.replica, reply, body };
                }
                end => self.ended.push_back(Ended { target, end }),
            }
        }
    }
}
