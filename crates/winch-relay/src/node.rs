//! State that the tasks of one daemon share.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::watch::{Receiver, Sender},
    time::timeout_at,
};
use tokio_util::task::TaskTracker;
use winch_move::evidence::Cohort;
use winch_route::budget::{self, Budget};

use crate::{
    catalog::{Catalog, Key, News},
    changelog::Changelog,
    moves::{Order, Progress, Rule, Trials},
    plan::Plan,
    pool::Pool,
    prelude::*,
    settings::{Settings, Tuning},
    store::Change,
    strikes::Strikes,
    watch::Topic,
};

/// Retries that a service may save up in one daemon.
const RETRY_BURST: f64 = 10.0;

/// Time after the start for which requests wait until the daemon knows its
/// configuration and replicas.
const LEARN_TIME: Duration = Duration::from_millis(1_500);

/// A configuration and the document that it was read from.
#[derive(Clone, Debug)]
pub struct Published {
    /// The configuration.
    pub plan: Arc<Plan>,
    /// The document as it was published.
    pub document: Bytes,
}

/// State of one daemon.
#[derive(Debug)]
pub struct Node<D> {
    /// What it was told at its start.
    pub settings: Settings,
    tuning: Sender<Arc<Tuning>>,
    /// Translation of the platform's messages.
    pub dialect: D,
    /// Idle connections to replicas.
    pub pool: Pool,
    /// Short tasks of the request path; the daemon joins them when it stops.
    pub tasks: TaskTracker,
    catalog: Mutex<Catalog>,
    plan: Mutex<Option<Published>>,
    learnt: Sender<()>,
    changelog: Mutex<Changelog>,
    trials: Mutex<Trials>,
    strikes: Mutex<Strikes>,
    reads_store: AtomicBool,
    confirmed: Mutex<[Option<Instant>; Topic::ALL.len()]>,
    started: Instant,
    budgets: Mutex<HashMap<Name, Budget>>,
    stopping: Sender<bool>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Every change under these locks leaves the data whole, also when it panics.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<D: Dialect> Node<D> {
    /// The state of a daemon that knows nothing yet.
    pub fn new(settings: Settings, dialect: D) -> Arc<Self> {
        let started = Instant::now();
        Arc::new(Self {
            tuning: Sender::new(Arc::new(settings.tuning.clone())),
            settings,
            dialect,
            pool: Pool::default(),
            tasks: TaskTracker::new(),
            catalog: Mutex::default(),
            plan: Mutex::default(),
            learnt: Sender::new(()),
            changelog: Mutex::default(),
            trials: Mutex::default(),
            strikes: Strikes::new(started).into(),
            reads_store: AtomicBool::new(false),
            confirmed: Mutex::default(),
            started,
            budgets: Mutex::default(),
            stopping: Sender::new(false),
        })
    }

    /// Settings that may change, as they are now.
    pub fn tuning(&self) -> Arc<Tuning> {
        self.tuning.borrow().clone()
    }

    /// Tells of changed settings.
    pub fn tunings(&self) -> Receiver<Arc<Tuning>> {
        self.tuning.subscribe()
    }

    /// Puts changed settings in force.
    pub fn retune(&self, tuning: Tuning) {
        // Each budget keeps its ratio; new ones are made with the new one.
        lock(&self.budgets).clear();
        self.tuning.send_replace(tuning.into());
    }

    /// What is known of the replicas.
    pub fn catalog(&self) -> MutexGuard<'_, Catalog> {
        lock(&self.catalog)
    }

    /// The configuration in force.
    pub fn plan(&self) -> Option<Arc<Plan>> {
        lock(&self.plan).as_ref().map(|published| published.plan.clone())
    }

    /// The configuration in force with its document.
    pub fn published(&self) -> Option<Published> {
        lock(&self.plan).clone()
    }

