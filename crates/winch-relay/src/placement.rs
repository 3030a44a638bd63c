//! Chooses replicas for streams, for unary requests and for KV cache copies.
//!
//! A stream goes to the replica with the least [`stream_cost`] among a few drawn
//! candidates that have reported their load. A [unary](crate::unary) request goes to the
//! replica with the least expected latency, which this daemon's earlier requests have
//! measured; no load report is requested for it. The functions take the [`Catalog`] and
//! received [`Report`]s, and send nothing themselves.

use std::cmp::Reverse;

use rand::{Rng, seq::IteratorRandom};
use winch_route::hash;

use crate::{
    catalog::{Catalog, Entry, Key},
    prelude::*,
    replica::Report,
};

/// Number of candidates that the first round takes from the daemon's own data centre.
const LOCAL_CANDIDATES: usize = 2;
/// Number of candidates that the first round takes from other data centres, in addition to
/// those that replace missing local ones.
const REMOTE_CANDIDATES: usize = 2;
/// Number of candidates that the first round takes from replicas that name a limit and for which
/// this daemon has a slot, before all others: the slot would soon be lost.
const SLOT_CANDIDATES: usize = 2;
/// Number of candidates of a round that are drawn at random, so that requests with the same key
/// do not all compete for the same replicas.
const RANDOM_CANDIDATES: usize = 1;
/// What a wholly cached prompt takes off the cost of a stream, relative to a run in the prefill
/// phase. More than the phase itself, because the stream's caller has already waited for it once.
const CACHE_GAIN: f64 = 3.0;
/// Cost of a run in the decode phase, relative to one in the prefill phase.
const DECODE_COST: f64 = 0.8;
/// Cost that a replica in another data centre adds, relative to a run in the prefill phase.
const REMOTE_COST: f64 = 0.15;
/// Cost that a lack of free KV cache adds for a stream, and cost factor of an ejected
/// replica for a unary request: so high that such a replica is normally chosen last.
const LAST_RESORT_COST: f64 = 100.0;
/// Assumed latency of a replica without a measurement, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 20.0;
/// Cost factor of a replica in another data centre for a unary request.
const REMOTE_FACTOR: f64 = 1.5;
/// Cost factor of a replica for a unary request that has just refused one because it was full: its
/// queue is as long for all daemons.
const FULL_FACTOR: f64 = 4.0;
/// Weight of a replica's failure rate in its cost for a unary request.
const FAILURE_WEIGHT: f64 = 4.0;

/// Who is asked for the load report before a stream is placed.
#[derive(Clone, Copy, Debug)]
pub struct Draw<'a> {
    /// The service.
    pub service: &'a str,
    /// The daemon's data centre.
    pub dc: &'a str,
    /// Key of the request, which is the same when its caller repeats it.
    pub affinity: u64,
    /// Number of earlier rounds in which no replica could be chosen; the number of candidates
    /// doubles with each, so that the last live replica of many is found soon.
    pub round: u32,
}

/// Draws the replicas that are asked for their load before a stream is placed.
///
/// Only replicas that satisfy `is_eligible` are drawn. Most candidates follow from the key by
/// rendezvous hashing: after a restart of all daemons, which then know nothing of earlier runs,
/// a repeated request is offered to replicas that may have read its prompt before. Remote
/// replicas replace missing local ones. Replicas whose limit binds come first while this daemon has a
/// slot. Replicas without a slot under the limit that they name are
/// drawn at random only. Ejected replicas are drawn only if no other one is
/// eligible.
pub fn draw_candidates<R: Rng>(
    catalog: &Catalog,
    draw: Draw<'_>,
    is_eligible: impl Fn(&Replica) -> bool,
    now: Instant,
    rng: &mut R,
) -> Vec<(Key, Arc<Replica>)> {
    let Draw { service, dc, affinity, round } = draw;
    let is_eligible = |(_, entry): &(Key, &Entry)| is_eligible(&entry.replica);
    let to_pair = |(key, entry): (Key, &Entry)| (key, entry.replica.clone());
    let demand = catalog.demand_per_replica(service, now);
    let usable = catalog.usable(service, now).filter(is_eligible);
    let (open, closed): (Vec<_>, Vec<_>) =
        usable.partition(|(_, entry)| catalog.has_slot(entry, demand, now));
    let (limited, free): (Vec<_>, Vec<_>) =
        open.into_iter().partition(|(_, entry)| catalog.is_bound(entry, demand));
    let limited = limited.into_iter().map(to_pair).collect();
    let usable = free.into_iter().map(to_pair);
    let (local, remote): (Vec<_>, Vec<_>) = usable.partition(|(_, replica)| *replica.dc == *dc);
    let total = (LOCAL_CANDIDATES + REMOTE_CANDIDATES) << round;
    let mut drawn = rank(limited, affinity, SLOT_CANDIDATES << round);
    drawn.extend(rank(local, affinity, LOCAL_CANDIDATES << round));
    let remote_count = total - drawn.len();
    let mut remote = rank(remote, affinity, usize::MAX);
    let mut others =
        remote.split_off(remote.len().min(remote_count.saturating_sub(RANDOM_CANDIDATES)));
    // The report of a replica without a slot may show that its limit has ended.
    others.extend(closed.into_iter().map(to_pair));
    drawn.extend(remote);
    let missing = total - drawn.len();
    drawn.extend(others.into_iter().choose_multiple(rng, missing.min(RANDOM_CANDIDATES)));
    if drawn.is_empty() {
        let serving = catalog.serving(service).filter(is_eligible).map(to_pair);
        drawn = serving.choose_multiple(rng, total);
    }
    drawn
}

