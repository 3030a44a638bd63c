//! What all parts of a daemon share.

pub mod routing;
mod setup;

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
    routing::{Routing, Running},
    setup::{client, recorder, stall_options},
};
use crate::{
    control::{
        config::{Keeper, Offer, Poll},
        facts,
        peers::{Link, Publish},
    },
    counter, emit,
    prelude::*,
    trial::{Plan, Trials},
    view::View,
};

/// State shared by the edge, the generations and the control side.
#[derive(Debug)]
pub struct Fleet {
    /// The daemon's settings.
    pub settings: Settings,
    /// Name and incarnation, for records that outlive the daemon.
    pub incarnation: Name,
    /// The configuration in force.
    pub view: ArcSwap<View>,
    /// Client of the platform.
    pub platform: Platform,
    /// HTTP client of upstreams, with kept connections.
    pub client: reqwest::Client,
    /// HTTP client for calls that must not be sent twice, without kept connections.
    pub once: reqwest::Client,
    /// Key of resume tickets.
    pub cursor_key: cursor::Key,
    /// Settings of stall detection.
    pub stall: stall::Options,
    /// Settings of urgency.
    pub urgency: urgency::Options,
    /// Tasks that serve requests; a planned stop waits for them.
    pub work: TaskTracker,
    /// True once a planned stop began.
    pub stopping: watch::Sender<bool>,
    /// Held by the one suspect that may run at a time.
    pub isolation: Arc<Semaphore>,
    /// Told when a paced resume ends its prefill.
    pub paced: Notify,
    /// True once the daemon may be sent requests.
    pub ready: AtomicBool,
    metrics: PrometheusHandle,
    keeper: Mutex<Option<Address<Keeper>>>,
    link: Mutex<Option<Address<Link>>>,
    trials: Mutex<Trials>,
    heard_table: AtomicU64,
    heard_peer: AtomicU64,
    peers: AtomicUsize,
    stopped: watch::Sender<bool>,
    routing: Mutex<Routing>,
    norms: Mutex<HashMap<Name, Baseline>>,
    board: Mutex<Tracker>,
    last_deaths: Mutex<VecDeque<Crash>>,
    running: Mutex<Running>,
    origin: Instant,
}

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

