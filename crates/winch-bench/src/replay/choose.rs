//! Policies that choose a replica for a stream, and the holder of the copy of its KV
//! cache: the relay's policy and naive ones.

use std::sync::Arc;

use rand::{Rng, rngs::SmallRng, seq::IteratorRandom};
use tokio::time::Instant;
use winch_relay::{
    catalog::{Catalog, Key},
    placement::{self, Candidate, Draw},
    replica::{Replica, Report},
};
use winch_route::engine::{self, Forecast, Request, Service};

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

/// A candidate that is not lost.
struct Answer {
    key: Key,
    replica: Arc<Replica>,
    report: Report,
    forecast: Forecast,
}

/// Whether a further round of candidates is asked; the best of `answers` is the first.
fn needs_further_round(answers: &[Answer], further: u32) -> bool {
    let forecasts: Vec<Forecast> = answers.iter().map(|answer| answer.forecast).collect();
    let best = forecasts.first();
    best.is_some_and(|best| engine::needs_further_round(best, &forecasts, further))
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
        // A simulated engine reserves the KV cache of a run at its start, so that no run grows.
        self.catalog.record_typical(&"s".into(), |typical| typical.record_size(kv_tokens, 0));
        let service = Service { typical: self.catalog.typical("s"), ..Service::default() };
        let request = Request { tokens: kv_tokens, prompt_units: 1.0, level: None };
        for round in 0..MAX_ROUNDS {
            let accept_any = |_: &Replica| true;
            let draw = Draw { service: "s", dc: &self.dc, affinity, round };
            let candidates = placement::draw_candidates(&self.catalog, draw, accept_any, now, rng);
            let mut asked: Vec<Key> = candidates.iter().map(|(key, _)| *key).collect();
            let mut answers = Vec::new();
            self.ask(candidates, engines, (&request, &service), now, &mut answers);
            let mut further = 0;
            while needs_further_round(&answers, further) {
                let (catalog, accepts) = (&self.catalog, accept_any);
                let more = placement::draw_further(catalog, "s", &asked, accepts, now, rng);
                if more.is_empty() {
                    break;
                }
                asked.extend(more.iter().map(|(key, _)| *key));
                self.ask(more, engines, (&request, &service), now, &mut answers);
                further += 1;
            }
            let Some(best) = answers.first() else { continue };
            let reported = answers.iter().map(|answer| (&answer.replica, &answer.report));
            let source = &best.replica;
            let holder = placement::choose_copy_holder(reported, source, kv_tokens, &service);
            let holder = holder.or_else(|| {
                let accepts =
                    |replica: &Replica| answers.iter().all(|a| a.replica.id != replica.id);
                let catalog = &self.catalog;
                let drawn = placement::draw_copy_holders(catalog, source, "", accepts, 1, now, rng);
                drawn.into_iter().next().map(|(_, replica)| replica)
            });
            let copy_holder = holder.as_deref().map(replica_number);
            return Some(Placement { key: best.key, replica: replica_number(source), copy_holder });
        }
        None
    }

    /// Adds the answers of the live candidates, the best of all first, and ejects the lost ones.
    fn ask(
        &mut self,
        candidates: Vec<(Key, Arc<Replica>)>,
        engines: &[Engine],
        (request, service): (&Request, &Service),
        now: Instant,
        answers: &mut Vec<Answer>,
    ) {
        for (key, replica) in candidates {
            let engine = &engines[replica_number(&replica)];
            if engine.lost {
                self.catalog.eject(key, now);
                continue;
            }
            let report = engine.report();
            let candidate = Candidate { key, replica: &replica, report: &report, cached: 0.0 };
            let (catalog, dc) = (&self.catalog, &self.dc);
            let forecast = placement::forecast(catalog, candidate, dc, request, service, now);
            answers.push(Answer { key, replica, report, forecast });
        }
        answers.sort_by(|a, b| a.forecast.cost.total_cmp(&b.forecast.cost));
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
