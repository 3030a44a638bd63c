//! Chooses replicas for streams, for unary requests and for KV cache copies.
//!
//! A stream goes to the replica with the least [cost](forecast) among a few drawn candidates that
//! have reported their load; further ones are drawn if the best of them is loaded. A
//! [unary](crate::unary) request goes to the replica with the least expected latency, which this
//! daemon's earlier requests have shown; no load report is requested for it. The functions take
//! the [`Catalog`] and received [`Report`]s, and send nothing themselves.

use rand::{Rng, seq::IteratorRandom};
use winch_route::{
    engine::{self, Forecast, Position, Request},
    hash,
};

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
/// Cost factor of an ejected replica for a unary request: so high that such a replica is
/// normally chosen last.
const LAST_RESORT_COST: f64 = 100.0;
/// Assumed latency of a replica without a measurement, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 20.0;
/// Cost factor of a replica in another data centre for a unary request.
const REMOTE_FACTOR: f64 = 1.5;
/// Cost factor of a replica for a unary request that has just refused one because it was full: its
/// queue is as long for all daemons.
const FULL_FACTOR: f64 = 4.0;
/// Cost that a stream adds for a replica that has just refused one because it was full, relative to
/// a run in the prefill phase: so high that such a replica is chosen last.
const FULL_COST: f64 = 1_000.0;
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
/// rendezvous hashing, in proportion to the replicas' speeds: after a restart of all daemons, which
/// then know nothing of earlier runs, a repeated request is offered to replicas that may have read
/// its prompt before. Remote
/// replicas replace missing local ones. Replicas whose limit binds come first while this daemon has
/// a slot. Replicas without a slot under the limit that they name are
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
    let rank = |replicas, count| rank(catalog, replicas, affinity, count);
    let mut drawn = rank(limited, SLOT_CANDIDATES << round);
    drawn.extend(rank(local, LOCAL_CANDIDATES << round));
    let remote_count = total - drawn.len();
    let mut remote = rank(remote, usize::MAX);
    let mut others =
        remote.split_off(remote.len().min(remote_count.saturating_sub(RANDOM_CANDIDATES)));
    // The report of a replica without a slot may show that its limit has ended.
    others.extend(closed.into_iter().map(to_pair));
    drawn.extend(remote);
    let missing = total - drawn.len();
    drawn.extend(draw_by_speed(catalog, others, missing.min(RANDOM_CANDIDATES), rng));
    if drawn.is_empty() {
        let accepting = catalog.accepting(service, now).into_iter().filter(is_eligible);
        drawn = accepting.map(to_pair).choose_multiple(rng, total);
    }
    drawn
}

/// The first `count` replicas in the rendezvous order of `affinity`, in which a replica's share of
/// the first places is proportional to its speed.
fn rank(
    catalog: &Catalog,
    mut replicas: Vec<(Key, Arc<Replica>)>,
    affinity: u64,
    count: usize,
) -> Vec<(Key, Arc<Replica>)> {
    let order = |(key, replica): &(Key, Arc<Replica>)| {
        let score = hash::score(affinity, hash::name(&replica.id)) as f64 / u64::MAX as f64;
        engine::draw_order(score, catalog.slowness(*key))
    };
    sort_by_order(&mut replicas, order);
    replicas.truncate(count);
    replicas
}

/// Sorts by a value that is computed once for each replica.
fn sort_by_order(
    replicas: &mut Vec<(Key, Arc<Replica>)>,
    mut order: impl FnMut(&(Key, Arc<Replica>)) -> f64,
) {
    let mut ordered: Vec<_> = replicas.drain(..).map(|pair| (order(&pair), pair)).collect();
    ordered.sort_by(|a, b| a.0.total_cmp(&b.0));
    replicas.extend(ordered.into_iter().map(|(_, pair)| pair));
}

/// Draws `count` replicas at random, in proportion to their speeds where these are known to differ.
fn draw_by_speed<R: Rng>(
    catalog: &Catalog,
    mut replicas: Vec<(Key, Arc<Replica>)>,
    count: usize,
    rng: &mut R,
) -> Vec<(Key, Arc<Replica>)> {
    if replicas.iter().all(|(key, _)| catalog.slowness(*key) == 1.0) {
        return replicas.into_iter().choose_multiple(rng, count);
    }
    sort_by_order(&mut replicas, |(key, _)| {
        engine::draw_order(rng.random(), catalog.slowness(*key))
    });
    replicas.truncate(count);
    replicas
}

/// Draws the replicas of a further round, in which no one is `asked` again: at random from all
/// data centres, in proportion to their speeds.
pub fn draw_further<R: Rng>(
    catalog: &Catalog,
    service: &str,
    asked: &[Key],
    is_eligible: impl Fn(&Replica) -> bool,
    now: Instant,
    rng: &mut R,
) -> Vec<(Key, Arc<Replica>)> {
    let demand = catalog.demand_per_replica(service, now);
    let eligible = catalog.usable(service, now).filter(|(key, entry)| {
        !asked.contains(key) && is_eligible(&entry.replica) && catalog.has_slot(entry, demand, now)
    });
    let eligible = eligible.map(|(key, entry)| (key, entry.replica.clone())).collect();
    draw_by_speed(catalog, eligible, engine::FURTHER_CANDIDATES, rng)
}

