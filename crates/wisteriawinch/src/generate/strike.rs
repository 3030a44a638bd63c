//! Attribution of engine crashes to the requests that were running at the time.
//!
//! A request gets a strike as soon as its connection breaks. A probe of the engine then decides
//! whether the strike is published to all daemons or retracted.

use winch_route::{
    candidate::Spec,
    hash,
    pool::Key,
    suspect::{Crash, Disposition, Fingerprint},
};

use crate::{emit, prelude::*};

/// Length of the period in which failures of one upstream count as the same crash.
const CRASH_BUCKET_SECONDS: u64 = 10;

/// Id of a crash of an upstream at the current time, the same on every daemon that observes the
/// crash within the same period.
pub fn crash_id(upstream: &str) -> Crash {
    Crash(hash::score(hash::name(upstream), unix_now() / CRASH_BUCKET_SECONDS))
}

/// Adds a strike to a request whose connection broke, before the request is resumed.
///
/// Whether the upstream crashed is unknown at this point; [`publish_or_retract`] must be called
/// with the returned crash and the result of a probe.
pub fn add(fleet: &Fleet, upstream: &str, fingerprint: Fingerprint) -> Crash {
    let crash = crash_id(upstream);
    fleet.suspects().record_crash(crash, &[fingerprint], fleet.now());
    crash
}

/// Publishes the strike of a crash if the upstream `is_dead`, and retracts the crash otherwise.
pub fn publish_or_retract(
    fleet: &Fleet,
    spec: &Spec,
    fingerprint: Fingerprint,
    crash: Crash,
    is_dead: bool,
) {
    if !is_dead {
        fleet.suspects().retract(crash);
        return;
    }
    let is_first = fleet.publish_strike(fingerprint, crash);
    if is_first {
        fleet.rollouts().record_crash(&spec.runs, fleet.now());
        emit!(Event::UpstreamCrashed, upstream = spec.name);
    }
}

/// How a request may run now, by the number of its strikes.
pub fn disposition(fleet: &Fleet, fingerprint: Fingerprint) -> Disposition {
    fleet.suspects().disposition(fingerprint, fleet.now())
}

/// Replicas that run another request with strikes.
///
/// Two such requests are kept apart, so that a crash is attributed to only one of them.
pub fn conflicting_replicas(fleet: &Fleet, fingerprint: Fingerprint) -> Vec<Key> {
    let now = fleet.now();
    let inflight = fleet.inflight();
    let suspects = fleet.suspects();
    let is_struck = |other: &Fingerprint| {
        *other != fingerprint && suspects.disposition(*other, now) != Disposition::Clear
    };
    let replicas = inflight
        .iter()
        .filter_map(|(key, mut fingerprints)| fingerprints.any(is_struck).then_some(key));
    replicas.collect()
}
