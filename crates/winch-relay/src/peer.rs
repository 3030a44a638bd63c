//! Distributes the store's state between daemons.
//!
//! Most daemons follow a seed, which reads the store for them, so that the number of
//! calls to the store does not grow with the fleet. A daemon that cannot read the store
//! and is not initialized yet requests the state of the seeds without following them. On a
//! connection, a request is answered by one or more updates, each message in a
//! length-delimited frame; a request that carries strikes gets no update. While a service is
//! being moved, a follower also sends reports with its counts.
//!
//! A seed forwards what it has read from the store; daemons do not run a consensus
//! protocol.

mod message;

use std::{convert::Infallible, io, net::SocketAddr};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt, stream::FuturesUnordered};
use prost::Message;
use snafu::{OptionExt, Snafu, ensure};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{MissedTickBehavior, interval, sleep, sleep_until, timeout, timeout_at},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use self::message::{CrashStrike, ListedReplica, MoveProgress, Report, Request, Update};
use crate::{
    catalog::Transition, node::Node, prelude::*, store::Change, strikes::Strike, watch::Topic,
};

/// Timeout for connecting to a peer, and for receiving the request of a peer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for connecting to a seed that is to be followed.
const FOLLOW_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest frame, in bytes.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Largest number of connections that are served at once; further ones are closed.
const MAX_CONNECTIONS: usize = 512;

/// Interval of updates while nothing changes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time without an update after which a seed is no longer followed. Also the timeout for
/// sending an update to a follower or a report to a seed, and for receiving the state of a seed
/// that is not followed.
const SEED_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval of a follower's reports while a service is being moved.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of an update after a change, so that it also carries the changes that follow.
const COALESCE_DELAY: Duration = Duration::from_millis(150);
/// Largest configuration in an update to followers, in bytes. They read a larger one from
/// the store, which has more bandwidth.
const MAX_PUSHED_CONFIG_BYTES: usize = 16 * 1024;

/// Largest number of replicas in a complete list in an update to followers. They read a
/// larger list from the store.
const MAX_PUSHED_REPLICAS: usize = 400;

/// Why a seed is no longer followed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The seed no longer keeps all changes since the follower's list was read, and its
    /// complete list is too large for an update.
    #[snafu(display("the seed no longer keeps all changes since the list of replicas was read"))]
    Behind,
    /// The state of the seed is older than allowed.
    #[snafu(display("the state of the seed is stale"))]
    Stale,
    /// The connection broke, or no update arrived in time.
    #[snafu(display("{source}"), context(false))]
    Disconnected {
        /// The system's error.
        source: io::Error,
    },
}

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

fn frame_stream(stream: TcpStream) -> FramedStream {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// What was already sent on a connection.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    /// Version of the configuration in force at the last update.
    config_version: u64,
    /// Version of the store up to which the peer had the list when it connected.
    list_version: u64,
    /// Sequence number of the last change of the list that was sent; `None` before the first
    /// update.
    change: Option<u64>,
    /// Number of strikes that were sent or skipped.
    strikes: usize,
}

impl Sent {
    /// Builds the next update: the changes since the last one, with a configuration of at
    /// most `max_config_bytes` and a complete list of at most `max_replicas`.
    fn next_update<P: Protocol>(
        &mut self,
        node: &Node<P>,
        max_config_bytes: usize,
        max_replicas: usize,
    ) -> Update {
        let mut update = Update { age_ms: node.state_age_ms(), ..Update::default() };
        if let Some(published) = node.published() {
            update.config_version = published.config.version;
            if published.config.version > self.config_version
                && published.document.len() <= max_config_bytes
            {
                update.config = published.document;
            }
            self.config_version = update.config_version;
        }
        self.add_listing(node, max_replicas, &mut update);
        let now = Instant::now();
        let rollouts = node.rollouts();
        let (strikes, count) = node.strikes().after(self.strikes);
        update.strikes = strikes.into_iter().map(Into::into).collect();
        self.strikes = count;
        update.moving =
            rollouts.iter().map(|r| MoveProgress::encode_at(r.progress(), now)).collect();
        update
    }

    /// Adds the changes of the list to an update, or the complete list if the changes are no
    /// longer kept. If the complete list has more than `max_replicas` replicas, the peer is
    /// asked to read it.
    fn add_listing<P: Protocol>(
        &mut self,
        node: &Node<P>,
        max_replicas: usize,
        update: &mut Update,
    ) {
        let changelog = node.changelog();
        update.list_version = changelog.version();
        let last_sent = self.change.replace(changelog.number());
        let changes = match last_sent {
            Some(number) => changelog.since_number(number),
            None => changelog.since_version(self.list_version),
        };
        if let Some(changes) = changes {
            for (id, transition) in changes {
                match transition {
                    Transition::Removed(_) => update.removed.push(id.to_string()),
                    _ => update.replicas.push(ListedReplica::from(&**transition.replica())),
                }
            }
        } else if node.catalog().len() > max_replicas {
            update.behind = true;
        } else {
            update.whole = true;
            update.replicas =
                node.catalog().replicas().map(|r| ListedReplica::from(&**r)).collect();
        }
    }
}

