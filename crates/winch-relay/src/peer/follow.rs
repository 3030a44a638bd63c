//! Follows another daemon and applies its updates.

use std::{convert::Infallible, io, net::SocketAddr};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use snafu::{OptionExt, Snafu, ensure};
use tokio::time::{MissedTickBehavior, interval, sleep_until};
use winch_roster::{frame, source::End};

use super::{
    FramedStream, SEED_TIMEOUT, connect, interest,
    message::{Report, Request, Update},
    receive, report_known, send,
    speeds::encode_samples,
};
use crate::{
    edition::Edition,
    moves::history::History,
    node::{Node, Reading},
    prelude::*,
    running_time::{Budget, timeout},
    speed::Told,
    store::{Listing, Read, Store},
    watch::Topic,
};

/// Timeout for connecting to a seed that is to be followed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval of a follower's reports while it has something to report.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Why a seed is no longer followed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The seed has not read the store yet.
    #[snafu(display("the seed has made no read of the store yet"))]
    Starting,
    /// The state of the seed is older than allowed.
    #[snafu(display("the state of the seed is stale"))]
    Stale,
    /// The seed's list of replicas is older than that of this daemon.
    #[snafu(display("the list of the seed is older than the known one"))]
    Older,
    /// The seed follows another daemon, and this one follows only those that read.
    #[snafu(display("the seed does not read the store itself"))]
    Indirect,
    /// The seed is of an earlier release and does not send its whole list.
    #[snafu(display("the seed no longer keeps all changes since the list of replicas was read"))]
    Behind,
    /// The list in an update cannot be decoded.
    #[snafu(display("{source}"), context(false))]
    Unreadable {
        /// The numbered fault.
        source: frame::Error,
    },
    /// The connection broke, or no update arrived in time.
    #[snafu(display("{source}"), context(false))]
    Disconnected {
        /// The system's error.
        source: io::Error,
    },
}

impl Error {
    /// What the error means for the choice of the next seed.
    pub fn end(&self) -> End {
        match self {
            Self::Starting => End::Starting,
            Self::Stale | Self::Older | Self::Indirect => End::Stale,
            Self::Behind | Self::Unreadable { .. } | Self::Disconnected { .. } => End::Unreachable,
        }
    }
}

/// What a seed must fulfil to be followed.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Age above which its state is stale.
    pub max_age: Duration,
    /// Until when a stale state is accepted; `None` if it is not.
    pub stale_until: Option<Instant>,
    /// Whether this daemon serves others. It then needs the whole list from a daemon that reads
    /// the store.
    pub serves: bool,
    /// Longest time until it has sent a state that is acceptable.
    pub open_time: Duration,
}

impl Limits {
    /// Checks the age of an update and returns it.
    fn check(&self, update: &Update) -> Result<Duration, Error> {
        let age = update.age_ms.map(Duration::from_millis).context(StartingSnafu)?;
        let accepts_stale = self.stale_until.is_some_and(|until| Instant::now() < until);
        ensure!(age <= self.max_age || accepts_stale, StaleSnafu);
        ensure!(update.reads_store || !self.serves, IndirectSnafu);
        ensure!(!update.behind, BehindSnafu);
        Ok(age)
    }
}

/// A connection to a seed that has sent an acceptable state.
#[derive(Debug)]
pub struct Subscription {
    seed: SocketAddr,
    limits: Limits,
    framed: FramedStream,
    /// Updates that were received and not applied yet.
    pending: Vec<Update>,
    received_at: Instant,
    /// When the store confirmed the state of the last update.
    confirmed_at: Instant,
}

impl Subscription {
    /// Connects to a seed and waits until it has sent a state that is at least as new as
    /// that of this daemon. Nothing is applied yet.
    ///
    /// # Errors
    /// Why the seed cannot be followed.
    pub async fn open<P: Protocol>(
        node: &Node<P>,
        seed: SocketAddr,
        limits: Limits,
    ) -> Result<Self, Error> {
        let (known, resume) = {
            let roster = node.roster();
            (roster.position(), roster.resume_position())
        };
        let request = Request {
            follow: true,
            list_version: resume.map_or(0, |position| position.version),
            interest: Some((&interest(node, limits.serves)).into()),
            address: node.settings.peers.to_string(),
            ..Request::default()
        };
        let connect_time = CONNECT_TIMEOUT.min(limits.open_time);
        let connected = timeout(connect_time, connect(seed, request)).await;
        let mut framed = connected.map_err(io::Error::from)??;
        let mut budget = Budget::new(limits.open_time);
        let mut pending: Vec<Update> = Vec::new();
        loop {
            let received = receive::<Update>(&mut framed, &mut budget).await;
            let update = match received {
                Err(_) if !pending.is_empty() => return OlderSnafu.fail(),
                received => received?,
            };
            let (received_at, position) = (Instant::now(), update.list_position(known.era));
            let age = limits.check(&update)?;
            pending.push(update);
            if position >= known {
                let confirmed_at = received_at.checked_sub(age).unwrap_or(received_at);
                return Ok(Self { seed, limits, framed, pending, received_at, confirmed_at });
            }
        }
    }

