//! Chooses the upstream of one call.
//!
//! Some candidates come from the rendezvous order of the prompt's prefix and some
//! are random; the one with the lowest cost is chosen. The rendezvous order lets
//! daemons agree on where a prefix is cached without communication, and the
//! random candidates spread a hot prefix when its first upstreams are busy.

use std::time::Duration;

use snafu::{Snafu, ensure};

use crate::{
    candidate::Candidate,
    hash,
    pool::{Key, Pool},
};

/// Number of compared candidates and the weights of their cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Candidates taken from the rendezvous order.
    pub rendezvous_choices: usize,
    /// Candidates taken at random.
    pub random_choices: usize,
    /// Cost of an upstream at its limit, in seconds; the cost grows with the square of the load.
    pub load_cost: f64,
    /// Cost of prefill per prompt token that is not cached, in seconds.
    pub prefill_cost: f64,
    /// Cost of an upstream in another data centre, in seconds.
    pub dc_cost: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            rendezvous_choices: 2,
            random_choices: 2,
            load_cost: 1.0,
            prefill_cost: 0.000_1,
            dc_cost: 0.002,
        }
    }
}

/// The call for which an upstream is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The version or service that must run it.
    pub runs: &'a str,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Prompt and accepted tokens that need prefill where they are not cached.
    pub prefill_tokens: usize,
    /// Upstreams already tried.
    pub tried: &'a [Key],
    /// Seed and size of a version move's subset of all upstreams of the version, to which the
    /// choice is restricted; `None` to choose from the daemon's members.
    pub move_subset: Option<(u64, usize)>,
    /// Data centre of the daemon.
    pub dc: &'a str,
}

/// Why no upstream could be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No upstream runs the version or service.
    #[snafu(display("no upstream runs the version or service"))]
    NoUpstream,
    /// All upstreams are leaving, ejected, stalled or already tried.
    #[snafu(display("no upstream is eligible"))]
    NoneEligible,
    /// All eligible upstreams are full.
    #[snafu(display("all eligible upstreams are full"))]
    AllFull,
}

/// Chooses an upstream; `random` must be a new random number for each call.
///
/// # Errors
/// An [`Error`] if no upstream can be chosen.
pub fn choose(
    pool: &Pool,
    request: &Request<'_>,
    options: &Options,
    random: u64,
    now: Duration,
) -> Result<Key, Error> {
    let members = members(pool, request);
    ensure!(!members.is_empty(), NoUpstreamSnafu);
    let eligible: Vec<(Key, &Candidate)> = members
        .iter()
        .filter_map(|key| Some((*key, pool.get(*key)?)))
        .filter(|(key, candidate)| is_eligible(pool, request, *key, candidate, now))
        .collect();
    ensure!(!eligible.is_empty(), NoneEligibleSnafu);
    let typical_load = pool.typical_load(request.runs, now);
    let with_room: Vec<(Key, &Candidate)> = eligible
        .into_iter()
        .filter(|(_, candidate)| candidate.has_room(typical_load, now))
        .collect();
    ensure!(!with_room.is_empty(), AllFullSnafu);
    let ranked = ranked(&with_room, request.prefix, options.rendezvous_choices);
    let sampled = (0..options.random_choices as u64)
        .map(|i| with_room[(hash::mix(random.wrapping_add(i)) % with_room.len() as u64) as usize]);
    let best = ranked
        .iter()
        .copied()
        .chain(sampled)
        .min_by(|a, b| {
            let cost = |candidate: &Candidate| {
                cost(candidate, candidate.load(typical_load, now), request, options, now)
            };
            cost(a.1).total_cmp(&cost(b.1))
        })
        .expect("at least one upstream has room");
    Ok(best.0)
}

/// The daemon's members of a version or service, or a move's subset of all upstreams of the
/// version.
fn members(pool: &Pool, request: &Request<'_>) -> Vec<Key> {
    let Some((seed, count)) = request.move_subset else {
        return pool.members(request.runs).to_vec();
    };
    let upstreams =
        pool.all(request.runs).iter().filter_map(|key| Some((pool.get(*key)?.hash, *key)));
    hash::subset(seed, upstreams, count)
}

fn is_eligible(
    pool: &Pool,
    request: &Request<'_>,
    key: Key,
    candidate: &Candidate,
    now: Duration,
) -> bool {
    let is_healthy = !candidate.is_ejected(now) && !candidate.is_stalled(now);
    is_healthy && !pool.is_leaving(key) && !request.tried.contains(&key)
}

/// The first `count` candidates in the rendezvous order of `prefix`.
fn ranked<'a>(
    candidates: &[(Key, &'a Candidate)],
    prefix: u64,
    count: usize,
) -> Vec<(Key, &'a Candidate)> {
    let mut ranked: Vec<(u64, (Key, &Candidate))> = Vec::with_capacity(count + 1);
    for candidate in candidates {
        let score = hash::score(prefix, candidate.1.hash);
        let rank = ranked.partition_point(|(other, _)| *other > score);
        if rank < count {
            ranked.insert(rank, (score, *candidate));
            ranked.truncate(count);
        }
    }
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Cost of a candidate in seconds: the delay of this call and of the calls that it delays.
///
/// `load` is the number of calls that the candidate holds without this one.
fn cost(
    candidate: &Candidate,
    load: f64,
    request: &Request<'_>,
    options: &Options,
    now: Duration,
) -> f64 {
    let utilization = (load + 1.0) / candidate.limit(now).max(1.0);
    let token_cost = if candidate.has_prefix(request.prefix) { 0.0 } else { options.prefill_cost };
    let dc_cost = if &*candidate.spec.dc == request.dc { 0.0 } else { options.dc_cost };
    options.load_cost * utilization * utilization
        + token_cost * request.prefill_tokens as f64
        + dc_cost
}
