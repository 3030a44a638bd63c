//! State that the tasks of one daemon share: settings, configuration, replicas, version
//! moves, strikes and retry budgets.
//!
//! Changes of that state are logged, recorded for followers and announced to subscribers.

mod admission;
mod budgets;
mod listing;
mod moves;
mod statement;
mod stopping;

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
    sync::{
        Semaphore,
        watch::{Receiver, Sender},
    },
    time::timeout_at,
};
use tokio_util::task::TaskTracker;
use winch_roster::roster::Roster;
use winch_route::overload::Gate;

pub use self::listing::Reading;
use self::{budgets::Budgets, stopping::Stage};
use crate::{
    catalog::{Catalog, Key},
    config::Config,
    edition::Edition,
    fleet::Fleet,
    forward::Running,
    memory::MAX_BLOCKS,
    moves::Rollouts,
    pool::Pool,
    prelude::*,
    pulse::Pulse,
    reach::Paths,
    settings::{Settings, Tuning},
    shed::Shedders,
    speed::Speeds,
    stream::admission::Backlogs,
    strikes::Strikes,
    watch::Topic,
};

/// Time after the start during which requests wait until the daemon has a configuration
/// and replicas.
const STARTUP_WAIT: Duration = Duration::from_millis(1_500);
/// Longest time for which a request that arrives within `STARTUP_WAIT` waits until the daemon
/// knows what was refused before its start.
const STRIKES_WAIT: Duration = Duration::from_millis(250);

/// A configuration and the document from which it was decoded.
#[derive(Clone, Debug)]
pub struct Published {
    /// The configuration.
    pub config: Arc<Config>,
    /// The document as it was published.
    pub document: Bytes,
    /// Identifies the document.
    pub edition: Edition,
}

/// Shared state of one daemon.
#[derive(Debug)]
pub struct Node<P> {
    /// Settings at the start; see [`Self::tuning()`] for those that may have changed since.
    pub settings: Settings,
    tuning: Sender<Arc<Tuning>>,
    /// Translates the platform's messages.
    pub protocol: P,
    /// Idle connections to replicas.
    pub pool: Pool,
    /// Memory for long replies.
    pub body_blocks: Arc<Semaphore>,
    /// Memory for long requests.
    pub request_blocks: Arc<Semaphore>,
    /// Short tasks of the request path; the daemon joins them when it stops.
    pub tasks: TaskTracker,
    catalog: Mutex<Catalog>,
    config: Mutex<Option<Published>>,
    /// Announces changes; see [`Self::subscribe()`].
    changed: Sender<()>,
    /// The known replicas, for followers.
    roster: Mutex<Roster>,
    rollouts: Mutex<Rollouts>,
    strikes: Mutex<Strikes>,
    fleet: Mutex<Fleet>,
    paths: Mutex<Paths>,
    speeds: Mutex<Speeds>,
    /// Requests that run in this daemon.
    pub running: Running,
    reads_store: AtomicBool,
    serves: AtomicBool,
    /// When the store last confirmed each topic.
    confirmed: Mutex<[Option<Instant>; Topic::ALL.len()]>,
    started_at: Instant,
    /// Retry budgets by service.
    budgets: Budgets,
    pub(crate) shedders: Shedders,
    pub(crate) backlogs: Backlogs,
    /// Admission of streams by service.
    gates: Mutex<HashMap<Name, Gate>>,
    stage: Sender<Stage>,
    pub(crate) pulse: Pulse,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while a lock is held leaves the data consistent, so poisoning is ignored.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<P: Protocol> Node<P> {
    /// Creates the state of a daemon that has no configuration and knows no replicas yet.
    pub fn new(settings: Settings, protocol: P) -> Arc<Self> {
        let started_at = Instant::now();
        Arc::new(Self {
            tuning: Sender::new(Arc::new(settings.tuning.clone())),
            settings,
            protocol,
            pool: Pool::default(),
            body_blocks: Arc::new(Semaphore::new(MAX_BLOCKS)),
            request_blocks: Arc::new(Semaphore::new(MAX_BLOCKS)),
            tasks: TaskTracker::new(),
            catalog: Mutex::default(),
            config: Mutex::default(),
            changed: Sender::new(()),
            roster: Mutex::default(),
            rollouts: Mutex::default(),
            strikes: Strikes::new(started_at).into(),
            fleet: Mutex::default(),
            paths: Mutex::default(),
            speeds: Mutex::default(),
            running: Running::default(),
            reads_store: AtomicBool::new(false),
            serves: AtomicBool::new(false),
            confirmed: Mutex::default(),
            started_at,
            budgets: Budgets::default(),
            shedders: Shedders::default(),
            backlogs: Backlogs::default(),
            gates: Mutex::default(),
            stage: Sender::new(Stage::Running),
            pulse: Pulse::default(),
        })
    }

    /// The settings that may change while the daemon runs, as they are now.
    pub fn tuning(&self) -> Arc<Tuning> {
        self.tuning.borrow().clone()
    }

    /// Subscribes to changes of [`Self::tuning()`].
    pub fn subscribe_tuning(&self) -> Receiver<Arc<Tuning>> {
        self.tuning.subscribe()
    }

    /// Applies changed settings and announces them to the subscribers.
    pub fn retune(&self, tuning: Tuning) {
        // The ratio of a budget is fixed, so all are dropped and created again on their next use.
        self.budgets.clear();
        self.tuning.send_replace(tuning.into());
    }

    /// The known replicas.
    pub fn catalog(&self) -> MutexGuard<'_, Catalog> {
        lock(&self.catalog)
    }

