//! Strikes against requests that crash engines.

use std::sync::MutexGuard;

use winch_route::suspect::{Crash, Disposition, Fingerprint, Tracker};

use super::Fleet;
use crate::control::facts;

impl Fleet {
    /// Locks the tracker of strikes. The guard must not be held across an await.
    pub fn suspects(&self) -> MutexGuard<'_, Tracker> {
        self.suspects.lock().expect("no thread panics while it holds this lock")
    }

    /// Takes the requests that this daemon's strikes have made refused since the last call.
    pub fn take_refused(&self) -> Vec<Fingerprint> {
        std::mem::take(
            &mut *self.refused.lock().expect("no thread panics while it holds this lock"),
        )
    }

    /// Adds requests that [`Self::take_refused()`] returns.
    pub fn add_refused(&self, requests: impl IntoIterator<Item = Fingerprint>) {
        self.refused.lock().expect("no thread panics while it holds this lock").extend(requests);
    }

    /// Publishes a strike found by this daemon; true if this daemon published none for this crash
    /// before.
    pub fn publish_strike(&self, fingerprint: Fingerprint, crash: Crash) -> bool {
        self.publish(facts::strike(fingerprint, crash));
        if self.suspects().disposition(fingerprint, self.now()) == Disposition::Refused {
            self.add_refused([fingerprint]);
        }
        let mut published =
            self.published_crashes.lock().expect("no thread panics while it holds this lock");
        let is_first = !published.contains(&crash);
        if is_first {
            const MAX_PUBLISHED_CRASHES: usize = 256;
            published.push_back(crash);
            if published.len() > MAX_PUBLISHED_CRASHES {
                published.pop_front();
            }
        }
        is_first
    }
}
