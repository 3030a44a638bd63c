//! What became of a request: its attempts, who has it, and whether it may have run.

use std::fmt::Display;

use bytes::Bytes;
use winch_http::head::Reply;

use crate::{
    config::Semantics,
    delivery::{Deliveries, Delivery},
    job::Outcome,
    prelude::*,
    unary::guarantees_not_run,
};

/// What a request was doing when it was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A replica was being chosen or connected to; nobody had the request.
    Choosing,
    /// Somebody had the request and had yielded nothing of the answer.
    Sent,
    /// Somebody had the request and had yielded a part of the answer.
    Running,
}

impl Phase {
    /// The phase as the log and the metrics name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Choosing => "choosing",
            Self::Sent => "sent",
            Self::Running => "running",
        }
    }
}

/// Attempts made for one request; for the log and for the choice of further replicas.
#[derive(Debug, Default)]
pub struct Trace {
    /// What is known of the deliveries of the request.
    deliveries: Deliveries,
    /// Number of times that the request was sent, without failed connections.
    pub sends: u32,
    /// Result of each attempt, as `replica@dc:result`.
    pub steps: Vec<String>,
    /// Who has the request and has not replied yet, as `replica@dc` or the address of a daemon.
    pub pending: Option<String>,
    /// Who has the request, too, and is late; named in the same way.
    pub late: Vec<String>,
    /// The complete error reply of a replica, for the caller if no other attempt succeeds.
    pub error_reply: Option<(Reply, Bytes)>,
    /// Whether other daemons were asked to take the request.
    pub was_forwarded: bool,
    /// Ids of the replicas that are not chosen again for the request, unless they hold the
    /// KV cache copy from which it continues.
    pub excluded: Vec<Name>,
    /// Time from the receipt of the request to the first event of its stream.
    pub first_event: Option<Duration>,
    /// Longest time between two events of the stream.
    pub longest_gap: Duration,
    /// When whoever has the request yielded the first event of its run.
    pub run_began_at: Option<Instant>,
    /// When the last event of the stream was received, from whomever.
    pub last_event_at: Option<Instant>,
    /// What the request was doing when it was interrupted; `None` if it was not.
    pub interrupted_in: Option<Phase>,
}

impl Trace {
    /// Records that a run of the request begins, from which no event has been received.
    pub fn begin_run(&mut self) {
        self.run_began_at = None;
    }

    /// Records events of the run that were received at `now`. Returns when its first ones were.
    pub fn record_event(&mut self, now: Instant) -> Instant {
        self.last_event_at = Some(now);
        *self.run_began_at.get_or_insert(now)
    }

    /// Records what the request is doing, which is interrupted now. Returns it.
    pub fn record_phase(&mut self) -> Phase {
        let is_pending = self.pending.is_some() || !self.late.is_empty();
        let phase = match (is_pending, self.run_began_at) {
            (false, _) => Phase::Choosing,
            (true, None) => Phase::Sent,
            (true, Some(_)) => Phase::Running,
        };
        *self.interrupted_in.insert(phase)
    }

    /// Records that the request is being sent to `replica`, and begins its delivery.
    pub fn send(&mut self, replica: &Replica) -> Delivery {
        self.sends += 1;
        self.expect(replica);
        self.deliveries.begin()
    }

    /// The deliveries of the request, for those that begin while the trace is borrowed.
    pub fn deliveries(&self) -> Deliveries {
        self.deliveries.clone()
    }

    /// Whether the request may have run, or may run yet.
    pub fn may_have_run(&self) -> bool {
        self.deliveries.may_have_run()
    }

    /// Whether the request was lost: it may have run where it is no longer expected to answer.
    pub fn was_lost(&self) -> bool {
        self.deliveries.has_lost()
    }

    /// Whether a request of this kind may be sent once more.
    pub fn may_send(&self, semantics: Semantics) -> bool {
        semantics.may_repeat() || !self.may_have_run()
    }

    /// Records that `replica` has the request and is expected to answer.
    pub fn expect(&mut self, replica: &Replica) {
        self.pending = Some(format!("{}@{}", replica.id, replica.dc));
    }

    /// Records that whoever has the request is late.
    pub fn expect_late(&mut self) {
        self.late.extend(self.pending.take());
    }

    /// Records that the request is interrupted because of `cause`: those who have it are not waited
    /// for any longer. Returns what it was doing.
    pub fn interrupt(&mut self, cause: &str) -> Phase {
        let phase = self.record_phase();
        self.leave_pending(cause);
        phase
    }

    /// Records that another attempt has decided the request.
    pub fn supersede(&mut self) {
        self.leave_pending("superseded");
    }

    fn leave_pending(&mut self, cause: &str) {
        for pending in self.late.drain(..).chain(self.pending.take()) {
            self.steps.push(format!("{pending}:{cause}"));
        }
    }

    /// The outcome of a request of this kind that has ended with `outcome`: its reply says that the
    /// request has not run only if that is certain. All replies pass here.
    pub fn conclude(&self, semantics: Semantics, outcome: Outcome) -> Outcome {
        match outcome {
            // The caller would send it once more: it cannot know that the replica has run it.
            Outcome::Answer { reply, .. }
                if guarantees_not_run(reply.status) && !self.may_send(semantics) =>
            {
                Outcome::Error(Code::BadReply)
            }
            Outcome::Error(code) => Outcome::Error(self.reply_code(code)),
            Outcome::Shed { code, .. } if self.may_have_run() => {
                Outcome::Error(self.reply_code(code))
            }
            outcome => outcome,
        }
    }

    /// The code of the reply to a request that was given up because of `code`.
    fn reply_code(&self, code: Code) -> Code {
        match (code, self.may_have_run()) {
            (Code::TimedOut | Code::Expired, true) => Code::TimedOut,
            (Code::TimedOut | Code::Expired, false) => Code::Expired,
            (code, true) if !code.may_have_run() => Code::Broken,
            (code, _) => code,
        }
    }

    /// Records the result of whoever had the request, as [`Self::pending`] names it.
    pub fn record_end(&mut self, name: &str, result: impl Display) {
        match self.late.iter().position(|late| late == name) {
            Some(index) => drop(self.late.remove(index)),
            None => self.pending = None,
        }
        self.steps.push(format!("{name}:{result}"));
    }

    /// Records the result of an attempt at `replica`.
    pub fn record(&mut self, replica: &Replica, result: impl Display) {
        self.record_end(&format!("{}@{}", replica.id, replica.dc), result);
    }
}
