//! Keeps the configuration and the list of replicas in sync with the platform's store.
//!
//! A seed reads the store; any other daemon follows a seed and reads the store itself only
//! when no seed is up to date. What is read goes to the shared state in [`node`](crate::node).

mod seeds;

use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::{
    counter,
    node::Node,
    peer,
    prelude::*,
    store::{Access, Error, Publication},
};

/// Longest time for which one call waits for a new configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(500);
/// Longest interval at which a seed reads the list of replicas, so that followers do not
/// regard the state of the seed as stale.
const SEED_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a stale seed is followed after a failed attempt to read the store
/// directly; twice as long after consecutive ones.
const STALE_TOLERANCE: Duration = Duration::from_secs(3);
/// Backoff after the first failed call; it doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest backoff.
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Time for which a daemon reads the store itself before it tries its seeds again.
const DIRECT_READ_TIME: Duration = Duration::from_millis(1_500);
/// Largest random deviation of a delay, as a share of it, so that daemons do not call the
/// store at the same time.
const JITTER: f64 = 0.2;

/// A part of the state that is kept in sync with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The list of replicas.
    Replicas,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 2] = [Self::Config, Self::Replicas];

    fn name(self) -> &'static str {
        match self {
            Self::Config => "configuration",
            Self::Replicas => "replicas",
        }
    }
}

/// Records the results of reads of one topic: logs when the store becomes unreachable and
/// reachable again, and updates the metrics.
struct StoreMonitor {
    topic: Topic,
    last_success_at: Instant,
    /// Consecutive reads that found the store unavailable.
    failures: u32,
}

impl StoreMonitor {
    fn new(topic: Topic) -> Self {
        Self { topic, last_success_at: Instant::now(), failures: 0 }
    }

    fn record<T>(&mut self, result: &Result<T, Error>, started_at: Instant) {
        let (topic, taken) = (self.topic.name(), started_at.elapsed());
        let outcome = match result {
            Ok(_) => "ok",
            Err(Error::Compacted) => "compacted",
            Err(Error::Unavailable { .. }) => "unavailable",
        };
        counter::store_called(topic, outcome, taken);
        match result {
            Err(Error::Unavailable { reason }) => {
                if self.failures == 0 {
                    let age_ms = self.last_success_at.elapsed().as_millis();
                    emit!(Event::StoreUnreachable, topic = topic, reason = reason, age_ms = age_ms);
                }
                self.failures += 1;
            }
            _ => {
                if self.failures > 0 {
                    let outage_ms = self.last_success_at.elapsed().as_millis();
                    emit!(Event::StoreReachable, topic = topic, away_ms = outage_ms);
                }
                self.failures = 0;
                self.last_success_at = Instant::now();
            }
        }
        counter::state_age(topic, self.last_success_at.elapsed());
    }

    /// Delay before the next call after a failed one.
    fn backoff(&self) -> Duration {
        backoff(self.failures)
    }
}

fn backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(4);
    jittered((BACKOFF_MIN * 2_u32.pow(doublings)).min(BACKOFF_MAX))
}

fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}

/// Keeps the daemon's state in sync with the store for as long as the daemon runs.
///
/// Seeds read the store. All other daemons follow a seed, and read the store themselves for
/// a while when no seed is up to date. When the store is unreachable too, a stale seed is
/// followed for a while: the seed detects when the store is reachable again, and fewer
/// daemons make calls that fail.
pub async fn run<P: Protocol, S: Store, T>(node: Arc<Node<P>>, mut access: Access<S, T>) {
    let mut tuning_changes = node.subscribe_tuning();
    let (mut stale_until, mut failures) = (None, 0);
    loop {
        let seeds = tuning_changes.borrow_and_update().seeds.clone();
        let always_reads = seeds.is_empty() || seeds.contains(&node.settings.peers);
        if !always_reads {
            tokio::select! {
                () = seeds::follow(&node, &mut access, stale_until) => {}
                // Cannot fail: the node owns the sender.
                _ = tuning_changes.changed() => continue,
            }
        }
        let read_directly = async {
            tokio::select! {
                () = follow_config(&node, &mut access.config, always_reads) => {}
                () = follow_replicas(&node, &mut access.list, always_reads) => {}
            }
        };
        node.set_reads_store(true);
        // Reaching the limit is not a failure: the seeds are then tried again.
        let time_limit = if always_reads { Duration::MAX } else { jittered(DIRECT_READ_TIME) };
        let failed = tokio::select! {
            ended = timeout(time_limit, read_directly) => ended.is_ok(),
            _ = tuning_changes.changed() => false,
        };
        node.set_reads_store(false);
        failures = if failed { failures + 1 } else { 0 };
        stale_until = failed.then(|| Instant::now() + stale_tolerance(failures));
        if failed {
            sleep(backoff(failures)).await;
        }
    }
}

