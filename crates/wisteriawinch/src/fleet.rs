//! State of one daemon, shared by its request handlers and control tasks.

pub mod routing;
mod setup;
mod strikes;

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwap;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    sync::{Notify, Semaphore, watch},
    time::Instant,
};
use tokio_util::task::TaskTracker;
use winch_config::change::Change;
use winch_generation::{
    cursor,
    stall::{self, Baseline},
};
use winch_gossip::facts::Fact;
use winch_platform::http::{self, Platform};
use winch_route::{
    pool::Key,
    router::{self, Router},
    suspect::{Crash, Fingerprint, Tracker},
    urgency,
};
use xtra::Address;

use self::{
    routing::{Inflight, Routing},
    setup::{client, recorder, stall_options},
};
use crate::{
    control::{
        config::{ApplyChange, Poll, Updater},
        facts,
        peers::{Link, Publish},
    },
    counter, emit,
    prelude::*,
    rollout::{Assignment, Rollouts},
    snapshot::Snapshot,
};

/// State that the tasks of one daemon share.
///
/// It holds the settings, the configuration in force, the router and the evidence about requests
/// and versions, and it gives access to the platform and to the actors that communicate with
/// peers. It belongs to one daemon; the list of the fleet's members is kept by [`Link`].
#[derive(Debug)]
pub struct Fleet {
    /// The daemon's settings.
    pub settings: Settings,
    /// Name and start time of the daemon, for records that outlive it.
    ///
    /// Unlike the incarnation of a member in gossip, it does not change while the daemon runs.
    pub incarnation: Name,
    /// Configuration in force.
    pub snapshot: ArcSwap<Snapshot>,
    /// Client of the platform's store.
    pub platform: Platform,
    /// HTTP client for calls to upstreams. It reuses connections.
    pub client: reqwest::Client,
    /// HTTP client for orders, which must not be sent twice. It opens a connection for each
    /// call, so that a failure to connect shows that nothing was sent.
    pub unpooled_client: reqwest::Client,
    /// Key that signs resume cursors.
    pub cursor_key: cursor::Key,
    /// Options of stall detection.
    pub stall: stall::Options,
    /// Options of request urgency.
    pub urgency: urgency::Options,
    /// Tasks that serve requests; a graceful stop waits for them.
    pub work: TaskTracker,
    /// True once a graceful stop has begun.
    pub stopping: watch::Sender<bool>,
    /// Permit of the one isolated request that may run at a time on this daemon.
    ///
    /// Isolation of a request because of its strikes is unrelated to [`Self::is_isolated`].
    pub isolation: Arc<Semaphore>,
    /// Notified when a paced resume ends its prefill.
    pub prefill_ended: Notify,
    /// True once a configuration is in force; false again when a graceful stop begins.
    pub ready: AtomicBool,
    pub(crate) metrics: PrometheusHandle,
    updater: Mutex<Option<Address<Updater>>>,
    link: Mutex<Option<Address<Link>>>,
    rollouts: Mutex<Rollouts>,
    /// Time of the table's last response, as given by [`Self::now`], in milliseconds; 0 before the
    /// first one and after a pause of the process.
    table_seen_ms: AtomicU64,
    /// Time of the last message of a peer, as given by [`Self::now`], in milliseconds; 0 before the
    /// first one and after a pause of the process.
    peer_seen_ms: AtomicU64,
    /// Number of peers that are alive or suspected.
    alive_peers: AtomicUsize,
    /// True once the control tasks have to end.
    stopped: watch::Sender<bool>,
    routing: Mutex<Routing>,
    baselines: Mutex<HashMap<Name, Baseline>>,
    suspects: Mutex<Tracker>,
    /// Requests that this daemon's strikes have made refused, and that have no row yet.
    refused: Mutex<Vec<Fingerprint>>,
    /// Whether the refused requests in the table have been read.
    pub suspects_read: watch::Sender<bool>,
    /// Crashes that this daemon published last, oldest first, so that each is counted once.
    published_crashes: Mutex<VecDeque<Crash>>,
    inflight: Mutex<Inflight>,
    started_at: Instant,
}

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

