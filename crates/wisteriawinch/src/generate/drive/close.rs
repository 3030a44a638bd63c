//! How an answer ends: complete, refused or given up.

use winch_generation::answer::Rejection;
use winch_route::candidate::Finish;

use super::{
    super::{engine::Engine, job::Refusal},
    Driver, End,
};
use crate::{counter, emit, prelude::*};

impl<E: Engine> Driver<E> {
    pub(super) fn complete(&mut self) -> End {
        if self.job.stream {
            self.output.push_end();
        }
        End::Complete
    }

    /// Releases the remaining attempts, records how the answer ended and sends the rest of the
    /// output.
    pub(super) async fn close(&mut self, end: End) {
        let (finish, outcome) = match &end {
            End::Complete => (Finish::Completed, "complete"),
            End::Failed(_) => (Finish::Cancelled, "failed"),
            End::Disconnected => (Finish::Cancelled, "left"),
        };
        counter::answer(outcome);
        self.release_pacer();
        let is_long = self.job.max_tokens >= self.fleet.urgency.long_tokens;
        let cancel = match end {
            End::Complete => false,
            // The caller of a long answer may resume it while the engine still holds it.
            End::Disconnected => !is_long,
            End::Failed(_) => true,
        };
        for active in std::mem::take(&mut self.active) {
            self.release(active, finish, cancel);
        }
        match end {
            End::Complete => {
                self.fleet.suspects().record_completion(self.job.fingerprint);
                if !self.success_recorded {
                    self.record_success();
                }
                self.write_whole();
            }
            End::Failed(refusal) => self.fail(refusal),
            End::Disconnected => return,
        }
        while self.output.is_pending() && self.output.flush().await {}
    }

    /// Writes the whole answer to the output, unless it was streamed.
    pub(super) fn write_whole(&mut self) {
        if !self.job.stream {
            self.output.push_whole(self.answer.text(), self.answer.len());
        }
    }

    pub(super) fn fail(&mut self, refusal: Refusal) {
        counter::refused(refusal.0);
        if self.answer.len() > self.replay_until {
            emit!(
                Event::GenerationFailed,
                request = format!("{:016x}", self.job.request),
                code = refusal.0.name(),
                offset = self.answer.len()
            );
        }
        self.output.fail(refusal);
    }
}

pub(super) fn resume_unavailable() -> Refusal {
    let message = "the answer cannot be continued exactly; send the request anew".to_owned();
    (Code::ResumeUnavailable, message)
}

/// Label value of the counter of dropped tokens.
pub(super) fn drop_reason(reason: Rejection) -> &'static str {
    match reason {
        Rejection::Stale => "stale",
        Rejection::Duplicate => "duplicate",
        Rejection::Gap => "gap",
        Rejection::Ended => "ended",
    }
}
