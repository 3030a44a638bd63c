//! Following the seeds, one after the other.

use std::net::SocketAddr;

use rand::{Rng, seq::IteratorRandom};
use tokio::time::sleep;

use super::{RETRY_PAUSE, jittered, read_whole};
use crate::{
    node::Node,
    peer,
    prelude::*,
    store::{Access, Store},
};

/// Time that seeds are given to start and to read the store.
const SEED_START: Duration = Duration::from_millis(1_200);
/// Seeds that are waited for in vain before the store is read.
const MAX_UNREACHABLE: u32 = 2;
/// A seed that was followed for this long counts as found up to date.
const STEADY: Duration = Duration::from_secs(1);
/// Longest time, as a part of the age at which knowledge is stale, for which the
/// last of several stale seeds is followed on.
const LINGER_SHARE: f64 = 0.33;

/// The seeds that were tried since one was last up to date.
#[derive(Debug, Default)]
struct Tried {
    seeds: Vec<SocketAddr>,
    /// One that answered, although what it knows is stale.
    stale: Option<SocketAddr>,
    /// Seeds that did not answer.
    unreachable: u32,
}

impl Tried {
    /// The next seed to follow; a stale one again when there is no other.
    fn next<R: Rng>(&mut self, seeds: &[SocketAddr], rng: &mut R) -> Option<SocketAddr> {
        let untried = seeds.iter().filter(|seed| !self.seeds.contains(seed));
        untried.choose(rng).copied().or_else(|| self.stale.take())
    }

    /// Whether all of `seeds` were tried and one of them answered.
    fn all_stale(&self, seeds: &[SocketAddr]) -> bool {
        self.stale.is_some() && seeds.iter().all(|seed| self.seeds.contains(seed))
    }
}

/// Follows a seed for as long as it is up to date, then another one; ends when none
/// is.
///
/// Stale seeds are followed until `tolerated`. When all are stale the store itself
/// may be in trouble; the last one is then followed on for a short time that
/// differs between daemons, so that they do not all turn to the store at once.
pub(super) async fn follow<D: Protocol, S: Store, T>(
    node: &Arc<Node<D>>,
    access: &mut Access<S, T>,
    mut tolerated: Option<Instant>,
) {
    let mut tried = Tried::default();
    loop {
        let tuning = node.tuning();
        let next = tried.next(&tuning.seeds, &mut node.rng());
        let Some(seed) = next else { return };
        if node.changelog().version() == 0 {
            read_whole(node, access).await;
        }
        let began = Instant::now();
        let Err(reason) = peer::follow(node, seed, tolerated, &mut access.config).await;
        if matches!(reason, peer::Error::Behind)
            && (read_whole(node, access).await || peer::fetch_all(node, seed).await.is_ok())
        {
            continue;
        }
        if !node.is_initialized() && node.uptime() < SEED_START {
            sleep(jittered(RETRY_PAUSE)).await;
            continue;
        }
        emit!(Event::SeedLost, seed = seed, reason = reason);
        if began.elapsed() >= STEADY {
            tried = Tried::default();
        } else if tried.seeds.contains(&seed) {
            return;
        }
        tried.seeds.push(seed);
        if matches!(reason, peer::Error::Stale) {
            tried.stale = Some(seed);
        } else {
            tried.unreachable += 1;
        }
        if tried.unreachable >= MAX_UNREACHABLE {
            return;
        }
        if tried.all_stale(&tuning.seeds) {
            let linger = tuning.max_age.mul_f64(LINGER_SHARE * node.rng().random::<f64>());
            tolerated = tolerated.max(Some(Instant::now() + linger));
        }
    }
}