    /// Puts a configuration in force, unless a newer one already is.
    pub fn adopt(&self, plan: Plan, document: Bytes) -> bool {
        let mut current = lock(&self.plan);
        let newer = current.as_ref().is_none_or(|known| known.plan.version < plan.version);
        if newer {
            let routes = plan.len();
            emit!(Event::RevisionInForce, version = plan.version, routes = routes);
            *current = Some(Published { plan: plan.into(), document });
            drop(current);
            self.learnt.send_replace(());
        }
        newer
    }

    /// Recent changes of the list of replicas.
    pub fn changelog(&self) -> MutexGuard<'_, Changelog> {
        lock(&self.changelog)
    }

    /// Applies changes of the list of replicas up to `version`; all that is not in a
    /// whole listing is gone.
    pub fn list(&self, changes: Vec<Change>, version: u64, whole: bool) {
        for change in &changes {
            if let Change::Unreadable { id, fault } = change {
                emit!(Event::EntryUnreadable, replica = id, fault = fault);
            }
        }
        let now = Instant::now();
        let mut catalog = self.catalog();
        let mut news: Vec<News> = if whole {
            catalog.replace(changes)
        } else {
            changes.into_iter().filter_map(|change| catalog.apply(change)).collect()
        };
        news.extend(catalog.expire(now));
        catalog.read_applied();
        drop(catalog);
        self.note(news, version);
    }

    /// Drops replicas whose entries are still missing some time after an outage.
    pub fn expire(&self) {
        let news = self.catalog().expire(Instant::now());
        self.note(news, 0);
    }

    /// Takes in a replica that is not listed yet.
    pub fn adopt_replica(&self, replica: Replica) {
        let news = self.catalog().adopt(replica, Instant::now());
        self.note(news.into_iter().collect(), 0);
    }

    fn note(&self, news: Vec<News>, version: u64) {
        self.changelog().record(&news, version);
        if !news.is_empty() {
            self.learnt.send_replace(());
        }
        self.report(news);
    }

    /// What is known of version moves.
    pub fn trials(&self) -> MutexGuard<'_, Trials> {
        lock(&self.trials)
    }

    /// Takes in an operator's order to move a service.
    pub fn order_move(&self, order: Order) {
        let (service, to, revision) = (order.service.clone(), order.to.clone(), order.revision);
        if self.trials().order(order) {
            emit!(Event::MoveOrdered, name = service, to = to, revision = revision);
            self.learnt.send_replace(());
        }
    }

    /// Takes in how far a move has come.
    pub fn learn_move(&self, progress: Progress) {
        let (service, to) = (progress.order.service.clone(), progress.order.to.clone());
        let (stage, verdict) = (progress.stage, progress.verdict);
        if self.trials().learn(progress) {
            emit!(
                Event::MoveLearnt,
                name = service,
                to = to,
                stage = stage,
                verdict = verdict.map_or("-".to_owned(), |verdict| format!("{verdict:?}"))
            );
            self.learnt.send_replace(());
        }
    }

    /// Requests that are blamed for deaths of replicas.
    pub fn strikes(&self) -> MutexGuard<'_, Strikes> {
        lock(&self.strikes)
    }

    /// Tells followers soon of a strike that was noted.
    pub fn note_strike(&self) {
        self.learnt.send_replace(());
    }

    /// Draws which side of a move a new request belongs to.
    pub fn draw_side(&self, service: &str) -> Cohort {
        let trials = self.trials();
        if trials.get(service).is_none() {
            return Cohort::Old;
        }
        let (number, catalog) = (self.rng().random(), self.catalog());
        let serving = catalog.serving(service).map(|(_, entry)| &*entry.replica);
        trials.draw(service, number, serving, Instant::now())
    }

    /// Replicas that may serve a request that was drawn for `side`.
    pub fn rule(&self, service: &str, side: Cohort) -> Rule {
        let trials = self.trials();
        if trials.get(service).is_none() {
            return Rule::Any;
        }
        let catalog = self.catalog();
        let serving = catalog.serving(service).map(|(_, entry)| &*entry.replica);
        trials.rule(service, side, serving, Instant::now())
    }

    /// Time since the daemon started.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Whether the daemon reads the store itself at present.
    pub fn reads_store(&self) -> bool {
        self.reads_store.load(Ordering::Relaxed)
    }

    /// Notes whether the daemon reads the store itself.
    pub fn set_reads_store(&self, reads: bool) {
        self.reads_store.store(reads, Ordering::Relaxed);
    }

    /// Notes when the store last confirmed what is known of a topic, if that is later.
    pub fn confirm(&self, topic: Topic, at: Option<Instant>) {
        let confirmed = &mut lock(&self.confirmed)[topic as usize];
        *confirmed = (*confirmed).max(at);
    }

    /// Time since the store last confirmed all that is known, in milliseconds.
    pub fn knowledge_age_ms(&self) -> Option<u64> {
        let confirmed = *lock(&self.confirmed);
        // An unconfirmed topic is older than any confirmed one.
        let oldest = confirmed.into_iter().min().flatten();
        let age = oldest?.elapsed();
        u64::try_from(age.as_millis()).ok()
    }

    /// Tells of changes of what is known.
    pub fn learnt(&self) -> Receiver<()> {
        self.learnt.subscribe()
    }

    /// Whether the configuration and replicas are known.
    pub fn is_informed(&self) -> bool {
        lock(&self.plan).is_some() && !self.catalog().is_empty()
    }

    /// Waits shortly after the start until the daemon knows what it needs to serve.
    pub async fn informed(&self) {
        let mut learnt = self.learnt.subscribe();
        let known = async {
            while !self.is_informed() {
                // The sender lives as long as this node.
                let _ = learnt.changed().await;
            }
        };
        // Later a request is refused at once instead.
        let _ = timeout_at(self.started + LEARN_TIME, known).await;
    }

    /// Whether the daemon can serve callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.is_informed()
    }

    /// Whether the daemon was told to stop.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Starts the planned stop.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Ends when the daemon is told to stop.
    pub async fn stopped(&self) {
        let mut stopping = self.stopping.subscribe();
        // The sender lives as long as this node.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    }

    /// Counts a request of a caller to `service`.
    pub fn earn_retry(&self, service: &Name) {
        self.with_budget(service, Budget::earn);
    }

    /// Takes one retry from the budget of `service`.
    pub fn spend_retry(&self, service: &Name) -> bool {
        self.with_budget(service, Budget::spend)
    }

    fn with_budget<T>(&self, service: &Name, act: impl FnOnce(&mut Budget) -> T) -> T {
        let ratio = self.tuning().retry_ratio;
        let mut budgets = lock(&self.budgets);
        let new = || Budget::new(budget::Options { ratio, burst: RETRY_BURST });
        act(budgets.entry(service.clone()).or_insert_with(new))
    }

    /// Avoids a replica after a failure that one of the daemon's requests met.
    pub fn avoid(&self, key: Key, replica: &Replica, reason: &str) {
        let pause = self.catalog().failed(key, Instant::now());
        self.pool.forget(replica.address);
        if let Some(pause) = pause {
            let pause = pause.as_millis();
            emit!(
                Event::ReplicaAvoided,
                replica = replica.id,
                dc = replica.dc,
                reason = reason,
                pause_ms = pause
            );
        }
    }

    /// Logs changes of what is believed of replicas.
    fn report(&self, news: Vec<News>) {
        for item in news {
            match item {
                News::Listed(replica) => emit!(
                    Event::ReplicaListed,
                    replica = replica.id,
                    service = replica.service,
                    address = replica.address,
                    dc = replica.dc
                ),
                News::Changed(_) => {}
                News::Leaving(replica) | News::Gone(replica) => {
                    self.pool.forget(replica.address);
                    emit!(
                        Event::ReplicaLeaving,
                        replica = replica.id,
                        service = replica.service,
                        draining = replica.draining
                    );
                }
            }
        }
    }

    /// A generator of random numbers for one decision.
    pub fn rng(&self) -> impl Rng + use<D> {
        SmallRng::from_rng(&mut rand::rng())
    }
}
