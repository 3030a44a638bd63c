//! Keeps the configuration and the list of replicas in sync with the platform's store.
//!
//! One seed reads the store; any other daemon follows a seed and reads the store itself only
//! while no seed is up to date. What is read goes to the shared state in [`node`](crate::node).

mod election;
mod seeds;

use rand::Rng;
use tokio::time::sleep;
use winch_platform::table::Table;
use winch_roster::{pace::Pace, source::Role};

use self::{election::Election, seeds::Found};

use crate::{
    counter,
    edition::Edition,
    node::{Node, Reading},
    peer,
    prelude::*,
    store::{Access, Error, Publication, Read},
};

/// Longest time for which one call of a daemon without followers waits for a new configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(500);
/// Time for which a stale seed is followed after the store was found unreachable. The daemon then
/// tries the store again, which may have been reachable for others all the while.
const STALE_TOLERANCE: Duration = Duration::from_millis(2_500);
/// Number of failed reads in a row that make an outage. A single one may only mean that the store
/// has closed the connection.
const OUTAGE_FAILURES: u32 = 2;
/// Time after which one failed read makes an outage.
const OUTAGE_TIME: Duration = Duration::from_millis(1_000);
/// Backoff after the first failed call; it doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest backoff.
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Time for which a daemon reads the store itself before it tries the seeds again.
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
            Err(Error::Restored) => "restored",
            Err(Error::Unavailable { .. }) => "unavailable",
        };
        counter::store_called(topic, outcome, taken);
        if let Err(Error::Restored) = result {
            emit!(Event::StoreRestored, topic = topic);
        }
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

    /// Whether the store counts as unreachable after a failed read that began at `started_at`.
    fn is_outage(&self, started_at: Instant) -> bool {
        self.failures >= OUTAGE_FAILURES || started_at.elapsed() >= OUTAGE_TIME
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

/// The intervals of a daemon that serves others.
fn pace<P: Protocol>(node: &Node<P>) -> Pace {
    Pace::new(node.tuning().max_age)
}

/// Longest backoff of a daemon that `serves` others or does not. One that does looks again as soon as it
/// reads else: how long it was refused decides whether it doubts the list, and its followers with it.
fn longest_backoff<P: Protocol>(node: &Node<P>, serves: bool) -> Duration {
    if serves { pace(node).read_interval } else { BACKOFF_MAX }
}

fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}

/// Keeps the daemon's state in sync with the store for as long as the daemon runs.
///
/// One seed reads the store, and the others follow it. All other daemons follow a seed, and
/// read the store themselves while no seed is up to date; some of them are then elected to read
/// for the others. When the store is unreachable too, a stale seed is followed for a while: the
/// seed detects when the store is reachable again, and fewer daemons make calls that fail.
pub async fn run<P: Protocol, S: Store, T: Table>(node: Arc<Node<P>>, mut access: Access<S, T>) {
    let mut tuning_changes = node.subscribe_tuning();
    loop {
        let role = Role::new(&tuning_changes.borrow_and_update().seeds, node.settings.peers);
        tokio::select! {
            () = keep_in_sync(&node, &mut access, &role) => {}
            // Cannot fail: the node owns the sender.
            _ = tuning_changes.changed() => {}
        }
    }
}

/// Follows seeds and reads the store by turns, as the role demands; never returns.
async fn keep_in_sync<P: Protocol, S: Store, T: Table>(
    node: &Arc<Node<P>>,
    access: &mut Access<S, T>,
    role: &Role,
) {
    let mut election = Election::new(node, access.table.clone());
    let (mut stale_until, mut failures) = (None, 0);
    loop {
        node.set_reads_store(false);
        node.set_serves(role.serves());
        if !role.serves() {
            seeds::follow(node, &mut access.config, role, stale_until).await;
        }
        node.set_reads_store(true);
        let found = tokio::select! {
            () = read(node, access, role.serves()) => None,
            found = seeds::find_source(node, role, &mut election) => Some(found),
        };
        if found.is_some() {
            (stale_until, failures) = (None, 0);
        }
        match found {
            Some(Found::Source(subscription)) => {
                node.set_reads_store(false);
                seeds::run_found(node, &mut access.config, *subscription).await;
            }
            Some(Found::Elected) => read_for_others(node, access, role, &mut election).await,
            None => {
                node.set_reads_store(false);
                failures += 1;
                stale_until = Some(Instant::now() + jittered(STALE_TOLERANCE));
                sleep(backoff(failures)).await;
            }
        }
    }
}