impl Fleet {
    /// State of a daemon that has just started.
    ///
    /// # Panics
    /// If the HTTP library cannot be set up, which needs no outside resource.
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
            view: ArcSwap::default(),
            platform,
            client: client(usize::MAX),
            once: client(0),
            cursor_key: cursor::Key::derive(settings.fleet_key.expose().as_bytes()),
            stall: stall_options(settings.stall),
            urgency: urgency::Options::default(),
            work: TaskTracker::new(),
            stopping: watch::Sender::new(false),
            isolation: Arc::new(Semaphore::new(1)),
            paced: Notify::new(),
            ready: AtomicBool::new(false),
            metrics: recorder(),
            keeper: Mutex::default(),
            link: Mutex::default(),
            trials: Mutex::default(),
            heard_table: AtomicU64::new(0),
            heard_peer: AtomicU64::new(0),
            peers: AtomicUsize::new(0),
            stopped: watch::Sender::new(false),
            routing: Mutex::new(Routing::new(router)),
            norms: Mutex::default(),
            board: Mutex::new(Tracker::new(winch_route::suspect::Options::default())),
            last_deaths: Mutex::default(),
            running: Mutex::default(),
            origin: Instant::now(),
            settings,
        })
    }

    /// Time since the daemon started; the clock of all decisions.
    pub fn now(&self) -> Duration {
        // Zero stands for "always" in the router, so the clock starts at one second.
        self.origin.elapsed() + Duration::from_secs(1)
    }

    /// The counters in Prometheus' text form.
    pub fn metrics(&self) -> String {
        self.metrics.render()
    }

    /// Tells the control tasks to end.
    pub fn stop(&self) {
        self.stopped.send_replace(true);
    }

    /// Waits until the control tasks should end.
    pub async fn stopped(&self) {
        let _ = self.stopped.subscribe().wait_for(|stopped| *stopped).await;
    }

    /// Registers the actor that keeps the configuration.
    pub fn set_keeper(&self, keeper: Address<Keeper>) {
        *self.keeper.lock().expect("no holder of this lock panics") = Some(keeper);
    }

    /// Tells peers of a committed change.
    pub fn spread_change(&self, change: &Change) {
        self.publish(facts::change(change));
    }

    /// Registers the actor that talks to peers.
    pub fn set_link(&self, link: Address<Link>) {
        *self.link.lock().expect("no holder of this lock panics") = Some(link);
    }

    /// The actor that talks to peers, once it runs.
    pub fn link(&self) -> Option<Address<Link>> {
        self.link.lock().expect("no holder of this lock panics").clone()
    }

    fn keeper(&self) -> Option<Address<Keeper>> {
        self.keeper.lock().expect("no holder of this lock panics").clone()
    }

    /// Whether a planned stop began.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// The routing state. Never held across an await.
    pub fn routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().expect("no holder of this lock panics")
    }

    /// The board of suspects. Never held across an await.
    pub fn board(&self) -> MutexGuard<'_, Tracker> {
        self.board.lock().expect("no holder of this lock panics")
    }

    /// Answers by replica. Never held across an await.
    pub fn running(&self) -> MutexGuard<'_, Running> {
        self.running.lock().expect("no holder of this lock panics")
    }

    /// What is normal for a version.
    pub fn norm(&self, version: &str) -> Baseline {
        let norms = self.norms.lock().expect("no holder of this lock panics");
        norms.get(version).copied().unwrap_or_default()
    }

    /// Updates what is normal for a version.
    pub fn observe(&self, version: &Name, update: impl FnOnce(&mut Baseline)) {
        let mut norms = self.norms.lock().expect("no holder of this lock panics");
        update(norms.entry(version.clone()).or_default());
    }

    /// Puts a newer revision in force; an older one changes nothing.
    pub fn install(&self, set: winch_config::set::Set) {
        if set.revision() <= self.view.load().revision() {
            return;
        }
        let view = Arc::new(View::new(set));
        let mut routing = self.routing();
        // The lock orders installations, so an older revision cannot overtake.
        if view.revision() <= self.view.load().revision() {
            return;
        }
        routing.router.pool.sync(view.specs(), self.now());
        self.view.store(view.clone());
        drop(routing);
        self.trials().sync(view.set.moves());
        counter::revision(view.revision());
        emit!(Event::RevisionInForce, revision = view.revision());
    }

    /// Counts the end of a call on an upstream and starts those that waited for it.
    pub fn finish(&self, key: Key, finish: winch_route::candidate::Finish) {
        let now = self.now();
        let mut routing = self.routing();
        let wakes = routing.router.finish(key, finish, now);
        routing.carry_out(wakes);
    }

    /// Starts or expires waiting calls as time passes.
    pub fn tick(&self) {
        let now = self.now();
        let mut routing = self.routing();
        let wakes = routing.router.tick(now);
        routing.carry_out(wakes);
    }

    /// Where a new request for `model` goes.
    pub fn plan(&self, model: &str, request: u64) -> Option<Plan> {
        let view = self.view.load();
        let model = view.model(model)?;
        let trials = self.trials();
        let routing = self.routing();
        let replicas = |version: &str| routing.router.pool.all(version).len();
        let (now, isolated) = (self.now(), self.is_isolated());
        Some(trials.plan(&model.route, &model.version, request, now, isolated, replicas))
    }

    /// Counts an attempt that failed, as evidence about its version.
    pub fn failed(&self, version: &Name, key: Key) {
        let name = self.routing().router.pool.get(key).map(|replica| replica.spec.name.clone());
        if let Some(name) = name {
            self.trials().failed(version, &name, self.now());
        }
    }

    /// Counts an attempt that went well, as evidence about its version.
    pub fn good(&self, version: &Name, first_token: Duration, gap: Duration) {
        self.trials().good(version, first_token, gap);
    }

    /// Tells peers of a strike found here; true if it is the first of its death here.
    pub fn publish_strike(&self, fingerprint: Fingerprint, death: Crash) -> bool {
        self.publish(facts::strike(fingerprint, death));
        let mut last = self.last_deaths.lock().expect("no holder of this lock panics");
        let new = !last.contains(&death);
        if new {
            const REMEMBERED: usize = 256;
            last.push_back(death);
            if last.len() > REMEMBERED {
                last.pop_front();
            }
        }
        new
    }

    /// Makes a fact known here and to the fleet.
    pub fn publish(&self, fact: Fact) {
        if let Some(link) = self.link() {
            self.work.spawn(async move { link.send(Publish(fact)).await });
        }
    }

    /// Hands a change told by a peer to the keeper of the configuration.
    pub fn offer(&self, offer: Offer) {
        if let Some(keeper) = self.keeper() {
            self.work.spawn(async move { keeper.send(offer).await });
        }
    }

    /// Asks the keeper of the configuration to look at the table, and at peers that hold
    /// revision `told` if the table gives no answer.
    pub fn poll_config(&self, told: u64) {
        if let Some(keeper) = self.keeper() {
            self.work.spawn(async move { keeper.send(Poll { told }).await });
        }
    }

    /// The moves as this daemon sees them. Never held across an await.
    pub fn trials(&self) -> MutexGuard<'_, Trials> {
        self.trials.lock().expect("no holder of this lock panics")
    }

    /// Whether an upstream gets no new work from this daemon.
    pub fn is_leaving(&self, name: &str) -> bool {
        let routing = self.routing();
        let pool = &routing.router.pool;
        pool.find(name).is_none_or(|key| pool.is_leaving(key))
    }

    /// Notes that the table answered.
    pub fn heard_table(&self) {
        self.heard_table.store(self.now().as_millis() as u64, Ordering::Relaxed);
    }

    /// Notes that a peer was heard at `at`.
    pub fn heard_peer(&self, at: Duration) {
        self.heard_peer.store(at.as_millis() as u64, Ordering::Relaxed);
    }

    /// Notes how many peers are alive.
    pub fn set_peers(&self, alive: usize) {
        self.peers.store(alive, Ordering::Relaxed);
    }

    /// Whether neither peers nor the table were heard lately.
    ///
    /// A daemon without peers that are alive relies on the table alone.
    pub fn is_isolated(&self) -> bool {
        const PEER_SILENCE: u64 = 4_000;
        const TABLE_SILENCE: u64 = 12_000;
        let now = self.now().as_millis() as u64;
        let since = |heard: &AtomicU64| now.saturating_sub(heard.load(Ordering::Relaxed));
        let peers = self.peers.load(Ordering::Relaxed) > 0;
        let peer_silent = since(&self.heard_peer) > PEER_SILENCE;
        if peers { peer_silent } else { since(&self.heard_table) > TABLE_SILENCE }
    }

    /// Notes that the process was paused and has woken: what it held may have passed to others.
    pub fn woke(&self, _now: Duration) {
        self.heard_peer.store(0, Ordering::Relaxed);
        self.heard_table.store(0, Ordering::Relaxed);
        self.trials().iter_mut().for_each(|trial| {
            trial.grant = None;
            trial.machine = None;
        });
        self.poll_config(0);
    }

    /// Address of an upstream in the configuration in force.
    pub fn address(&self, key: Key) -> Option<std::net::SocketAddr> {
        let name = self.routing().router.pool.get(key)?.spec.name.clone();
        self.view.load().set.upstream(&name).map(|upstream| upstream.address)
    }
}
