//! Policies that choose a replica for a stream, and the holder of the copy of its KV
//! cache: the relay's policy and naive ones.

use std::sync::Arc;

use rand::{Rng, rngs::SmallRng, seq::IteratorRandom};
use tokio::time::Instant;
use winch_relay::{
    catalog::{Catalog, Key},
    placement::{self, Draw},
    replica::Replica,
};
use winch_route::engine::{Request, Service};

use super::engine::Engine;

/// Rounds in which the relay's policy draws candidates before it gives up. Each round draws
/// twice as many as the one before.
const MAX_ROUNDS: u32 = 5;

/// How replicas are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The relay's policy, which compares the reported load of a few candidates.
    Relay,
    /// A random replica.
    Random,
    /// Each replica in turn.
    RoundRobin,
    /// The replica with the fewest requests from the same daemon.
    LeastConnections,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] =
        [Self::Relay, Self::Random, Self::RoundRobin, Self::LeastConnections];

    /// Returns the name used in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Relay => "relay",
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastConnections => "least own",
        }
    }
}

/// A daemon that places streams.
#[derive(Debug)]
pub struct Daemon {
    /// Replicas and what this daemon has recorded of them.
    pub catalog: Catalog,
    /// Data centre of the daemon.
    pub dc: String,
    next_turn: usize,
}

/// Replica that runs a stream, and replica that holds the copy of its KV cache.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// Catalog key of the replica.
    pub key: Key,
    /// Number of the replica.
    pub replica: usize,
    /// Number of the replica that holds the copy, if any.
    pub copy_holder: Option<usize>,
}

/// What a daemon does with a stream.
#[derive(Clone, Copy, Debug)]
pub enum Choice {
    /// It sends the stream to a replica.
    Replica(Placement),
    /// It tries again later, because all candidates are lost.
    NoneLive,
    /// It refuses the stream, and asks the caller to wait this long, in seconds.
    Refused(f64),
}

/// Returns the number of a replica, which the simulation encodes as its port.
pub fn replica_number(replica: &Replica) -> usize {
    usize::from(replica.address.port())
}

impl Daemon {
    /// Creates a daemon with a catalog of replicas. Round robin starts at the replica
    /// with number `first_turn`.
    pub fn new(dc: String, catalog: Catalog, first_turn: usize) -> Self {
        Self { catalog, dc, next_turn: first_turn }
    }

    /// Chooses a replica for a stream that needs up to `kv_tokens` in the KV cache.
    ///
    /// The relay's policy ejects lost candidates from the catalog.
    pub fn choose(
        &mut self,
        policy: Policy,
        engines: &[Engine],
        kv_tokens: u64,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Choice {
        let placement = match policy {
            Policy::Relay => self.choose_by_load(engines, kv_tokens, now, rng),
            _ => self.choose_naive(policy, engines, now, rng),
        };
        placement.map_or(Choice::NoneLive, Choice::Replica)
    }

    /// Chooses the holder of a copy for a stream that resumes at `replica`, where `lost` is
    /// the data centre of the replica that the stream lost.
    ///
    /// The holder is outside the data centre of `replica` and outside `lost`; `None` if there
    /// is no such replica.
    pub fn choose_copy_holder(
        &self,
        replica: usize,
        lost: usize,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let entry = self.catalog.get(self.catalog.key(&format!("r-{replica}"))?)?;
        let lost = format!("dc-{lost}");
        let holder = placement::draw_copy_holder(&self.catalog, &entry.replica, &lost, now, rng);
        holder.as_deref().map(replica_number)
    }

    fn choose_by_load(
        &mut self,
        engines: &[Engine],
        kv_tokens: u64,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<Placement> {
        // No request of a pattern comes twice, so that each has a key of its own.
        let affinity = rng.random();
        for round in 0..MAX_ROUNDS {
            let accept_any = |_: &Replica| true;
            let draw = Draw { service: "s", dc: &self.dc, affinity, round };
            let candidates = placement::draw_candidates(&self.catalog, draw, accept_any, now, rng);
            let (lost, live): (Vec<_>, Vec<_>) = candidates
                .into_iter()
                .partition(|(_, replica)| engines[replica_number(replica)].lost);
            for (key, _) in lost {
                self.catalog.eject(key, now);
            }
            let request = Request { tokens: kv_tokens, prompt_units: 1.0, level: None };
            let service = Service::default();
            let cost = |(key, replica): &(Key, Arc<Replica>)| {
                let report = engines[replica_number(replica)].report();
                let (candidate, dc) = ((*key, &**replica), &self.dc);
                let (catalog, cached) = (&self.catalog, 0.0);
                placement::forecast(catalog, candidate, &report, dc, cached, &request, &service)
                    .cost
            };
            let best = live.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
            let Some((key, replica)) = best else { continue };
            let reports: Vec<_> = live
                .iter()
                .map(|(_, other)| (other, engines[replica_number(other)].report()))
                .collect();
            let reported = reports.iter().map(|(other, report)| (*other, report));
            let holder = placement::choose_copy_holder(reported, replica, kv_tokens, &service)
                .or_else(|| placement::draw_copy_holder(&self.catalog, replica, "", now, rng));
            let copy_holder = holder.as_deref().map(replica_number);
            return Some(Placement { key: *key, replica: replica_number(replica), copy_holder });
        }
        None
    }

    fn choose_naive(
        &mut self,
        policy: Policy,
        engines: &[Engine],
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<Placement> {
        let turn = self.next_turn;
        self.next_turn += 1;
        let usable = || {
            let entries = self.catalog.usable("s", now);
            entries.filter(|(_, entry)| !engines[replica_number(&entry.replica)].lost)
        };
        let (key, entry) = match policy {
            Policy::Random | Policy::Relay => usable().choose(rng),
            Policy::RoundRobin => usable().nth(turn % usable().count().max(1)),
            Policy::LeastConnections => {
                usable().min_by_key(|(_, entry)| (entry.in_flight, rng.random::<u32>()))
            }
        }?;
        let holder = placement::draw_copy_holder(&self.catalog, &entry.replica, "", now, rng);
        let copy_holder = holder.as_deref().map(replica_number);
        Some(Placement { key, replica: replica_number(&entry.replica), copy_holder })
    }
}
