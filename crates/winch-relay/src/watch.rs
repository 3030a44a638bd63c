//! Follows the platform's store: the configuration and the list of replicas.

use rand::Rng;
use tokio::time::sleep;

use crate::{
    counter,
    node::Node,
    peer,
    prelude::*,
    store::{Error, Publication},
};

/// Longest wait of one call for a new configuration.
const PLAN_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Part of a pause by which daemons differ, so that they do not call in step.
const JITTER: f64 = 0.2;

/// Knowledge that is kept in step with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Topic {
    Plan,
    Replicas,
}

impl Topic {
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
    lost: bool,
}

impl Contact {
    fn new(topic: Topic) -> Self {
        Self { topic, last: Instant::now(), lost: false }
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
                if !self.lost {
                    let age = self.last.elapsed().as_millis();
                    emit!(Event::StoreLost, topic = topic, reason = reason, age_ms = age);
                }
                self.lost = true;
            }
            _ => {
                if self.lost {
                    let away = self.last.elapsed().as_millis();
                    emit!(Event::StoreBack, topic = topic, away_ms = away);
                }
                self.lost = false;
                self.last = Instant::now();
            }
        }
        counter::knowledge_age(topic, self.last.elapsed());
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}

/// Follows the configuration for as long as the daemon runs.
pub async fn follow_plan<D: Dialect, S: Store>(node: Arc<Node<D>>, mut store: S) {
    let mut contact = Contact::new(Topic::Plan);
    let mut version = None;
    loop {
        let started = Instant::now();
        let read = match version {
            None => store.plan().await,
            Some(version) => store.next_plan(version, PLAN_WAIT).await,
        };
        contact.note(&read, started);
        match read {
            Ok(publication) => {
                let empty = version.is_none() && publication.document.is_none();
                version = Some(publication.version);
                publish(&node, publication);
                if empty {
                    sleep(jittered(RETRY_PAUSE)).await;
                }
            }
            Err(Error::Compacted) => version = None,
            Err(Error::Unavailable { .. }) => {
                if !node.is_informed() {
                    peer::learn(&node).await;
                }
                sleep(jittered(RETRY_PAUSE)).await;
            }
        }
    }
}

fn publish<D: Dialect>(node: &Node<D>, publication: Publication) {
    let Some(document) = publication.document else { return };
    match node.dialect.plan(&document) {
        Ok(plan) => drop(node.adopt(plan, document)),
        Err(fault) => {
            emit!(Event::ConfigUnreadable, fault = fault, version = publication.version);
        }
    }
}

/// Follows the list of replicas for as long as the daemon runs.
pub async fn follow_replicas<D: Dialect, S: Store>(node: Arc<Node<D>>, mut store: S) {
    let mut contact = Contact::new(Topic::Replicas);
    let mut version = None;
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
                node.list(listing.changes, whole);
                sleep(jittered(node.settings.list_interval)).await;
            }
            Err(Error::Compacted) => version = None,
            Err(Error::Unavailable { .. }) => {
                node.catalog().store_lost();
                sleep(jittered(RETRY_PAUSE)).await;
            }
        }
    }
}
