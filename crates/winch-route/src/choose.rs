//! Chooses the upstream of one call.
//!
//! Two candidates come from the rendezvous order of the prompt's prefix and
//! two at random; the cheapest of them wins. So daemons that do not talk agree
//! on where a prefix is cached, yet a hot prefix spreads when its home is busy.

use std::time::Duration;

use snafu::{Snafu, ensure};

use crate::{
    candidate::Candidate,
    hash,
    pool::{Key, Pool},
};

/// How candidates are weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Candidates from the rendezvous order.
    pub rendezvous_choices: usize,
    /// Candidates at random.
    pub random_choices: usize,
    /// Cost of a full engine, in seconds.
    pub load_cost: f64,
    /// Cost of prefill per prompt token that is not cached, in seconds.
    pub prefill_cost: f64,
    /// Cost of crossing to another data centre, in seconds.
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

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The version or service that must run it.
    pub runs: &'a str,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Prompt and accepted tokens that need prefill where they are not cached.
    pub prefill_tokens: usize,
    /// Upstreams already tried.
    pub exclude: &'a [Key],
    /// Restricts the choice to the first `n` members of a move's order.
    pub move_subset: Option<(u64, usize)>,
    /// Data centre of the daemon.
    pub dc: &'a str,
}

/// Why no upstream could be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No upstream runs this.
    #[snafu(display("no upstream runs it"))]
    NoUpstream,
    /// All are leaving, ejected or were tried.
    #[snafu(display("no upstream is fit"))]
    NoneEligible,
    /// All fit ones are full.
    #[snafu(display("all upstreams are full"))]
    AllFull,
}

/// Chooses an upstream; `random` is one fresh random number.
///
/// # Errors
/// An [`Error`] when there is none to choose.
pub fn choose(
    pool: &Pool,
    request: &Request<'_>,
    options: &Options,
    random: u64,
    now: Duration,
) -> Result<Key, Error> {
    let members = members(pool, request);
    ensure!(!members.is_empty(), NoUpstreamSnafu);
    let fit: Vec<(Key, &Candidate)> = members
        .iter()
        .filter_map(|key| Some((*key, pool.get(*key)?)))
        .filter(|(key, replica)| is_fit(pool, request, *key, replica, now))
        .collect();
    ensure!(!fit.is_empty(), NoneEligibleSnafu);
    let usual = pool.typical_load(request.runs, now);
    let open: Vec<(Key, &Candidate)> =
        fit.into_iter().filter(|(_, replica)| replica.has_room(usual, now)).collect();
    ensure!(!open.is_empty(), AllFullSnafu);
    let homes = homes(&open, request.prefix, options.rendezvous_choices);
    let samples = (0..options.random_choices as u64)
        .map(|i| open[(hash::mix(random.wrapping_add(i)) % open.len() as u64) as usize]);
    let best = homes
        .iter()
        .copied()
        .chain(samples)
        .min_by(|a, b| {
            let cost = |replica: &Candidate| {
                cost(replica, replica.load(usual, now), request, options, now)
            };
            cost(a.1).total_cmp(&cost(b.1))
        })
        .expect("there is at least one open upstream");
    Ok(best.0)
}

/// The members of a version, or the first few of a move's order over the whole fleet.
fn members(pool: &Pool, request: &Request<'_>) -> Vec<Key> {
    let Some((seed, count)) = request.move_subset else {
        return pool.members(request.runs).to_vec();
    };
    let nodes = pool.all(request.runs).iter().filter_map(|key| Some((pool.get(*key)?.hash, *key)));
    hash::subset(seed, nodes, count)
}

fn is_fit(
    pool: &Pool,
    request: &Request<'_>,
    key: Key,
    replica: &Candidate,
    now: Duration,
) -> bool {
    let healthy = !replica.is_ejected(now) && !replica.is_suspected(now);
    healthy && !pool.is_leaving(key) && !request.exclude.contains(&key)
}

/// The first few in the rendezvous order of `prefix`.
fn homes<'a>(
    open: &[(Key, &'a Candidate)],
    prefix: u64,
    count: usize,
) -> Vec<(Key, &'a Candidate)> {
    let mut homes: Vec<(u64, (Key, &Candidate))> = Vec::with_capacity(count + 1);
    for node in open {
        let score = hash::score(prefix, node.1.hash);
        let at = homes.partition_point(|(other, _)| *other > score);
        if at < count {
            homes.insert(at, (score, *node));
            homes.truncate(count);
        }
    }
    homes.into_iter().map(|(_, node)| node).collect()
}

/// Expected delay in seconds that the call meets and causes.
fn cost(
    replica: &Candidate,
    load: f64,
    request: &Request<'_>,
    options: &Options,
    now: Duration,
) -> f64 {
    let use_after = (load + 1.0) / replica.limit(now).max(1.0);
    let prefill = if replica.has_prefix(request.prefix) { 0.0 } else { options.prefill_cost };
    let dc = if &*replica.spec.dc == request.dc { 0.0 } else { options.dc_cost };
    options.load_cost * use_after * use_after + prefill * request.prefill_tokens as f64 + dc
}
