//! What daemons tell each other about crashes of replicas, as messages.

use prost::Message;
use winch_route::{
    quarantine::Part,
    suspect::{Crash, Fingerprint},
};

use crate::{prelude::*, strikes::Strike};

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

/// A duration in whole milliseconds.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The time `age_ms` milliseconds before `now`.
fn time_before(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now)
}