/// Reads the store as an elected reader, until a seed is up to date or the lease is lost.
async fn read_for_others<P: Protocol, S: Store, T: Table>(
    node: &Arc<Node<P>>,
    access: &mut Access<S, T>,
    role: &Role,
    election: &mut Election<T>,
) {
    emit!(Event::ReaderElected, listen = node.settings.peers);
    node.set_serves(true);
    let (started_at, elected_role) = (Instant::now(), role.elected());
    tokio::select! {
        () = read(node, access, true) => {}
        () = election.hold(node) => {}
        () = seeds::wait_fresh(node, &elected_role) => {}
    }
    // Followers would take the removal of what this daemon no longer needs for that of replicas
    // that have left.
    node.set_serves(false);
    emit!(Event::ReaderRetired, taken_ms = started_at.elapsed().as_millis());
}

/// Reads the store. Returns when it is unavailable, unless the daemon serves others or is not
/// initialized yet.
async fn read<P: Protocol, S: Store, T>(node: &Node<P>, access: &mut Access<S, T>, serves: bool) {
    tokio::select! {
        () = follow_config(node, &mut access.config, serves) => {}
        () = follow_replicas(node, &mut access.list, serves) => {}
    }
}

/// Reads the configuration and its changes; returns under the same conditions as [`read`].
async fn follow_config<P: Protocol, S: Store>(node: &Node<P>, store: &mut S, serves: bool) {
    let mut monitor = StoreMonitor::new(Topic::Config);
    let longest_wait = if serves { pace(node).read_interval } else { CONFIG_WAIT };
    let mut position = None;
    loop {
        // The first read after an outage confirms the state at once.
        let wait = if monitor.failures > 0 { Duration::ZERO } else { longest_wait };
        let started_at = Instant::now();
        let read = match position {
            None => store.config().await,
            Some(position) => store.next_config(position, wait).await.map(Read::whole),
        };
        let (part, read) = Read::split(read);
        monitor.record(&read, started_at);
        if let Some(part) = part {
            apply_publication(node, part);
        }
        match read {
            Ok(publication) => {
                let none_published = position.is_none() && publication.document.is_none();
                position = Some(publication.position);
                apply_publication(node, publication);
                node.confirm(Topic::Config, Some(started_at));
                if none_published {
                    sleep(jittered(BACKOFF_MIN)).await;
                }
            }
            Err(Error::Compacted | Error::Restored) => position = None,
            Err(Error::Unavailable { .. }) => {
                // Whichever topic finds the outage first ends the reads of both.
                if monitor.is_outage(started_at) {
                    node.catalog().mark_store_unreachable();
                }
                if !node.is_initialized() {
                    peer::fetch_from_seeds(node).await;
                } else if !serves && monitor.is_outage(started_at) {
                    return;
                }
                sleep(monitor.backoff().min(longest_backoff(node, serves))).await;
            }
        }
    }
}

fn apply_publication<P: Protocol>(node: &Node<P>, publication: Publication) {
    for decoded in publication.moves {
        match decoded {
            Ok(spec) => node.start_move(spec),
            Err(fault) => {
                let position = publication.position;
                emit!(Event::ConfigUnreadable, fault = fault, version = position);
            }
        }
    }
    let Some(document) = publication.document else { return };
    match node.protocol.decode_config(&document) {
        Ok(config) => {
            let (version, era) = (config.version, publication.position.era);
            let edition = Edition::new(version, era, &document);
            let in_force = node.edition().version;
            if version < in_force {
                emit!(Event::ConfigOutdated, version = version, in_force = in_force);
            }
            node.install_config(config, document, edition);
        }
        Err(fault) => {
            emit!(Event::ConfigUnreadable, fault = fault, version = publication.position);
        }
    }
}

/// Reads the list of replicas and its changes; returns under the same conditions as
/// [`follow_config`].
async fn follow_replicas<P: Protocol, S: Store>(node: &Node<P>, store: &mut S, serves: bool) {
    let mut monitor = StoreMonitor::new(Topic::Replicas);
    let longest = if serves { pace(node).read_interval } else { Duration::MAX };
    let interval = node.tuning().list_interval.min(longest);
    let mut position = node.roster().resume_position();
    loop {
        let started_at = Instant::now();
        let read = match position {
            None => store.replicas().await,
            Some(position) => store.replica_changes(position).await.map(Read::whole),
        };
        let (part, read) = Read::split(read);
        monitor.record(&read, started_at);
        if let Some(part) = part {
            if !node.is_initialized() {
                // A seed may know the whole list.
                peer::fetch_from_seeds(node).await;
            }
            node.apply_part(part);
        }
        match read {
            Ok(listing) => {
                node.mark_store_reachable(Reading::of_store(started_at));
                position = Some(listing.position);
                node.apply_listing(listing, true);
                node.confirm(Topic::Replicas, Some(started_at));
                sleep(jittered(interval)).await;
            }
            Err(Error::Compacted | Error::Restored) => position = None,
            Err(Error::Unavailable { .. }) => {
                if monitor.is_outage(started_at) {
                    node.catalog().mark_store_unreachable();
                }
                if !serves && node.is_initialized() && monitor.is_outage(started_at) {
                    return;
                }
                sleep(monitor.backoff().min(longest_backoff(node, serves))).await;
            }
        }
    }
}
