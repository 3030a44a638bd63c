//! Attributes the deaths of engines to the requests that they were running.

use winch_route::{
    candidate::Spec,
    hash,
    pool::Key,
    suspect::{Crash, Disposition, Fingerprint},
};

use crate::{emit, prelude::*};

/// Deaths of one upstream closer together than this count as one, in seconds.
const DEATH_BUCKET: u64 = 10;

/// Names the death of an upstream now; the same for all that notice it.
pub fn death(upstream: &str) -> Crash {
    Crash(hash::score(hash::name(upstream), unix_now() / DEATH_BUCKET))
}

/// Strikes a request whose connection broke, before it is resumed anywhere.
///
/// Whether the upstream is dead is not known yet; [`settle`] finds out.
pub fn suspect(fleet: &Fleet, upstream: &str, fingerprint: Fingerprint) -> Crash {
    let death = death(upstream);
    fleet.board().record_crash(death, &[fingerprint], fleet.now());
    death
}

/// Tells the fleet of a strike if the upstream is dead, and takes it back otherwise.
pub fn settle(fleet: &Fleet, spec: &Spec, fingerprint: Fingerprint, death: Crash, dead: bool) {
    if !dead {
        fleet.board().retract(death);
        return;
    }
    let new = fleet.publish_strike(fingerprint, death);
    if new {
        fleet.trials().died(&spec.runs, fleet.now());
        emit!(Event::UpstreamDied, upstream = spec.name);
    }
}

/// How a request may run now.
pub fn standing(fleet: &Fleet, fingerprint: Fingerprint) -> Disposition {
    fleet.board().disposition(fingerprint, fleet.now())
}

/// Replicas that run another struck request; two of them never share one.
pub fn avoid(fleet: &Fleet, fingerprint: Fingerprint) -> Vec<Key> {
    let now = fleet.now();
    let running = fleet.running();
    let board = fleet.board();
    let struck = |other: &Fingerprint| {
        *other != fingerprint && board.disposition(*other, now) != Disposition::Clear
    };
    let replicas = running.iter().filter_map(|(key, mut prints)| prints.any(struck).then_some(key));
    replicas.collect()
}