/// Time for which a stale seed is followed after `failures` consecutive failed attempts to
/// read the store directly.
fn stale_tolerance(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(1);
    jittered(STALE_TOLERANCE * 2_u32.pow(doublings))
}

/// Reads the configuration and the complete list from the store, so that a seed has to send
/// only changes. Returns whether the list was read.
///
/// A failure is not retried, because the seed then sends the complete state.
async fn read_all<P: Protocol, S: Store, T>(node: &Node<P>, access: &mut Access<S, T>) -> bool {
    let started_at = Instant::now();
    let (config, listing) = tokio::join!(access.config.config(), access.list.replicas());
    StoreMonitor::new(Topic::Config).record(&config, started_at);
    StoreMonitor::new(Topic::Replicas).record(&listing, started_at);
    if let Ok(publication) = config {
        apply_publication(node, publication);
    }
    let Ok(listing) = listing else { return false };
    node.apply_listing(listing.changes, listing.version, true);
    true
}

/// Reads the configuration and its changes.
///
/// Returns when the store is unavailable, unless `keep_trying` is set or the daemon is not
/// initialized yet.
async fn follow_config<P: Protocol, S: Store>(node: &Node<P>, store: &mut S, keep_trying: bool) {
    let mut monitor = StoreMonitor::new(Topic::Config);
    let mut version = None;
    loop {
        let started_at = Instant::now();
        let read = match version {
            None => store.config().await,
            Some(version) => store.next_config(version, CONFIG_WAIT).await,
        };
        let confirmed_at = started_at.max(Instant::now() - CONFIG_WAIT);
        monitor.record(&read, started_at);
        match read {
            Ok(publication) => {
                let none_published = version.is_none() && publication.document.is_none();
                version = Some(publication.version);
                apply_publication(node, publication);
                node.confirm(Topic::Config, Some(confirmed_at));
                if none_published {
                    sleep(jittered(BACKOFF_MIN)).await;
                }
            }
            Err(Error::Compacted) => version = None,
            Err(Error::Unavailable { .. }) => {
                if !node.is_initialized() {
                    peer::fetch_from_seeds(node).await;
                } else if !keep_trying {
                    return;
                }
                sleep(monitor.backoff()).await;
            }
        }
    }
}

fn apply_publication<P: Protocol>(node: &Node<P>, publication: Publication) {
    for decoded in publication.moves {
        match decoded {
            Ok(spec) => node.start_move(spec),
            Err(fault) => {
                emit!(Event::ConfigUnreadable, fault = fault, version = publication.version);
            }
        }
    }
    let Some(document) = publication.document else { return };
    match node.protocol.decode_config(&document) {
        Ok(config) => drop(node.install_config(config, document)),
        Err(fault) => {
            emit!(Event::ConfigUnreadable, fault = fault, version = publication.version);
        }
    }
}

/// Reads the list of replicas and its changes; returns under the same conditions as
/// [`follow_config`].
async fn follow_replicas<P: Protocol, S: Store>(node: &Node<P>, store: &mut S, keep_trying: bool) {
    let mut monitor = StoreMonitor::new(Topic::Replicas);
    let tuning = node.tuning();
    let is_seed = tuning.seeds.contains(&node.settings.peers);
    let interval =
        tuning.list_interval.min(if is_seed { SEED_LIST_INTERVAL } else { Duration::MAX });
    let mut version = Some(node.changelog().version()).filter(|version| *version > 0);
    loop {
        let started_at = Instant::now();
        let read = match version {
            None => store.replicas().await,
            Some(version) => store.replica_changes(version).await,
        };
        monitor.record(&read, started_at);
        match read {
            Ok(listing) => {
                node.catalog().mark_store_reachable(Instant::now());
                let is_complete = version.is_none();
                version = Some(listing.version);
                node.apply_listing(listing.changes, listing.version, is_complete);
                node.confirm(Topic::Replicas, Some(started_at));
                sleep(jittered(interval)).await;
            }
            Err(Error::Compacted) => version = None,
            Err(Error::Unavailable { .. }) => {
                node.catalog().mark_store_unreachable();
                if !keep_trying && node.is_initialized() {
                    return;
                }
                sleep(monitor.backoff()).await;
            }
        }
    }
}
