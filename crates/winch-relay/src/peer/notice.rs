//! What daemons tell each other about crashes of replicas, as messages.

use std::mem::take;

use prost::Message;
use winch_route::{
    quarantine::Part,
    suspect::{Crash, Fingerprint},
};

use crate::{
    counter,
    prelude::*,
    strikes::{self, Strike},
};

/// A [`Strike`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub(super) struct CrashStrike {
    /// See [`Strike::request`].
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// See [`Strike::crash`].
    #[prost(fixed64, tag = "2")]
    pub crash: u64,
    /// See [`Strike::parts`].
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
    /// Time since the crash was observed, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

impl CrashStrike {
    /// Encodes the strike, with its age at `now`.
    pub(super) fn encode_at(strike: &Strike, now: Instant) -> Self {
        Self {
            request: strike.request.0,
            crash: strike.crash.0,
            parts: strike.parts.iter().map(|part| part.0).collect(),
            age_ms: millis(now.saturating_duration_since(strike.at)),
        }
    }

    /// Decodes a strike that was received at `now`.
    pub(super) fn decode_at(self, now: Instant) -> Strike {
        Strike {
            request: Fingerprint(self.request),
            crash: Crash(self.crash),
            parts: self.parts.into_iter().map(Part).collect(),
            at: time_before(now, self.age_ms),
        }
    }
}

/// A part of prompts that was cleared.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct ClearedPart {
    /// The part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Time since a request with the part survived, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

impl ClearedPart {
    /// Encodes the clearance of `part` at `at`, with its age at `now`.
    pub(super) fn encode_at(part: Part, at: Instant, now: Instant) -> Self {
        Self { part: part.0, age_ms: millis(now.saturating_duration_since(at)) }
    }

    /// Decodes a clearance that was received at `now`.
    pub(super) fn decode_at(self, now: Instant) -> (Part, Instant) {
        (Part(self.part), time_before(now, self.age_ms))
    }
}

/// A crash whose strikes were removed, because its replica was found alive.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct RetractedCrash {
    /// The crash.
    #[prost(fixed64, tag = "1")]
    pub crash: u64,
    /// Time since the replica was found alive, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

impl RetractedCrash {
    /// Encodes the retraction of `crash` at `at`, with its age at `now`.
    pub(super) fn encode_at(crash: Crash, at: Instant, now: Instant) -> Self {
        Self { crash: crash.0, age_ms: millis(now.saturating_duration_since(at)) }
    }

    /// Decodes a retraction that was received at `now`.
    pub(super) fn decode_at(self, now: Instant) -> (Crash, Instant) {
        (Crash(self.crash), time_before(now, self.age_ms))
    }
}

/// A request with strikes that ran to its end.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct CompletedRequest {
    /// The request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Time since it ran to its end, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

impl CompletedRequest {
    /// Encodes the completion of `request` at `at`, with its age at `now`.
    pub(super) fn encode_at(request: Fingerprint, at: Instant, now: Instant) -> Self {
        Self { request: request.0, age_ms: millis(now.saturating_duration_since(at)) }
    }

    /// Decodes a completion that was received at `now`.
    pub(super) fn decode_at(self, now: Instant) -> (Fingerprint, Instant) {
        (Fingerprint(self.request), time_before(now, self.age_ms))
    }
}

/// What one message tells about crashes.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    pub(super) strikes: Vec<CrashStrike>,
    pub(super) cleared: Vec<ClearedPart>,
    pub(super) retracted: Vec<RetractedCrash>,
    pub(super) completed: Vec<CompletedRequest>,
}

impl Notices {
    /// Takes the notices out of the fields of a message.
    pub(super) fn take(
        strikes: &mut Vec<CrashStrike>,
        cleared: &mut Vec<ClearedPart>,
        retracted: &mut Vec<RetractedCrash>,
        completed: &mut Vec<CompletedRequest>,
    ) -> Self {
        Self {
            strikes: take(strikes),
            cleared: take(cleared),
            retracted: take(retracted),
            completed: take(completed),
        }
    }

    /// Whether the message tells nothing about crashes.
    pub(super) fn is_empty(&self) -> bool {
        let Self { strikes, cleared, retracted, completed } = self;
        strikes.is_empty() && cleared.is_empty() && retracted.is_empty() && completed.is_empty()
    }

    /// Applies what a peer has told.
    pub(super) fn apply<P: Protocol>(self, node: &Arc<Node<P>>) {
        if self.is_empty() {
            return;
        }
        let now = Instant::now();
        for cleared in self.cleared {
            let (part, at) = cleared.decode_at(now);
            node.strikes().apply_clearance(part, at);
        }
        for completed in self.completed {
            let (request, at) = completed.decode_at(now);
            node.strikes().apply_completion(request, at);
        }
        for strike in self.strikes {
            if node.strikes().apply(strike.decode_at(now)) {
                counter::strike_added("peer");
            }
        }
        for retracted in self.retracted {
            let (crash, at) = retracted.decode_at(now);
            node.strikes().retract(crash, at);
        }
        strikes::report_untold(node);
        node.announce_strike();
    }
}

/// A duration in whole milliseconds.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The time `age_ms` milliseconds before `now`.
fn time_before(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now)
}