impl Fleet {
    /// Creates the state of a daemon without a configuration.
    ///
    /// # Panics
    /// If the HTTP client or the metrics recorder cannot be set up.
    pub fn new(settings: Settings) -> Arc<Self> {
        let seed: u64 = rand::random();
        let options = router::Options::default();
        let router = Router::new(&settings.name, settings.dc.clone(), options, seed);
        let platform = Platform::new(http::Options {
            base: settings.platform.clone(),
            timeout: PLATFORM_TIMEOUT,
        });
        Arc::new(Self {
            incarnation: format!("{}#{}", settings.name, unix_now()).into(),
            snapshot: ArcSwap::default(),
            platform,
            client: client(usize::MAX),
            unpooled_client: client(0),
            cursor_key: cursor::Key::derive(settings.fleet_key.expose().as_bytes()),
            stall: stall_options(settings.stall),
            urgency: urgency::Options::default(),
            work: TaskTracker::new(),
            stopping: watch::Sender::new(false),
            isolation: Arc::new(Semaphore::new(1)),
            prefill_ended: Notify::new(),
            ready: AtomicBool::new(false),
            metrics: recorder(),
            updater: Mutex::default(),
            link: Mutex::default(),
            rollouts: Mutex::default(),
            table_seen_ms: AtomicU64::new(0),
            peer_seen_ms: AtomicU64::new(0),
            alive_peers: AtomicUsize::new(0),
            stopped: watch::Sender::new(false),
            routing: Mutex::new(Routing::new(router)),
            baselines: Mutex::default(),
            suspects: Mutex::new(Tracker::new(winch_route::suspect::Options::default())),
            refused: Mutex::default(),
            suspects_read: watch::Sender::new(false),
            published_crashes: Mutex::default(),
            inflight: Mutex::default(),
            started_at: Instant::now(),
            settings,
        })
    }

    /// Monotonic time since the daemon started, plus one second.
    ///
    /// All decisions on requests, peers and grants use this clock. Times that have to agree with
    /// those of other daemons come from [`unix_now`].
    pub fn now(&self) -> Duration {
        // The router uses zero for "never" or "always", so no event may have that time.
        self.started_at.elapsed() + Duration::from_secs(1)
    }

