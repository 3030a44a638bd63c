//! Follows seeds one after the other, and finds one that is up to date while the store is read.

use std::net::SocketAddr;

use rand::seq::SliceRandom;
use tokio::time::sleep;
use winch_platform::table::Table;
use winch_roster::{
    pace::Pace,
    source::{Role, Rotation, Step},
};

use super::{BACKOFF_MIN, DIRECT_READ_TIME, election::Election, jittered};
use crate::{
    node::Node,
    peer::{Error, Limits, SEED_TIMEOUT, Subscription},
    prelude::*,
    store::Store,
};

/// Time for which a daemon whose state is stale searches for a seed before it reads the store, as a
/// share of the age above which state is stale.
const SEARCH_SHARE: f64 = 0.25;

/// What a seed must fulfil for a daemon with this role.
fn limits<P: Protocol>(node: &Node<P>, role: &Role, stale_until: Option<Instant>) -> Limits {
    let pace = Pace::new(node.tuning().max_age);
    let serves = role.serves();
    let max_age = if serves { pace.takeover_age } else { pace.max_age };
    Limits { max_age, stale_until, serves, open_time: SEED_TIMEOUT }
}

/// When a search for a seed that begins now ends, so that the state of this daemon does not become
/// much older than the state of a seed may be; `None` if it has no state yet.
fn search_deadline<P: Protocol>(node: &Node<P>) -> Option<Instant> {
    let max_age = node.tuning().max_age;
    let age = Duration::from_millis(node.state_age_ms()?);
    let fresh_time = max_age.saturating_sub(age);
    node.is_initialized().then(|| Instant::now() + fresh_time + max_age.mul_f64(SEARCH_SHARE))
}

/// Follows a seed while it is up to date, then another one; returns when the store has to be read,
/// because no seed is left or the search for one has taken too long.
///
/// A stale seed is followed until `stale_until`.
pub(super) async fn follow<P: Protocol, S: Store>(
    node: &Arc<Node<P>>,
    store: &mut S,
    role: &Role,
    stale_until: Option<Instant>,
) {
    let mut rotation = Rotation::default();
    let sources = role.sources(true);
    let mut deadline = search_deadline(node);
    loop {
        let untried = rotation.untried(&sources);
        let step = rotation.next(&sources, &mut node.rng());
        let (seed, stale_until) = match step {
            Step::Follow(seed) => (seed, stale_until),
            // The store was tried shortly before.
            Step::Linger(..) if stale_until.is_some() => return,
            Step::Linger(seed, share) => {
                let time = node.tuning().max_age.mul_f64(share);
                (seed, Some(Instant::now() + time))
            }
            Step::Wait => {
                sleep(jittered(BACKOFF_MIN)).await;
                continue;
            }
            Step::Read => return,
        };
        let started_at = Instant::now();
        let mut limits = limits(node, role, stale_until);
        if let Some(deadline) = deadline {
            let left = deadline.saturating_duration_since(started_at);
            if left.is_zero() {
                return;
            }
            // A silent seed must not take the time of the others.
            let share = u32::try_from(untried).unwrap_or(1).max(1);
            limits.open_time = limits.open_time.min(left / share);
        }
        let error = match Subscription::open(node, seed, limits).await {
            Ok(subscription) => {
                let error = run(node, store, subscription).await;
                deadline = search_deadline(node);
                error
            }
            Err(error) => error,
        };
        let starting = (!node.is_initialized()).then(|| node.uptime());
        if rotation.ended(seed, error.end(), started_at.elapsed(), starting) {
            emit!(Event::SeedLost, seed = seed, reason = error);
        }
    }
}

/// Runs a subscription and returns why it has ended.
async fn run<P: Protocol, S: Store>(
    node: &Arc<Node<P>>,
    store: &mut S,
    subscription: Subscription,
) -> Error {
    let Err(error) = subscription.run(node, store).await;
    error
}

/// Runs a subscription that was found while the store was read, until it ends.
pub(super) async fn run_found<P: Protocol, S: Store>(
    node: &Arc<Node<P>>,
    store: &mut S,
    subscription: Subscription,
) {
    let seed = subscription.seed();
    let error = run(node, store, subscription).await;
    emit!(Event::SeedLost, seed = seed, reason = error);
}

/// A way to stay up to date without reading for oneself.
pub(super) enum Found {
    /// A daemon to follow.
    Source(Box<Subscription>),
    /// This daemon was elected to read for others.
    Elected,
}

/// Completes when there is a seed or an elected reader to follow, or when this daemon is elected.
/// Called while this daemon reads the store.
pub(super) async fn find_source<P: Protocol, T: Table>(
    node: &Node<P>,
    role: &Role,
    election: &mut Election<T>,
) -> Found {
    loop {
        sleep(jittered(DIRECT_READ_TIME)).await;
        if let Some(subscription) = open_fresh(node, role).await {
            return Found::Source(subscription.into());
        }
        if role.serves() {
            continue;
        }
        // The reads of this daemon log that the store is unreachable.
        let Ok(mut readers) = election.readers().await else { continue };
        node.fleet().set_readers(readers.clone());
        readers.shuffle(&mut node.rng());
        if let Some(subscription) = open_any(node, &readers, limits(node, role, None)).await {
            return Found::Source(subscription.into());
        }
        if let Ok(true) = election.contend().await {
            return Found::Elected;
        }
    }
}

/// Completes when a seed is up to date.
pub(super) async fn wait_fresh<P: Protocol>(node: &Node<P>, role: &Role) {
    loop {
        sleep(jittered(DIRECT_READ_TIME)).await;
        if open_fresh(node, role).await.is_some() {
            return;
        }
    }
}

/// Opens a subscription to a seed that is up to date; `None` if there is none.
async fn open_fresh<P: Protocol>(node: &Node<P>, role: &Role) -> Option<Subscription> {
    let limits = limits(node, role, None);
    let age = node.state_age_ms().map(Duration::from_millis);
    let mut sources = role.sources(age.is_some_and(|age| age <= limits.max_age));
    if !limits.serves {
        sources.shuffle(&mut node.rng());
    }
    open_any(node, &sources, limits).await
}

async fn open_any<P: Protocol>(
    node: &Node<P>,
    sources: &[SocketAddr],
    limits: Limits,
) -> Option<Subscription> {
    for source in sources {
        // An error changes nothing: the daemon goes on reading the store.
        if let Ok(subscription) = Subscription::open(node, *source, limits).await {
            return Some(subscription);
        }
    }
    None
}
