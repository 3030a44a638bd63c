//! Follows the platform's store: the configuration and the list of replicas.

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

/// Longest wait of one call for a new configuration.
const PLAN_WAIT: Duration = Duration::from_millis(500);
/// Longest pause of a seed between two reads of the list of replicas; its
/// followers take its knowledge for stale soon after.
const SEED_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a stale seed is followed after the store itself gave no answer
/// once; twice as long after that.
const STALE_TOLERANCE: Duration = Duration::from_secs(3);
/// Pause after the first call that failed; it doubles up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between calls that fail.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Time for which a daemon reads the store itself before it tries its seeds again.
const DIRECT_TIME: Duration = Duration::from_millis(1_500);
/// Part of a pause by which daemons differ, so that they do not call in step.
const JITTER: f64 = 0.2;

/// Knowledge that is kept in step with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The configuration.
    Plan,
    /// The list of replicas.
    Replicas,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 2] = [Self::Plan, Self::Replicas];

    fn name(self) -> &'static str {
        match self {
            Self::Plan => "configuration",
            Self::Replicas => "replicas",
        }
    }
}

/// Notes lost and regained contact, and the age of what is known.
struct Contact {
    topic: Topic,
    last: Instant,
    failures: u32,
}

impl Contact {
    fn new(topic: Topic) -> Self {
        Self { topic, last: Instant::now(), failures: 0 }
    }

    fn note<T>(&mut self, result: &Result<T, Error>, started: Instant) {
        let (topic, taken) = (self.topic.name(), started.elapsed());
        let outcome = match result {
            Ok(_) => "ok",
            Err(Error::Compacted) => "compacted",
            Err(Error::Unavailable { .. }) => "unavailable",
        };
        counter::store_called(topic, outcome, taken);
        match result {
            Err(Error::Unavailable { reason }) => {
                if self.failures == 0 {
                    let age = self.last.elapsed().as_millis();
                    emit!(Event::StoreUnreachable, topic = topic, reason = reason, age_ms = age);
                }
                self.failures += 1;
            }
            _ => {
                if self.failures > 0 {
                    let away = self.last.elapsed().as_millis();
                    emit!(Event::StoreReachable, topic = topic, away_ms = away);
                }
                self.failures = 0;
                self.last = Instant::now();
            }
        }
        counter::knowledge_age(topic, self.last.elapsed());
    }

    /// Pause before the next call after one that failed.
    fn pause(&self) -> Duration {
        retry_pause(self.failures)
    }
}

fn retry_pause(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(4);
    jittered((RETRY_PAUSE * 2_u32.pow(doublings)).min(MAX_RETRY_PAUSE))
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}

/// Keeps the daemon's knowledge in step for as long as it runs.
///
/// Seeds read the store; all others follow one of them, and read the store
/// themselves for a while when none is up to date. When the store gives no answer
/// either, a seed is followed as it is: it notices the store's return, and fewer
/// daemons call in vain.
pub async fn run<D: Dialect, S: Store, T>(node: Arc<Node<D>>, mut access: Access<S, T>) {
    let mut tunings = node.tunings();
    let (mut tolerated, mut failures) = (None, 0);
    loop {
        let seeds = tunings.borrow_and_update().seeds.clone();
        let reads = seeds.is_empty() || seeds.contains(&node.settings.peers);
        if !reads {
            tokio::select! {
                () = seeds::follow(&node, &mut access, tolerated) => {}
                // The sender lives as long as the node.
                _ = tunings.changed() => continue,
            }
        }
        let direct = async {
            tokio::select! {
                () = follow_plan(&node, &mut access.plan, reads) => {}
                () = follow_replicas(&node, &mut access.list, reads) => {}
            }
        };
        node.set_reads_store(true);
        // The time is over as planned: the seeds are tried again.
        let limit = if reads { Duration::MAX } else { jittered(DIRECT_TIME) };
        let failed = tokio::select! {
            ended = timeout(limit, direct) => ended.is_ok(),
            _ = tunings.changed() => false,
        };
        node.set_reads_store(false);
        failures = if failed { failures + 1 } else { 0 };
        tolerated = failed.then(|| Instant::now() + stale_tolerance(failures));
        if failed {
            sleep(retry_pause(failures)).await;
        }
    }
}

