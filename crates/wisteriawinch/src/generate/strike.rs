//! Attributes the deaths of engines to the requests that they were running.

use winch_route::{
    hash,
    pool::Key,
    replica::Spec,
    suspect::{Death, Fingerprint, Standing},
};

use crate::{emit, prelude::*};

/// Deaths of one upstream closer together than this count as one, in seconds.
const DEATH_BUCKET: u64 = 10;

/// Notes the death of an upstream and strikes what it was running here.
pub fn upstream_died(
    fleet: &Fleet,
    key: Key,
    running: &[Fingerprint],
) -> Vec<(Fingerprint, Death)> {
    let spec = fleet.routing().router.pool.get(key).map(|replica| replica.spec.clone());
    let Some(Spec { name, runs, .. }) = spec else {
        return Vec::new();
    };
    fleet.trials().died(&runs, fleet.now());
    let death = Death(hash::score(hash::name(&name), unix_now() / DEATH_BUCKET));
    let struck = fleet.board().death(death, running, fleet.now());
    emit!(Event::UpstreamDied, upstream = name, running = running.len(), struck = struck.len());
    struck.into_iter().map(|fingerprint| (fingerprint, death)).collect()
}

/// How a request may run now.
pub fn standing(fleet: &Fleet, fingerprint: Fingerprint) -> Standing {
    fleet.board().standing(fingerprint, fleet.now())
}

/// Replicas that run another struck request; two of them never share one.
pub fn avoid(fleet: &Fleet, fingerprint: Fingerprint) -> Vec<Key> {
    let now = fleet.now();
    let running = fleet.running();
    let board = fleet.board();
    let struck = |other: &Fingerprint| {
        *other != fingerprint && board.standing(*other, now) != Standing::Clear
    };
    let replicas = running.iter().filter_map(|(key, mut prints)| prints.any(struck).then_some(key));
    replicas.collect()
}
