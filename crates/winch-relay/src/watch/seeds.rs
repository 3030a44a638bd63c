//! Follows the seeds one after the other, until none of them is up to date.

use std::net::SocketAddr;

use rand::{Rng, seq::IteratorRandom};
use tokio::time::sleep;

use super::{BACKOFF_MIN, jittered, read_all};
use crate::{
    node::Node,
    peer,
    prelude::*,
    store::{Access, Store},
};

/// Time after the daemon's start within which seeds may still be starting or making their first
/// read of the store.
const SEED_STARTUP_TIME: Duration = Duration::from_millis(1_200);
/// Number of unreachable seeds after which the store is read directly.
const MAX_UNREACHABLE_SEEDS: u32 = 2;
/// Time for which a seed must have been followed to count as up to date.
const MIN_FOLLOWED_TIME: Duration = Duration::from_secs(1);
/// Longest time for which the last stale seed is still followed after all seeds were tried, as
/// a share of the age above which state is stale.
const LINGER_SHARE: f64 = 0.33;

/// The seeds that were tried since one was last up to date.
#[derive(Debug, Default)]
struct Rotation {
    tried: Vec<SocketAddr>,
    /// The last seed whose state was stale; taken when it is to be followed again.
    stale: Option<SocketAddr>,
    /// Number of seeds that could not be followed for another reason.
    unreachable: u32,
}

impl Rotation {
    /// The next seed to follow: one that was not tried, or else the stale one again; `None` if
    /// there is neither.
    fn next<R: Rng>(&mut self, seeds: &[SocketAddr], rng: &mut R) -> Option<SocketAddr> {
        let untried = seeds.iter().filter(|seed| !self.tried.contains(seed));
        untried.choose(rng).copied().or_else(|| self.stale.take())
    }

    /// Whether all of `seeds` were tried and only a stale one is left to follow.
    fn only_stale_left(&self, seeds: &[SocketAddr]) -> bool {
        self.stale.is_some() && seeds.iter().all(|seed| self.tried.contains(seed))
    }
}

/// Follows a seed while it is up to date, then another one; returns when none is.
///
/// A stale seed is followed until `stale_until`. When all seeds were tried and only a stale one
/// is left, the store itself may be overloaded or unreachable. That seed is then followed for a
/// short random time, so that not all daemons start to read the store at the same time.
pub(super) async fn follow<P: Protocol, S: Store, T>(
    node: &Arc<Node<P>>,
    access: &mut Access<S, T>,
    mut stale_until: Option<Instant>,
) {
    let mut rotation = Rotation::default();
    loop {
        let tuning = node.tuning();
        let next = rotation.next(&tuning.seeds, &mut node.rng());
        let Some(seed) = next else { return };
        if node.changelog().version() == 0 {
            read_all(node, access).await;
        }
        let started_at = Instant::now();
        let Err(reason) = peer::follow(node, seed, stale_until, &mut access.config).await;
        if matches!(reason, peer::Error::Behind)
            && (read_all(node, access).await || peer::fetch_all(node, seed).await.is_ok())
        {
            continue;
        }
        if !node.is_initialized() && node.uptime() < SEED_STARTUP_TIME {
            sleep(jittered(BACKOFF_MIN)).await;
            continue;
        }
        emit!(Event::SeedLost, seed = seed, reason = reason);
        if started_at.elapsed() >= MIN_FOLLOWED_TIME {
            rotation = Rotation::default();
        } else if rotation.tried.contains(&seed) {
            return;
        }
        rotation.tried.push(seed);
        if matches!(reason, peer::Error::Stale) {
            rotation.stale = Some(seed);
        } else {
            rotation.unreachable += 1;
        }
        if rotation.unreachable >= MAX_UNREACHABLE_SEEDS {
            return;
        }
        if rotation.only_stale_left(&tuning.seeds) {
            let linger = tuning.max_age.mul_f64(LINGER_SHARE * node.rng().random::<f64>());
            stale_until = stale_until.max(Some(Instant::now() + linger));
        }
    }
}