/// How long a stale seed is followed after the store gave no answer.
fn stale_tolerance(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(1);
    jittered(STALE_TOLERANCE * 2_u32.pow(doublings))
}

/// Reads all from the store, so that a seed has to tell changes only.
///
/// A failure is not retried here: the seed then tells everything. Whether the
/// list was read.
async fn read_whole<D: Dialect, S: Store, T>(node: &Node<D>, access: &mut Access<S, T>) -> bool {
    let started = Instant::now();
    let (plan, listing) = tokio::join!(access.plan.plan(), access.list.replicas());
    Contact::new(Topic::Plan).note(&plan, started);
    Contact::new(Topic::Replicas).note(&listing, started);
    if let Ok(publication) = plan {
        publish(node, publication);
    }
    let Ok(listing) = listing else { return false };
    node.list(listing.changes, listing.version, true);
    true
}

/// Reads the configuration; ends when the store gives no answer, unless `persist`
/// is set or nothing is known yet.
async fn follow_plan<D: Dialect, S: Store>(node: &Node<D>, store: &mut S, persist: bool) {
    let mut contact = Contact::new(Topic::Plan);
    let mut version = None;
    loop {
        let started = Instant::now();
        let read = match version {
            None => store.plan().await,
            Some(version) => store.next_plan(version, PLAN_WAIT).await,
        };
        let asked = started.max(Instant::now() - PLAN_WAIT);
        contact.note(&read, started);
        match read {
            Ok(publication) => {
                let empty = version.is_none() && publication.document.is_none();
                version = Some(publication.version);
                publish(node, publication);
                node.confirm(Topic::Plan, Some(asked));
                if empty {
                    sleep(jittered(RETRY_PAUSE)).await;
                }
            }
            Err(Error::Compacted) => version = None,
            Err(Error::Unavailable { .. }) => {
                if !node.is_informed() {
                    peer::learn(node).await;
                } else if !persist {
                    return;
                }
                sleep(contact.pause()).await;
            }
        }
    }
}

fn publish<D: Dialect>(node: &Node<D>, publication: Publication) {
    for ordered in publication.moves {
        match ordered {
            Ok(order) => node.order_move(order),
            Err(fault) => {
                emit!(Event::ConfigUnreadable, fault = fault, version = publication.version);
            }
        }
    }
    let Some(document) = publication.document else { return };
    match node.dialect.plan(&document) {
        Ok(plan) => drop(node.adopt(plan, document)),
        Err(fault) => {
            emit!(Event::ConfigUnreadable, fault = fault, version = publication.version);
        }
    }
}

/// Reads the list of replicas; ends as [`follow_plan`] does.
async fn follow_replicas<D: Dialect, S: Store>(node: &Node<D>, store: &mut S, persist: bool) {
    let mut contact = Contact::new(Topic::Replicas);
    let tuning = node.tuning();
    let seed = tuning.seeds.contains(&node.settings.peers);
    let interval = tuning.list_interval.min(if seed { SEED_INTERVAL } else { Duration::MAX });
    let mut version = Some(node.changelog().version()).filter(|version| *version > 0);
    loop {
        let started = Instant::now();
        let read = match version {
            None => store.replicas().await,
            Some(version) => store.replica_changes(version).await,
        };
        contact.note(&read, started);
        match read {
            Ok(listing) => {
                node.catalog().store_back(Instant::now());
                let whole = version.is_none();
                version = Some(listing.version);
                node.list(listing.changes, listing.version, whole);
                node.confirm(Topic::Replicas, Some(started));
                sleep(jittered(interval)).await;
            }
            Err(Error::Compacted) => version = None,
            Err(Error::Unavailable { .. }) => {
                node.catalog().store_lost();
                if !persist && node.is_informed() {
                    return;
                }
                sleep(contact.pause()).await;
            }
        }
    }
}