/// Accepts connections of other daemons and serves them, for as long as the daemon runs.
pub async fn serve<P: Protocol>(node: Arc<Node<P>>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        if connections.len() >= MAX_CONNECTIONS {
            continue;
        }
        let node = node.clone();
        connections.spawn(async move {
            // An error only means that the peer has disconnected or sent an invalid frame.
            let _ = serve_connection(&node, stream).await;
        });
    }
}

async fn serve_connection<P: Protocol>(node: &Node<P>, stream: TcpStream) -> io::Result<()> {
    let mut framed = frame_stream(stream);
    let received = timeout(REQUEST_TIMEOUT, framed.next()).await?.transpose()?;
    let Some(request) = received else { return Ok(()) };
    let request = Request::decode(request).map_err(io::Error::other)?;
    if !request.strikes.is_empty() {
        apply_strikes(node, request.strikes);
        return Ok(());
    }
    let mut sent = Sent { list_version: request.list_version, ..Sent::default() };
    if !request.follow {
        return send(&mut framed, sent.next_update(node, usize::MAX, usize::MAX)).await;
    }
    let mut changes = node.subscribe();
    loop {
        let update = sent.next_update(node, MAX_PUSHED_CONFIG_BYTES, MAX_PUSHED_REPLICAS);
        timeout(SEED_TIMEOUT, send(&mut framed, update)).await??;
        let heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
        loop {
            tokio::select! {
                // Cannot fail: the node owns the sender.
                _ = changes.changed() => {
                    sleep(COALESCE_DELAY).await;
                    break;
                }
                () = sleep_until(heartbeat) => break,
                frame = framed.next() => {
                    let Some(frame) = frame.transpose()? else { return Ok(()) };
                    let report = Report::decode(frame).map_err(io::Error::other)?;
                    apply_report(node, report);
                }
            }
        }
    }
}

fn apply_strikes<P: Protocol>(node: &Node<P>, strikes: Vec<CrashStrike>) {
    let now = Instant::now();
    for strike in strikes {
        node.strikes().apply(strike.into(), now);
    }
    node.announce_strike();
}

/// Reports a strike to all seeds, which forward it to their followers.
///
/// The report is not repeated for an unreachable seed, which then lacks this strike.
pub async fn report_strike<P: Protocol>(node: &Node<P>, strike: Strike) {
    let tuning = node.tuning();
    let seeds = tuning.seeds.iter().filter(|seed| **seed != node.settings.peers);
    let request = Request { strikes: vec![strike.into()], ..Request::default() };
    let reports = seeds.map(|seed| connect(*seed, request.clone()));
    for reported in futures_util::future::join_all(reports).await {
        if let Err(error) = reported {
            emit!(Event::SeedLost, seed = "while reporting a strike", reason = error);
        }
    }
}

fn apply_report<P: Protocol>(node: &Node<P>, report: Report) {
    let (name, now) = (Name::from(report.daemon), Instant::now());
    let mut rollouts = node.rollouts();
    for counted in report.counted {
        rollouts.apply_report(&name, counted.into(), now);
    }
}

fn build_report<P: Protocol>(node: &Node<P>) -> Report {
    let evidence = node.rollouts().evidence(Instant::now());
    Report {
        daemon: node.settings.name.to_string(),
        counted: evidence.into_iter().map(Into::into).collect(),
    }
}

async fn send(framed: &mut FramedStream, message: impl Message) -> io::Result<()> {
    framed.send(Bytes::from(message.encode_to_vec())).await
}

async fn receive(framed: &mut FramedStream, deadline: Instant) -> io::Result<Update> {
    let frame = timeout_at(deadline, framed.next()).await?.transpose()?;
    let frame = frame.ok_or(io::ErrorKind::UnexpectedEof)?;
    Update::decode(frame).map_err(io::Error::other)
}