/// A replica that has sent its load report.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The replica's key in the catalog.
    pub key: Key,
    /// The replica.
    pub replica: &'a Replica,
    /// Its report.
    pub report: &'a Report,
    /// Share of the prompt that it has cached, 0 to 1.
    pub cached: f64,
}

/// What a stream has to expect at a candidate. The daemon is in the data centre `dc`.
///
/// A replica that has just refused a stream because it was full is not open, and is best only if
/// all are full: its queue is as long for all streams, and each refusal costs a retry.
pub fn forecast(
    catalog: &Catalog,
    candidate: Candidate<'_>,
    dc: &str,
    request: &Request,
    service: &engine::Service,
    now: Instant,
) -> Forecast {
    let Candidate { key, replica, report, cached } = candidate;
    let entry = catalog.get(key);
    let starting = entry.map_or(0, |entry| entry.starting);
    let slowness = catalog.slowness(key);
    let position = Position { is_local: *replica.dc == *dc, slowness, cached };
    let forecast = engine::forecast(&report.load(starting), request, position, service);
    if entry.is_some_and(|entry| entry.is_full(now)) {
        let cost = forecast.cost + FULL_COST;
        return Forecast { cost, is_open: false, ..forecast };
    }
    forecast
}

/// Chooses the replica that is to hold the KV cache copy of a run at `source`: the one with
/// the most uncommitted tokens among those of the same version in other data centres that are not
/// draining and have at least `room`. `None` if there is no such replica.
pub fn choose_copy_holder<'a>(
    reports: impl Iterator<Item = (&'a Arc<Replica>, &'a Report)>,
    source: &Replica,
    room: u64,
    service: &engine::Service,
) -> Option<Arc<Replica>> {
    let eligible = reports
        .filter(|(replica, _)| replica.dc != source.dc && replica.version == source.version)
        .filter(|(_, report)| !report.draining);
    let uncommitted =
        eligible.map(|(replica, report)| (replica, report.load(0).uncommitted_tokens(service)));
    engine::choose_holder(uncommitted, room).cloned()
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
    let eligible = eligible_holders(catalog, source, excluded_dc, now);
    eligible.choose(rng).map(|(_, replica)| replica.clone())
}

/// As [`draw_copy_holder()`], but draws up to `count` replicas that satisfy `is_eligible`.
pub fn draw_copy_holders<R: Rng>(
    catalog: &Catalog,
    source: &Replica,
    excluded_dc: &str,
    is_eligible: impl Fn(&Replica) -> bool,
    count: usize,
    now: Instant,
    rng: &mut R,
) -> Vec<(Key, Arc<Replica>)> {
    let eligible = eligible_holders(catalog, source, excluded_dc, now);
    let drawn = eligible.filter(|(_, replica)| is_eligible(replica)).choose_multiple(rng, count);
    drawn.into_iter().map(|(key, replica)| (key, replica.clone())).collect()
}

/// Usable replicas of the version of `source` in other data centres than `source` and
/// `excluded_dc`.
fn eligible_holders<'a>(
    catalog: &'a Catalog,
    source: &'a Replica,
    excluded_dc: &'a str,
    now: Instant,
) -> impl Iterator<Item = (Key, &'a Arc<Replica>)> {
    let usable = catalog.usable(&source.service, now).map(|(key, entry)| (key, &entry.replica));
    usable.filter(move |(_, replica)| {
        let is_elsewhere = replica.dc != source.dc && *replica.dc != *excluded_dc;
        is_elsewhere && replica.version == source.version
    })
}

/// Chooses the replica for a unary request: the one with the least expected latency among
/// those that satisfy `is_eligible`.
///
/// A latency that was not measured for some time counts as that of the fastest replica. The cost of a
/// replica also grows with its failure rate and if it was full, and an ejected
/// replica is normally chosen only if there is no other one. `None` if no replica is eligible, or
/// if none has a slot under the limit that it names.
pub fn choose_replica<R: Rng>(
    catalog: &Catalog,
    service: &str,
    dc: &str,
    is_eligible: impl Fn(&Replica) -> bool,
    now: Instant,
    rng: &mut R,
) -> Option<(Key, Arc<Replica>)> {
    let accepting = catalog.accepting(service, now);
    let latencies = accepting.iter().filter_map(|(_, entry)| entry.latency_ms);
    let fastest = latencies.fold(f64::INFINITY, f64::min);
    let cost = |entry: &Entry, rng: &mut R| {
        let latency = entry.latency_ms.unwrap_or(DEFAULT_LATENCY_MS);
        // So the next request measures the replica again.
        let latency = if entry.has_outdated_latency(now) { fastest } else { latency };
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
    let entries = accepting
        .into_iter()
        .filter(|(_, entry)| is_eligible(&entry.replica) && catalog.has_slot(entry, demand, now));
    let costs: Vec<_> = entries.map(|(key, e)| (cost(e, rng), key, &e.replica)).collect();
    let best = costs.into_iter().min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, key, replica)| (key, replica.clone()))
}
