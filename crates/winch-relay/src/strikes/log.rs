//! The newest notices about crashes, as they are told to followers.

use std::collections::VecDeque;

use winch_route::{
    quarantine::Part,
    suspect::{Crash, Fingerprint},
};

use super::Strike;
use crate::prelude::*;

/// Number of notices that are kept.
const MAX_NOTICES: usize = 256;

/// What daemons tell each other about crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A request got a strike.
    Struck(Strike),
    /// A request with this part survived at this time, which removes the strikes against the
    /// part.
    Cleared(Part, Instant),
    /// The replica of this crash was found alive at this time, which removes the strikes for it.
    Retracted(Crash, Instant),
    /// This request ran to its end at this time, which removes the strikes against it from before.
    Completed(Fingerprint, Instant),
}

/// The newest notices, the oldest first. Followers count them, so none is removed from the middle.
#[derive(Debug, Default)]
pub(super) struct Log {
    notices: VecDeque<Notice>,
    /// Number of notices that are no longer kept.
    dropped: usize,
}

impl Log {
    pub(super) fn push(&mut self, notice: Notice) {
        self.notices.push_back(notice);
        if self.notices.len() > MAX_NOTICES {
            self.notices.pop_front();
            self.dropped += 1;
        }
    }

    /// The strikes among the notices.
    pub(super) fn strikes(&self) -> impl Iterator<Item = &Strike> {
        self.notices.iter().filter_map(|notice| match notice {
            Notice::Struck(strike) => Some(strike),
            _ => None,
        })
    }

    /// Takes a part out of the strikes that are cancelled for it.
    pub(super) fn take_out(&mut self, part: Part, is_cancelled: impl Fn(&Strike) -> bool) {
        for notice in &mut self.notices {
            let Notice::Struck(strike) = notice else { continue };
            if strike.parts.contains(&part) && is_cancelled(strike) {
                strike.parts = strike.parts.iter().copied().filter(|p| *p != part).collect();
            }
        }
    }

    /// Replaces the strikes for a crash by its retraction at `at`.
    pub(super) fn retract(&mut self, crash: Crash, at: Instant) {
        for notice in &mut self.notices {
            if matches!(notice, Notice::Struck(strike) if strike.crash == crash) {
                *notice = Notice::Retracted(crash, at);
            }
        }
    }

    /// The notices that followed the first `count` ones, as far as they are kept, and the number of
    /// all notices so far.
    pub(super) fn after(&self, count: usize) -> (Vec<Notice>, usize) {
        let skipped = count.saturating_sub(self.dropped);
        let notices = self.notices.iter().skip(skipped).cloned().collect();
        (notices, self.dropped + self.notices.len())
    }
}