/// Connects to a peer and sends `request`.
async fn connect(address: SocketAddr, request: Request) -> io::Result<FramedStream> {
    let stream = timeout(REQUEST_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let mut framed = frame_stream(stream);
    framed.send(Bytes::from(request.encode_to_vec())).await?;
    Ok(framed)
}

/// Requests the state of all seeds, without following them, and applies it.
///
/// Of several configurations the newest one stays in force. A list of replicas is applied
/// only while no replica is known, and as changes at version zero, so that the first read
/// of the store replaces it.
pub async fn fetch_from_seeds<P: Protocol>(node: &Node<P>) {
    let tuning = node.tuning();
    let seeds = tuning.seeds.iter().filter(|seed| **seed != node.settings.peers);
    let mut fetches: FuturesUnordered<_> = seeds.map(|seed| fetch(*seed)).collect();
    while let Some(fetched) = fetches.next().await {
        // Other seeds may answer.
        let Ok(update) = fetched else { continue };
        let (version, replicas) = (update.config_version, update.replicas.len());
        emit!(Event::PeerSynced, version = version, replicas = replicas);
        install_config(node, update.config);
        if node.catalog().is_empty() {
            node.apply_listing(
                update.replicas.into_iter().map(ListedReplica::into_change).collect(),
                0,
                false,
            );
        }
    }
}

/// Requests the state of one seed.
async fn fetch(seed: SocketAddr) -> io::Result<Update> {
    let request = Request::default();
    receive(&mut connect(seed, request).await?, Instant::now() + SEED_TIMEOUT).await
}

fn install_config<P: Protocol>(node: &Node<P>, document: Bytes) {
    if document.is_empty() {
        return;
    }
    match node.protocol.decode_config(&document) {
        Ok(config) => drop(node.install_config(config, document)),
        Err(fault) => emit!(Event::ConfigUnreadable, fault = fault, version = "from a peer"),
    }
}

/// Applies the complete state of a seed, for a daemon whose own reads of the store fail.
///
/// # Errors
/// The system's error if the seed cannot be reached or does not answer in time, or why its
/// answer cannot be decoded.
pub async fn fetch_all<P: Protocol>(node: &Node<P>, seed: SocketAddr) -> io::Result<()> {
    let update = fetch(seed).await?;
    install_config(node, update.config);
    let listed = update.replicas.into_iter().map(ListedReplica::into_change);
    node.apply_listing(listed.collect(), update.list_version, true);
    Ok(())
}

/// Follows a seed and applies its updates, for as long as its state is fresh; until
/// `stale_until` a stale state is accepted too.
///
/// Configurations that are too large for an update are read from `store`, or requested from
/// the seed if that fails.
///
/// # Errors
/// Why the seed is no longer followed; after [`Error::Behind`] the complete list has to
/// be read.
pub async fn follow<P: Protocol, S: Store>(
    node: &Node<P>,
    seed: SocketAddr,
    stale_until: Option<Instant>,
    store: &mut S,
) -> Result<Infallible, Error> {
    let list_version = node.changelog().version();
    let connected = connect(seed, Request { follow: true, list_version, strikes: Vec::new() });
    let mut framed =
        timeout(FOLLOW_CONNECT_TIMEOUT, connected).await.map_err(io::Error::from)??;
    let (mut is_first, mut received_at) = (true, Instant::now());
    let mut report_ticks = interval(REPORT_INTERVAL);
    report_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let update = tokio::select! {
            update = receive(&mut framed, received_at + SEED_TIMEOUT) => update?,
            _ = report_ticks.tick() => {
                if node.rollouts().any_open() {
                    let sent = timeout(SEED_TIMEOUT, send(&mut framed, build_report(node))).await;
                    sent.map_err(io::Error::from)??;
                }
                continue;
            }
        };
        received_at = Instant::now();
        let age = update.age_ms.map(Duration::from_millis);
        let age = age.context(StaleSnafu)?;
        let is_fresh = age <= node.tuning().max_age;
        ensure!(is_fresh || stale_until.is_some_and(|until| Instant::now() < until), StaleSnafu);
        ensure!(!update.behind, BehindSnafu);
        if is_first {
            emit!(Event::SeedFollowed, seed = seed, version = update.config_version);
        }
        for topic in Topic::ALL {
            node.confirm(topic, Instant::now().checked_sub(age));
        }
        if !update.strikes.is_empty() {
            apply_strikes(node, update.strikes);
        }
        for moving in update.moving {
            node.apply_progress(moving.decode_at(received_at));
        }
        install_config(node, update.config);
        let installed_version = node.published().map_or(0, |published| published.config.version);
        if installed_version < update.config_version {
            let document = match store.config().await {
                Ok(read) => read.document.unwrap_or_default(),
                // The store may be reachable for the seed although not for this daemon.
                Err(_) => fetch(seed).await?.config,
            };
            install_config(node, document);
        }
        let listed = update.replicas.into_iter().map(ListedReplica::into_change);
        let removed = update.removed.into_iter().map(|id| Change::Removed(id.into()));
        if is_fresh {
            node.catalog().mark_store_reachable(Instant::now());
        }
        node.apply_listing(listed.chain(removed).collect(), update.list_version, update.whole);
        is_first = false;
    }
}