    /// All metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.render()
    }

    /// Signals the supervisors to end the control tasks.
    pub fn stop(&self) {
        self.stopped.send_replace(true);
    }

    /// Waits for [`Self::stop`].
    pub async fn stopped(&self) {
        let _ = self.stopped.subscribe().wait_for(|stopped| *stopped).await;
    }

    /// Registers the actor that loads the configuration.
    pub fn set_updater(&self, updater: Address<Updater>) {
        *self.updater.lock().expect("no thread panics while it holds this lock") = Some(updater);
    }

    /// Publishes a committed change of the configuration to this daemon and its peers.
    pub fn publish_change(&self, change: &Change) {
        self.publish(facts::change(change));
    }

    /// Registers the actor that communicates with peers.
    pub fn set_link(&self, link: Address<Link>) {
        *self.link.lock().expect("no thread panics while it holds this lock") = Some(link);
    }

    /// The actor that communicates with peers; `None` before it has started.
    pub fn link(&self) -> Option<Address<Link>> {
        self.link.lock().expect("no thread panics while it holds this lock").clone()
    }

    fn updater(&self) -> Option<Address<Updater>> {
        self.updater.lock().expect("no thread panics while it holds this lock").clone()
    }

    /// Whether a graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Locks the routing state. The guard must not be held across an await.
    pub fn routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().expect("no thread panics while it holds this lock")
    }

    /// Locks the running answers. The guard must not be held across an await.
    pub fn inflight(&self) -> MutexGuard<'_, Inflight> {
        self.inflight.lock().expect("no thread panics while it holds this lock")
    }

    /// Usual prefill time and token gap of a version; the default before the first sample.
    pub fn baseline(&self, version: &str) -> Baseline {
        let baselines = self.baselines.lock().expect("no thread panics while it holds this lock");
        baselines.get(version).copied().unwrap_or_default()
    }

    /// Updates the baseline of a version.
    pub fn update_baseline(&self, version: &Name, update: impl FnOnce(&mut Baseline)) {
        let mut baselines =
            self.baselines.lock().expect("no thread panics while it holds this lock");
        update(baselines.entry(version.clone()).or_default());
    }

    /// Puts `set` in force unless its revision is older than or equal to the one in force.
    pub fn install(&self, set: winch_config::set::Set) {
        if set.revision() <= self.snapshot.load().revision() {
            return;
        }
        let snapshot = Arc::new(Snapshot::new(set));
        let mut routing = self.routing();
        // Checked again under the lock, which serialises installations, so that an older revision
        // cannot replace a newer one.
        if snapshot.revision() <= self.snapshot.load().revision() {
            return;
        }
        routing.router.pool.sync(snapshot.specs(), self.now());
        self.snapshot.store(snapshot.clone());
        drop(routing);
        self.rollouts().sync(snapshot.set.moves());
        counter::revision(snapshot.revision());
        emit!(Event::RevisionInForce, revision = snapshot.revision());
    }

    /// Records the end of a call on an upstream and starts queued calls in its place.
    pub fn finish(&self, key: Key, finish: winch_route::candidate::Finish) {
        let now = self.now();
        let mut routing = self.routing();
        let wakes = routing.router.finish(key, finish, now);
        routing.deliver(wakes);
    }

    /// Starts or expires queued calls; called periodically by the ticker task.
    pub fn tick(&self) {
        let now = self.now();
        let mut routing = self.routing();
        let wakes = routing.router.tick(now);
        routing.deliver(wakes);
    }

    /// Assigns the request with id `request` to a version of `model`; `None` if no route serves the
    /// model.
    pub fn assign(&self, model: &str, request: u64) -> Option<Assignment> {
        let snapshot = self.snapshot.load();
        let model = snapshot.model(model)?;
        let rollouts = self.rollouts();
        let routing = self.routing();
        let replicas = |version: &str| routing.router.pool.all(version).len();
        let (now, is_isolated) = (self.now(), self.is_isolated());
        Some(rollouts.assign(&model.route, &model.version, request, now, is_isolated, replicas))
    }

    /// Counts an attempt that failed on the replica `key` as evidence about its version.
    pub fn record_failure(&self, version: &Name, key: Key) {
        let name = self.routing().router.pool.get(key).map(|replica| replica.spec.name.clone());
        if let Some(name) = name {
            self.rollouts().record_failure(version, &name, self.now());
        }
    }

    /// Counts a successful attempt as evidence about its version.
    ///
    /// `first_token` is the time from submission to the first token, `gap` the mean time between
    /// tokens.
    pub fn record_success(&self, version: &Name, first_token: Duration, gap: Duration) {
        self.rollouts().record_success(version, first_token, gap);
    }

    /// Applies a fact on this daemon and sends it to peers.
    ///
    /// A fact that is published before the link has started is dropped.
    pub fn publish(&self, fact: Fact) {
        if let Some(link) = self.link() {
            self.work.spawn(async move { link.send(Publish(fact)).await });
        }
    }

    /// Passes a committed change to the configuration actor, which applies it if it is the next
    /// revision.
    pub fn apply_change(&self, message: ApplyChange) {
        if let Some(updater) = self.updater() {
            self.work.spawn(async move { updater.send(message).await });
        }
    }

    /// Asks the configuration actor to read the configuration from the table, or from peers if
    /// the table cannot be read.
    ///
    /// `revision` is one that a peer is known to have; 0 if none is known.
    pub fn poll_config(&self, revision: u64) {
        if let Some(updater) = self.updater() {
            self.work.spawn(async move { updater.send(Poll { known_revision: revision }).await });
        }
    }

    /// Locks the state of version moves. The guard must not be held across an await.
    pub fn rollouts(&self) -> MutexGuard<'_, Rollouts> {
        self.rollouts.lock().expect("no thread panics while it holds this lock")
    }

    /// Whether an upstream must get no new calls because it is leaving or not configured.
    pub fn is_leaving(&self, name: &str) -> bool {
        let routing = self.routing();
        let pool = &routing.router.pool;
        pool.find(name).is_none_or(|key| pool.is_leaving(key))
    }

    /// Records that the table responded now.
    pub fn record_table_contact(&self) {
        self.table_seen_ms.store(self.now().as_millis() as u64, Ordering::Relaxed);
    }

    /// Records that a message of a peer was received at `at`.
    pub fn record_peer_contact(&self, at: Duration) {
        self.peer_seen_ms.store(at.as_millis() as u64, Ordering::Relaxed);
    }

    /// Sets the number of peers that are alive or suspected.
    pub fn set_alive_peers(&self, alive: usize) {
        self.alive_peers.store(alive, Ordering::Relaxed);
    }

    /// Whether the daemon is cut off from the fleet.
    ///
    /// While any peer is alive or suspected, this is the case when no message of a peer was
    /// received for 4 s; otherwise, when the table has not responded for 12 s.
    pub fn is_isolated(&self) -> bool {
        const PEER_TIMEOUT_MS: u64 = 4_000;
        const TABLE_TIMEOUT_MS: u64 = 12_000;
        let now = self.now().as_millis() as u64;
        let since = |seen: &AtomicU64| now.saturating_sub(seen.load(Ordering::Relaxed));
        let has_peers = self.alive_peers.load(Ordering::Relaxed) > 0;
        let peers_lost = since(&self.peer_seen_ms) > PEER_TIMEOUT_MS;
        if has_peers { peers_lost } else { since(&self.table_seen_ms) > TABLE_TIMEOUT_MS }
    }

    /// Drops grants and move state machines after the process was paused, since leases that this
    /// daemon held may have expired and passed to others.
    ///
    /// Also forgets the last contacts, so that the daemon counts as isolated until it hears from a
    /// peer or, without peers, from the table, and requests a read of the configuration.
    pub fn recover_from_pause(&self, _now: Duration) {
        self.peer_seen_ms.store(0, Ordering::Relaxed);
        self.table_seen_ms.store(0, Ordering::Relaxed);
        self.rollouts().iter_mut().for_each(|rollout| {
            rollout.grant = None;
            rollout.machine = None;
        });
        self.poll_config(0);
    }

    /// Address of an upstream in the configuration in force; `None` if it is not listed.
    pub fn address(&self, key: Key) -> Option<std::net::SocketAddr> {
        let name = self.routing().router.pool.get(key)?.spec.name.clone();
        self.snapshot.load().set.upstream(&name).map(|upstream| upstream.address)
    }
}
