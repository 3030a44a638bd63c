//! Choosers of replicas: the relay's own and naive ones.

use std::sync::Arc;

use rand::{Rng, rngs::SmallRng, seq::IteratorRandom};
use tokio::time::Instant;
use winch_relay::{
    catalog::{Catalog, Key},
    placement,
    replica::Replica,
};

use super::engine::Engine;

/// Rounds in which the relay asks more and more replicas.
const ROUNDS: u32 = 5;

/// How replicas are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// As the relay does: a few are asked for their load.
    Relay,
    /// Any.
    Random,
    /// In turn.
    RoundRobin,
    /// The one with the fewest requests of this daemon's own.
    LeastOwn,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [Self::Relay, Self::Random, Self::RoundRobin, Self::LeastOwn];

    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Relay => "relay",
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastOwn => "least own",
        }
    }
}

/// One daemon.
#[derive(Debug)]
pub struct Daemon {
    /// What it knows of the replicas.
    pub catalog: Catalog,
    /// Its data centre.
    pub dc: String,
    turn: usize,
}

/// Where a stream goes, and where its copy is kept.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Key of the replica.
    pub key: Key,
    /// Number of the replica.
    pub replica: usize,
    /// Number of the replica that keeps the copy.
    pub copy: Option<usize>,
}

/// Number of a replica of the model.
pub fn number(replica: &Replica) -> usize {
    usize::from(replica.address.port())
}

impl Daemon {
    /// A daemon that knows the replicas and nothing of their load; it takes turns
    /// from the replica `turn` on.
    pub fn new(dc: String, catalog: Catalog, turn: usize) -> Self {
        Self { catalog, dc, turn }
    }

    /// Chooses a replica for a stream of `tokens`; `None` if none was found alive.
    pub fn choose(
        &mut self,
        policy: Policy,
        engines: &[Engine],
        tokens: u64,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<Place> {
        match policy {
            Policy::Relay => self.choose_asking(engines, tokens, now, rng),
            _ => self.choose_naive(policy, engines, now, rng),
        }
    }

    /// Where a run that goes on at `replica` is copied to: outside its data centre
    /// and the data centre `lost`.
    pub fn copy_place(
        &self,
        replica: usize,
        lost: usize,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let entry = self.catalog.get(self.catalog.key(&format!("r-{replica}"))?)?;
        let lost = format!("dc-{lost}");
        let copy = placement::draw_copy_holder(&self.catalog, &entry.replica, &lost, now, rng);
        copy.as_deref().map(number)
    }

    fn choose_asking(
        &mut self,
        engines: &[Engine],
        tokens: u64,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<Place> {
        for round in 0..ROUNDS {
            let any = |_: &Replica| true;
            let drawn =
                placement::draw_candidates(&self.catalog, "s", &self.dc, any, round, now, rng);
            let (lost, live): (Vec<_>, Vec<_>) =
                drawn.into_iter().partition(|(_, replica)| engines[number(replica)].lost);
            for (key, _) in lost {
                self.catalog.eject(key, now);
            }
            let cost = |(key, replica): &(Key, Arc<Replica>)| {
                let starting = self.catalog.get(*key).map_or(0, |entry| entry.starting);
                let report = engines[number(replica)].report();
                placement::stream_cost(&report, starting, *replica.dc == *self.dc, tokens)
            };
            let best = live.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
            let Some((key, replica)) = best else { continue };
            let reports: Vec<_> =
                live.iter().map(|(_, other)| (other, engines[number(other)].report())).collect();
            let asked = reports.iter().map(|(other, report)| (*other, report));
            let copy = placement::choose_copy_holder(asked, replica, tokens)
                .or_else(|| placement::draw_copy_holder(&self.catalog, replica, "", now, rng));
            let copy = copy.as_deref().map(number);
            return Some(Place { key: *key, replica: number(replica), copy });
        }
        None
    }

    fn choose_naive(
        &mut self,
        policy: Policy,
        engines: &[Engine],
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<Place> {
        let turn = self.turn;
        self.turn += 1;
        let usable = || {
            let entries = self.catalog.usable("s", now);
            entries.filter(|(_, entry)| !engines[number(&entry.replica)].lost)
        };
        let (key, entry) = match policy {
            Policy::Random | Policy::Relay => usable().choose(rng),
            Policy::RoundRobin => usable().nth(turn % usable().count().max(1)),
            Policy::LeastOwn => {
                usable().min_by_key(|(_, entry)| (entry.in_flight, rng.random::<u32>()))
            }
        }?;
        let copy = placement::draw_copy_holder(&self.catalog, &entry.replica, "", now, rng);
        let copy = copy.as_deref().map(number);
        Some(Place { key, replica: number(&entry.replica), copy })
    }
}
