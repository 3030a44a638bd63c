//! Choice of a replica.

use rand::{Rng, seq::IteratorRandom};

use crate::{
    catalog::{Catalog, Entry, Key},
    prelude::*,
    replica::Report,
};

/// Replicas of the daemon's own data centre that are asked for their load.
const NEAR_CANDIDATES: usize = 2;
/// Replicas of other data centres that are asked for their load.
const FAR_CANDIDATES: usize = 2;
/// Cost of a run that makes events, against one whose prompt is read.
const RUNNING_COST: f64 = 0.8;
/// Cost of a replica in another data centre.
const FAR_COST: f64 = 0.15;
/// Cost of a replica without enough free memory.
const FULL_COST: f64 = 100.0;
/// Latency assumed of a replica that was not used yet, in milliseconds.
const UNKNOWN_LATENCY_MS: f64 = 20.0;
/// Factor on the cost of plain replicas in other data centres.
const FAR_FACTOR: f64 = 1.5;
/// Weight of the share of failures in the cost of plain replicas.
const FAILING_FACTOR: f64 = 4.0;

/// Draws replicas that are asked for their load before a stream is placed, out of
/// those that are `fit`.
///
/// Each `round` without an answer doubles the draw, so that the last live
/// replica of many is found soon.
pub fn draw_candidates<R: Rng>(
    catalog: &Catalog,
    service: &str,
    dc: &str,
    fit: impl Fn(&Replica) -> bool,
    round: u32,
    now: Instant,
    rng: &mut R,
) -> Vec<(Key, Arc<Replica>)> {
    let fit = |(_, entry): &(Key, &Entry)| fit(&entry.replica);
    let near = |(_, entry): &(Key, &Entry)| *entry.replica.dc == *dc;
    let pairs = |(key, entry): (Key, &Entry)| (key, entry.replica.clone());
    let usable = || catalog.usable(service, now).filter(fit);
    let mut chosen =
        usable().filter(near).map(pairs).choose_multiple(rng, NEAR_CANDIDATES << round);
    let total = (NEAR_CANDIDATES + FAR_CANDIDATES) << round;
    let wanted = total - chosen.len();
    chosen.extend(usable().filter(|e| !near(e)).map(pairs).choose_multiple(rng, wanted));
    if chosen.is_empty() {
        let serving = catalog.serving(service).filter(fit).map(pairs);
        chosen = serving.choose_multiple(rng, total);
    }
    chosen
}

/// Expected burden of a stream at a replica with this report; less is better.
pub fn stream_cost(report: &Report, starting: u32, near: bool, tokens: u64) -> f64 {
    let reading = report.prefilling.max(starting) + report.waiting;
    let full = if report.free_tokens() < tokens { FULL_COST } else { 0.0 };
    let far = if near { 0.0 } else { FAR_COST };
    let making = report.running.saturating_sub(report.prefilling);
    f64::from(reading) + f64::from(making) * RUNNING_COST + far + full
}

/// Chooses where the copy of a stream at `source` goes: to a replica of the same
/// version outside its data centre, where most memory is free.
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

/// Draws a replica for the copy of a run at `source` without asking: of the same
/// version, outside its data centre and `avoid`.
pub fn draw_copy_holder<R: Rng>(
    catalog: &Catalog,
    source: &Replica,
    avoid: &str,
    now: Instant,
    rng: &mut R,
) -> Option<Arc<Replica>> {
    let usable = catalog.usable(&source.service, now).map(|(_, entry)| &entry.replica);
    let fit = |replica: &&Arc<Replica>| {
        replica.version == source.version && replica.dc != source.dc && *replica.dc != *avoid
    };
    usable.filter(fit).choose(rng).cloned()
}

/// Chooses a replica of a plain service out of those that are `fit`: the least
/// expected time to an answer.
pub fn choose_replica<R: Rng>(
    catalog: &Catalog,
    service: &str,
    dc: &str,
    fit: impl Fn(&Replica) -> bool,
    now: Instant,
    rng: &mut R,
) -> Option<(Key, Arc<Replica>)> {
    let cost = |entry: &Entry, rng: &mut R| {
        let latency = entry.latency_ms.unwrap_or(UNKNOWN_LATENCY_MS);
        let load = 1.0 + f64::from(entry.in_flight) / f64::from(entry.replica.slots.max(1));
        let far = if *entry.replica.dc == *dc { 1.0 } else { FAR_FACTOR };
        let avoided = if entry.is_ejected(now) { FULL_COST } else { 1.0 };
        let jitter = rng.random_range(0.95..1.05);
        latency * load * far * avoided * (1.0 + FAILING_FACTOR * entry.failure_rate) * jitter
    };
    let entries = catalog.serving(service).filter(|(_, entry)| fit(&entry.replica));
    let costs: Vec<_> = entries.map(|(key, e)| (cost(e, rng), key, &e.replica)).collect();
    let best = costs.into_iter().min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, key, replica)| (key, replica.clone()))
}