    /// Address of the seed.
    pub fn seed(&self) -> SocketAddr {
        self.seed
    }

    /// When the last state of the seed is no longer acceptable.
    fn stale_at(&self) -> Instant {
        let stale_at = self.confirmed_at + self.limits.max_age;
        self.limits.stale_until.map_or(stale_at, |until| stale_at.max(until))
    }

    /// Running time of this process until then.
    fn fresh_time(&self) -> Budget {
        Budget::new(self.stale_at().saturating_duration_since(Instant::now()))
    }

    /// Applies the updates of the seed for as long as its state is acceptable, and ends as soon as the
    /// last one is not, whether the seed is silent or tells so.
    ///
    /// Configurations that are too large for an update are read from `store`, or requested from
    /// the seed if that fails.
    ///
    /// # Errors
    /// Why the seed is no longer followed.
    pub async fn run<P: Protocol, S: Store>(
        mut self,
        node: &Arc<Node<P>>,
        store: &mut S,
    ) -> Result<Infallible, Error> {
        let version = self.pending.last().map_or(0, |update| update.config_version);
        emit!(Event::SeedFollowed, seed = self.seed, version = version);
        report_known(node, self.seed).await?;
        // A daemon of an earlier release tells no speeds.
        if let Some(first) = self.pending.first_mut() {
            first.speeds.get_or_insert_with(|| Told::nothing_known().into());
        }
        let pending = std::mem::take(&mut self.pending);
        self.apply(node, store, pending).await?;
        let mut report_ticks = interval(REPORT_INTERVAL);
        report_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut budget, mut fresh) = (Budget::new(SEED_TIMEOUT), self.fresh_time());
        loop {
            let stale_at = self.stale_at();
            let update = tokio::select! {
                update = receive::<Update>(&mut self.framed, &mut budget) => update?,
                _ = report_ticks.tick() => {
                    let report = build_report(node);
                    let has_news = !report.samples.is_empty()
                        || report.speeds.is_some()
                        || !report.drains.is_empty();
                    if has_news || self.limits.serves || node.rollouts().any_open() {
                        let sent = send(&mut self.framed, report);
                        timeout(SEED_TIMEOUT, sent).await.map_err(io::Error::from)??;
                    }
                    continue;
                }
                () = sleep_until(stale_at), if self.limits.serves => return StaleSnafu.fail(),
                // What has arrived during a pause of this process is yet to be read.
                () = fresh.used_up(), if !self.limits.serves => return StaleSnafu.fail(),
            };
            self.received_at = Instant::now();
            budget = Budget::new(SEED_TIMEOUT);
            let age = self.limits.check(&update)?;
            self.confirmed_at = self.received_at.checked_sub(age).unwrap_or(self.received_at);
            fresh = self.fresh_time();
            self.apply(node, store, vec![update]).await?;
        }
    }

    /// Applies updates, of which only the last one need be as new as this daemon's state: a replica
    /// that an earlier one lists may have left since.
    async fn apply<P: Protocol, S: Store>(
        &self,
        node: &Arc<Node<P>>,
        store: &mut S,
        mut updates: Vec<Update>,
    ) -> Result<(), Error> {
        let era = node.roster().position().era;
        let mut state: Option<(Listing, bool)> = None;
        for update in &mut updates {
            let (listing, is_whole) = update.take_listing(era)?;
            let earlier = state.take().map(|(earlier, _)| earlier);
            let listing = earlier.unwrap_or_default().followed_by(listing);
            state = Some((listing, is_whole));
        }
        let steady = updates.last().and_then(|update| update.steady_ms);
        if let Some((listing, is_whole)) = state {
            self.apply_listing(node, listing, is_whole, steady.map(Duration::from_millis));
        }
        for update in updates {
            self.apply_rest(node, store, update).await?;
        }
        node.confirm(Topic::Config, Some(self.confirmed_at));
        Ok(())
    }

    /// Applies the list of replicas, which the seed has known for `steady` without a gap.
    fn apply_listing<P: Protocol>(
        &self,
        node: &Node<P>,
        listing: Listing,
        is_whole: bool,
        steady: Option<Duration>,
    ) {
        if self.confirmed_at + self.limits.max_age >= self.received_at {
            let steady_since = steady.and_then(|steady| self.received_at.checked_sub(steady));
            node.mark_store_reachable(Reading { read_at: self.confirmed_at, steady_since });
        }
        node.apply_listing(listing, is_whole);
        node.confirm(Topic::Replicas, Some(self.confirmed_at));
    }

    /// Applies everything but the list of replicas.
    async fn apply_rest<P: Protocol, S: Store>(
        &self,
        node: &Arc<Node<P>>,
        store: &mut S,
        mut update: Update,
    ) -> Result<(), Error> {
        let services = std::mem::take(&mut update.services).into_iter();
        let sizes = services.map(|size| (size.service.into(), size.replicas));
        node.fleet().apply(update.daemons, sizes);
        if let Some(relays) = update.relays.take() {
            node.fleet().set_relays(relays.decode());
        }
        // What is not an address names no reader.
        let readers = update.readers.iter().filter_map(|reader| reader.parse().ok()).collect();
        node.fleet().set_readers(readers);
        update.take_notices().apply(node);
        if update.strikes_synced.unwrap_or(true) && !node.strikes().is_synced() {
            node.strikes().mark_synced();
            node.announce_strike();
        }
        for mut moving in std::mem::take(&mut update.moving) {
            let history = moving.history.take().map(History::from);
            let progress = moving.decode_at(self.received_at);
            let (service, revision) = (progress.spec.service.clone(), progress.spec.revision);
            node.apply_progress(progress);
            if let Some(history) = history {
                node.apply_history(&service, revision, &history);
            }
        }
        if let Some(speeds) = update.speeds.take() {
            node.speeds().apply(&speeds.into());
            node.update_speeds();
        }
        let edition = update.edition();
        install_config(node, std::mem::take(&mut update.config), edition.era);
        if node.edition().is_replaced_by(&edition) {
            // The store may be reachable for the seed although not for this daemon.
            if let Ok(Read { found, .. }) = store.config().await {
                install_config(node, found.document.unwrap_or_default(), found.position.era);
            }
        }
        if node.edition().is_replaced_by(&edition) {
            let fetched = fetch(node, self.seed).await?;
            install_config(node, fetched.config, fetched.config_era);
        }
        Ok(())
    }
}