/// The first `count` replicas in the rendezvous order of `affinity`.
fn rank(
    mut replicas: Vec<(Key, Arc<Replica>)>,
    affinity: u64,
    count: usize,
) -> Vec<(Key, Arc<Replica>)> {
    let score = |replica: &Replica| hash::score(affinity, hash::name(&replica.id));
    replicas.sort_by_cached_key(|(_, replica)| Reverse(score(replica)));
    replicas.truncate(count);
    replicas
}

/// Cost of placing a stream that needs `tokens` of KV cache at a replica with this report. A
/// queued request and a run in the prefill phase cost 1 each; the least cost is best.
///
/// `starting` is the number of this daemon's own streams there without a first event;
/// the report may be too old to include them. `cached` is the share of the prompt that the
/// replica has cached, 0 to 1.
pub fn stream_cost(
    report: &Report,
    starting: u32,
    is_local: bool,
    tokens: u64,
    cached: f64,
) -> f64 {
    let prefilling = report.prefilling.max(starting) + report.waiting;
    let full_cost = if report.free_tokens() < tokens { LAST_RESORT_COST } else { 0.0 };
    let remote_cost = if is_local { 0.0 } else { REMOTE_COST };
    let decoding = report.running.saturating_sub(report.prefilling);
    f64::from(prefilling) + f64::from(decoding) * DECODE_COST + remote_cost + full_cost
        - cached * CACHE_GAIN
}

/// Chooses the replica that is to hold the KV cache copy of a run at `source`: the one with
/// the most free tokens among those of the same version in other data centres that are not
/// draining and have at least `tokens` free. `None` if there is no such replica.
pub fn choose_copy_holder<'a>(
    reports: impl Iterator<Item = (&'a Arc<Replica>, &'a Report)>,
    source: &Replica,
    tokens: u64,
) -> Option<Arc<Replica>> {
    reports
        .filter(|(replica, _)| replica.dc != source.dc && replica.version == source.version)
        .filter(|(_, report)| report.free_tokens() >= tokens && !report.draining)
        .max_by_key(|(_, report)| report.free_tokens())
        .map(|(replica, _)| replica.clone())
}

/// Draws a holder for the KV cache copy of a run at `source` without load reports: a usable
/// replica of the same version, in another data centre than `source` and `excluded_dc`. An
/// empty `excluded_dc` excludes no further data centre.
pub fn draw_copy_holder<R: Rng>(
    catalog: &Catalog,
    source: &Replica,
    excluded_dc: &str,
    now: Instant,
    rng: &mut R,
) -> Option<Arc<Replica>> {
    let usable = catalog.usable(&source.service, now).map(|(_, entry)| &entry.replica);
    let is_eligible = |replica: &&Arc<Replica>| {
        replica.version == source.version && replica.dc != source.dc && *replica.dc != *excluded_dc
    };
    usable.filter(is_eligible).choose(rng).cloned()
}

/// Chooses the replica for a unary request: the one with the least expected latency among
/// those that satisfy `is_eligible`.
///
/// The cost of a replica also grows with its failure rate and if it was full, and an ejected replica is normally
/// chosen only if there is no other one. `None` if no replica is eligible, or if none has a slot
/// under the limit that it names.
pub fn choose_replica<R: Rng>(
    catalog: &Catalog,
    service: &str,
    dc: &str,
    is_eligible: impl Fn(&Replica) -> bool,
    now: Instant,
    rng: &mut R,
) -> Option<(Key, Arc<Replica>)> {
    let cost = |entry: &Entry, rng: &mut R| {
        let latency = entry.latency_ms.unwrap_or(DEFAULT_LATENCY_MS);
        let load = 1.0 + f64::from(entry.in_flight) / f64::from(entry.replica.slots.max(1));
        let remote = if *entry.replica.dc == *dc { 1.0 } else { REMOTE_FACTOR };
        let ejected = if entry.is_ejected(now) { LAST_RESORT_COST } else { 1.0 };
        let full = if entry.is_full(now) { FULL_FACTOR } else { 1.0 };
        let jitter = rng.random_range(0.95..1.05);
        latency
            * load
            * remote
            * ejected
            * full
            * (1.0 + FAILURE_WEIGHT * entry.failure_rate)
            * jitter
    };
    let demand = catalog.demand_per_replica(service, now);
    let entries = catalog
        .serving(service)
        .filter(|(_, entry)| is_eligible(&entry.replica) && catalog.has_slot(entry, demand, now));
    let costs: Vec<_> = entries.map(|(key, e)| (cost(e, rng), key, &e.replica)).collect();
    let best = costs.into_iter().min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, key, replica)| (key, replica.clone()))
}