    /// The configuration in force; `None` before the first one.
    pub fn config(&self) -> Option<Arc<Config>> {
        lock(&self.config).as_ref().map(|published| published.config.clone())
    }

    /// The configuration in force, with its document; `None` before the first one.
    pub fn published(&self) -> Option<Published> {
        lock(&self.config).clone()
    }

    /// The edition of the configuration in force; version zero before the first one.
    pub fn edition(&self) -> Edition {
        lock(&self.config).as_ref().map(|published| published.edition).unwrap_or_default()
    }

    /// Installs a configuration if it replaces the one in force; see
    /// [`Edition::is_replaced_by()`].
    pub fn install_config(&self, config: Config, document: Bytes, edition: Edition) {
        let mut current = lock(&self.config);
        if let Some(installed) = current.as_mut()
            && !installed.edition.is_replaced_by(&edition)
        {
            installed.edition.confirm(&edition);
            return;
        }
        let routes = config.len();
        emit!(Event::RevisionInForce, version = config.version, routes = routes);
        *current = Some(Published { config: config.into(), document, edition });
        drop(current);
        self.changed.send_replace(());
    }

    /// The known replicas, as they are passed on to followers.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    /// The known version moves.
    pub fn rollouts(&self) -> MutexGuard<'_, Rollouts> {
        lock(&self.rollouts)
    }

    /// Strikes of requests that crashed replicas.
    pub fn strikes(&self) -> MutexGuard<'_, Strikes> {
        lock(&self.strikes)
    }

    /// Wakes the connections to followers, so that new strikes are sent on them.
    pub fn announce_strike(&self) {
        self.changed.send_replace(());
    }

    /// The known size of the fleet.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// What is known of the paths to replicas.
    pub(crate) fn paths(&self) -> MutexGuard<'_, Paths> {
        lock(&self.paths)
    }

    /// Samples and speeds of replicas.
    pub fn speeds(&self) -> MutexGuard<'_, Speeds> {
        lock(&self.speeds)
    }

    /// Number of daemons in the fleet.
    pub fn daemons(&self) -> u32 {
        self.fleet().daemons(self.serves() && self.reads_store(), Instant::now())
    }

    /// Time since the daemon started.
    pub fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether the daemon currently reads the store itself.
    pub fn reads_store(&self) -> bool {
        self.reads_store.load(Ordering::Relaxed)
    }

    /// Sets whether the daemon currently reads the store itself.
    pub fn set_reads_store(&self, reads: bool) {
        self.reads_store.store(reads, Ordering::Relaxed);
    }

    /// Whether other daemons may follow this one.
    pub fn serves(&self) -> bool {
        self.serves.load(Ordering::Relaxed)
    }

    /// Sets whether other daemons may follow this one.
    pub fn set_serves(&self, serves: bool) {
        self.serves.store(serves, Ordering::Relaxed);
    }

    /// Subscribes to changes of the configuration, replicas, version moves and strikes.
    pub fn subscribe(&self) -> Receiver<()> {
        self.changed.subscribe()
    }

    /// Whether the daemon has a configuration and at least one replica.
    pub fn is_initialized(&self) -> bool {
        lock(&self.config).is_some() && !self.catalog().is_empty()
    }

    /// Waits until the daemon has a configuration, at least one replica, what is known of its version
    /// moves and the strikes of before, but only for a short time after its start.
    pub async fn wait_initialized(&self) {
        let startup_end = self.started_at + STARTUP_WAIT;
        if Instant::now() >= startup_end {
            return;
        }
        self.wait_for(startup_end, |node| node.is_initialized() && node.rollouts().are_confirmed())
            .await;
        let deadline = startup_end.min(Instant::now() + STRIKES_WAIT);
        self.wait_for(deadline, |node| node.strikes().is_synced()).await;
    }

    /// Waits until `condition` holds, at most until `deadline`.
    async fn wait_for(&self, deadline: Instant, condition: impl Fn(&Self) -> bool) {
        let mut changes = self.changed.subscribe();
        let holds = async {
            while !condition(self) {
                // Cannot fail: this node owns the sender.
                let _ = changes.changed().await;
            }
        };
        // A timeout is not an error: a request that still lacks something is refused later.
        let _ = timeout_at(deadline, holds).await;
    }

    /// Whether the daemon can serve callers: it is initialized and not stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.is_initialized()
    }

    /// Ejects a replica after a failure of one of this daemon's requests, and closes the idle
    /// connections to it.
    pub fn eject(&self, key: Key, replica: &Replica, reason: &str) {
        let length = self.catalog().eject(key, Instant::now());
        self.pool.evict(replica.address);
        if let Some(length) = length {
            emit!(
                Event::ReplicaEjected,
                replica = replica.id,
                dc = replica.dc,
                reason = reason,
                pause_ms = length.as_millis()
            );
        }
    }

    /// A random number generator for one decision.
    pub fn rng(&self) -> impl Rng + use<P> {
        SmallRng::from_rng(&mut rand::rng())
    }
}