fn build_report<P: Protocol>(node: &Node<P>) -> Report {
    let evidence = node.rollouts().evidence(Instant::now());
    let daemons = node.daemons();
    let drains = node.catalog().unlisted_drains().map(Into::into).collect();
    let mut speeds = node.speeds();
    Report {
        daemon: node.settings.name.to_string(),
        counted: evidence.into_iter().map(Into::into).collect(),
        followers: node.fleet().followers(),
        samples: encode_samples(&speeds.take_samples(daemons, node.uptime())),
        speeds: speeds.take_unknown_to_source().map(Into::into),
        drains,
    }
}

/// Installs a configuration that was read from the store in `era`; see [`Node::install_config()`].
fn install_config<P: Protocol>(node: &Node<P>, document: Bytes, era: u64) {
    if document.is_empty() {
        return;
    }
    match node.protocol.decode_config(&document) {
        Ok(config) => {
            let edition = Edition::new(config.version, era, &document);
            node.install_config(config, document, edition);
        }
        Err(fault) => emit!(Event::ConfigUnreadable, fault = fault, version = "from a peer"),
    }
}

/// Requests the state of all seeds, without following them, and applies it.
///
/// Of several configurations the newest one stays in force. A list of replicas is applied
/// only while no replica is known, and as changes at version zero, so that the first read
/// of the store replaces it.
pub async fn fetch_from_seeds<P: Protocol>(node: &Node<P>) {
    let tuning = node.tuning();
    let seeds = tuning.seeds.iter().filter(|seed| **seed != node.settings.peers);
    let mut fetches: FuturesUnordered<_> = seeds.map(|seed| fetch(node, *seed)).collect();
    while let Some(fetched) = fetches.next().await {
        // Other seeds may answer.
        let Ok(mut update) = fetched else { continue };
        install_config(node, std::mem::take(&mut update.config), update.config_era);
        let changes = match update.take_listing(0) {
            Ok((listing, _)) => listing.changes,
            Err(fault) => {
                emit!(Event::SeedLost, seed = "while requesting its state", reason = fault);
                continue;
            }
        };
        let (version, replicas) = (update.config_version, changes.len());
        emit!(Event::PeerSynced, version = version, replicas = replicas);
        if node.catalog().is_empty() {
            let listing = Listing { changes, ..Listing::default() };
            node.apply_listing(listing, false);
        }
    }
}

/// Requests the state of one seed.
async fn fetch<P: Protocol>(node: &Node<P>, seed: SocketAddr) -> io::Result<Update> {
    let serves = node.tuning().seeds.contains(&node.settings.peers);
    let interest = Some((&interest(node, serves)).into());
    let request = Request { interest, ..Request::default() };
    receive(&mut connect(seed, request).await?, &mut Budget::new(SEED_TIMEOUT)).await
}
