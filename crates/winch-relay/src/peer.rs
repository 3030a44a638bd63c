//! Knowledge from other daemons.
//!
//! Most daemons follow a seed, which reads the store for them, so that calls to
//! the store do not grow with the fleet. A daemon that starts while the store is
//! away asks the seeds once. The wire is a question and then one or more
//! updates in length-delimited frames; while a service is being moved, a
//! follower sends reports of what it has counted. What a seed tells came from
//! the store; nothing is agreed on here.

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

use self::message::{Blame, Listed, Moving, Question, Report, Update};
use crate::{catalog::News, node::Node, prelude::*, store::Change, strikes::Strike, watch::Topic};

/// Longest time for one peer's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time to make a connection to a seed that is to be followed.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest frame in bytes.
const MAX_FRAME: usize = 8 * 1024 * 1024;
/// Connections that are served at once; more are closed.
const MAX_CONNECTIONS: usize = 512;

/// Time between two updates while nothing changes.
pub const HEARTBEAT: Duration = Duration::from_millis(300);
/// Silence after which a seed is no longer followed.
const SEED_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval of a follower's reports while a service is being moved.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a change, in which further changes join the same update.
const COALESCE: Duration = Duration::from_millis(150);
/// Longest configuration that an update carries; followers read a longer one
/// from the store, which has the wider links.
const MAX_PUSHED_PLAN: usize = 16 * 1024;

/// Longest list that an update carries whole; followers read a longer one from
/// the store.
const MAX_PUSHED_LIST: usize = 400;

/// Why a seed is no longer followed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The seed does not keep the changes since the follower's list was read.
    #[snafu(display("the list of replicas is older than the changes that the seed keeps"))]
    Behind,
    /// What the seed knows is no longer fresh.
    #[snafu(display("the seed's knowledge is stale"))]
    Stale,
    /// The connection broke or is silent.
    #[snafu(display("{source}"), context(false))]
    Lost {
        /// What the system says.
        source: io::Error,
    },
}

type Wire = Framed<TcpStream, LengthDelimitedCodec>;

fn codec(stream: TcpStream) -> Wire {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_framed(stream)
}

/// What a connection's other end has been told.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    plan_version: u64,
    /// Version of the list that the other end has read itself.
    read_version: u64,
    /// Number of the last change that was told.
    change: Option<u64>,
    /// Number of strikes that were told.
    strikes: usize,
}

impl Told {
    /// What has changed since the last update, with plans of up to `max_plan` bytes
    /// and whole lists of up to `max_list` replicas.
    fn update<D: Dialect>(&mut self, node: &Node<D>, max_plan: usize, max_list: usize) -> Update {
        let mut update = Update { age_ms: node.knowledge_age_ms(), ..Update::default() };
        if let Some(published) = node.published() {
            update.plan_version = published.plan.version;
            if published.plan.version > self.plan_version && published.document.len() <= max_plan {
                update.plan = published.document;
            }
            self.plan_version = update.plan_version;
        }
        self.list(node, max_list, &mut update);
        let now = Instant::now();
        let trials = node.trials();
        let (strikes, count) = node.strikes().after(self.strikes);
        update.strikes = strikes.into_iter().map(Into::into).collect();
        self.strikes = count;
        update.moving = trials.iter().map(|t| Moving::encode_at(t.progress(), now)).collect();
        update
    }

    fn list<D: Dialect>(&mut self, node: &Node<D>, max_list: usize, update: &mut Update) {
        let changelog = node.changelog();
        update.list_version = changelog.version();
        let told = self.change.replace(changelog.number());
        let changes = match told {
            Some(number) => changelog.since_number(number),
            None => changelog.since_version(self.read_version),
        };
        if let Some(changes) = changes {
            for (id, news) in changes {
                match news {
                    News::Gone(_) => update.removed.push(id.to_string()),
                    _ => update.replicas.push(Listed::from(&**news.replica())),
                }
            }
        } else if node.catalog().len() > max_list {
            update.behind = true;
        } else {
            update.whole = true;
            update.replicas = node.catalog().replicas().map(|r| Listed::from(&**r)).collect();
        }
    }
}

/// Answers other daemons for as long as the daemon runs.
pub async fn serve<D: Dialect>(node: Arc<Node<D>>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        if connections.len() >= MAX_CONNECTIONS {
            continue;
        }
        let node = node.clone();
        connections.spawn(async move {
            // A peer that breaks off has nothing to be told.
            let _ = answer(&node, stream).await;
        });
    }
}

async fn answer<D: Dialect>(node: &Node<D>, stream: TcpStream) -> io::Result<()> {
    let mut framed = codec(stream);
    let asked = timeout(ASK_TIMEOUT, framed.next()).await?.transpose()?;
    let Some(question) = asked else { return Ok(()) };
    let question = Question::decode(question).map_err(io::Error::other)?;
    if !question.strikes.is_empty() {
        take_strikes(node, question.strikes);
        return Ok(());
    }
    let mut told = Told { read_version: question.list_version, ..Told::default() };
    if !question.follow {
        return send(&mut framed, told.update(node, usize::MAX, usize::MAX)).await;
    }
    let mut learnt = node.learnt();
    loop {
        let update = told.update(node, MAX_PUSHED_PLAN, MAX_PUSHED_LIST);
        timeout(SEED_TIMEOUT, send(&mut framed, update)).await??;
        let beat = Instant::now() + HEARTBEAT;
        loop {
            tokio::select! {
                // The sender lives as long as the node.
                _ = learnt.changed() => {
                    sleep(COALESCE).await;
                    break;
                }
                () = sleep_until(beat) => break,
                frame = framed.next() => {
                    let Some(frame) = frame.transpose()? else { return Ok(()) };
                    let report = Report::decode(frame).map_err(io::Error::other)?;
                    take_report(node, report);
                }
            }
        }
    }
}

fn take_strikes<D: Dialect>(node: &Node<D>, strikes: Vec<Blame>) {
    let now = Instant::now();
    for strike in strikes {
        node.strikes().told(strike.into(), now);
    }
    node.note_strike();
}

/// Tells all seeds of a strike, so that they tell their followers.
///
/// A seed that cannot be reached learns of the next strike.
pub async fn tell_seeds<D: Dialect>(node: &Node<D>, strike: Strike) {
    let tuning = node.tuning();
    let seeds = tuning.seeds.iter().filter(|seed| **seed != node.settings.peers);
    let question = Question { strikes: vec![strike.into()], ..Question::default() };
    let telling = seeds.map(|seed| ask(*seed, question.clone()));
    for told in futures_util::future::join_all(telling).await {
        if let Err(error) = told {
            emit!(Event::SeedLost, seed = "of a strike", reason = error);
        }
    }
}

fn take_report<D: Dialect>(node: &Node<D>, report: Report) {
    let (name, now) = (Name::from(report.daemon), Instant::now());
    let mut trials = node.trials();
    for counted in report.counted {
        trials.told(&name, counted.into(), now);
    }
}

fn report<D: Dialect>(node: &Node<D>) -> Report {
    let evidence = node.trials().evidence(Instant::now());
    Report {
        daemon: node.settings.name.to_string(),
        counted: evidence.into_iter().map(Into::into).collect(),
    }
}

async fn send(framed: &mut Wire, message: impl Message) -> io::Result<()> {
    framed.send(Bytes::from(message.encode_to_vec())).await
}

async fn receive(framed: &mut Wire, until: Instant) -> io::Result<Update> {
    let frame = timeout_at(until, framed.next()).await?.transpose()?;
    let frame = frame.ok_or(io::ErrorKind::UnexpectedEof)?;
    Update::decode(frame).map_err(io::Error::other)
}

async fn ask(address: SocketAddr, question: Question) -> io::Result<Wire> {
    let stream = timeout(ASK_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let mut framed = codec(stream);
    framed.send(Bytes::from(question.encode_to_vec())).await?;
    Ok(framed)
}

/// Asks the seeds once and takes over what they know.
///
/// The newest configuration wins; a list of replicas is only taken while none is
/// known, and stays open to correction until the store answers.
pub async fn learn<D: Dialect>(node: &Node<D>) {
    let tuning = node.tuning();
    let seeds = tuning.seeds.iter().filter(|seed| **seed != node.settings.peers);
    let mut asking: FuturesUnordered<_> = seeds.map(|seed| learn_from(*seed)).collect();
    while let Some(asked) = asking.next().await {
        // A seed that does not answer is one of several.
        let Ok(update) = asked else { continue };
        let (version, replicas) = (update.plan_version, update.replicas.len());
        emit!(Event::PeerSynced, version = version, replicas = replicas);
        adopt_plan(node, update.plan);
        if node.catalog().is_empty() {
            node.list(update.replicas.into_iter().map(Listed::change).collect(), 0, false);
        }
    }
}

async fn learn_from(seed: SocketAddr) -> io::Result<Update> {
    let question = Question::default();
    receive(&mut ask(seed, question).await?, Instant::now() + SEED_TIMEOUT).await
}

fn adopt_plan<D: Dialect>(node: &Node<D>, document: Bytes) {
    if document.is_empty() {
        return;
    }
    match node.dialect.plan(&document) {
        Ok(plan) => drop(node.adopt(plan, document)),
        Err(fault) => emit!(Event::ConfigUnreadable, fault = fault, version = "of a peer"),
    }
}

/// Takes over all that a seed knows, for a daemon that the store turns away.
///
/// # Errors
/// What the system says when the seed does not answer.
pub async fn read_whole<D: Dialect>(node: &Node<D>, seed: SocketAddr) -> io::Result<()> {
    let update = learn_from(seed).await?;
    adopt_plan(node, update.plan);
    let listed = update.replicas.into_iter().map(Listed::change);
    node.list(listed.collect(), update.list_version, true);
    Ok(())
}

/// Follows a seed for as long as its knowledge is fresh, or until `tolerated` if
/// that is later.
///
/// `store` is asked for configurations that are too long for an update.
///
/// # Errors
/// Any [`Error`]; after [`Error::Behind`] the list has to be read again.
pub async fn follow<D: Dialect, S: Store>(
    node: &Node<D>,
    seed: SocketAddr,
    tolerated: Option<Instant>,
    store: &mut S,
) -> Result<Infallible, Error> {
    let list_version = node.changelog().version();
    let asked = ask(seed, Question { follow: true, list_version, strikes: Vec::new() });
    let mut framed = timeout(FOLLOW_TIMEOUT, asked).await.map_err(io::Error::from)??;
    let (mut first, mut heard) = (true, Instant::now());
    let mut reports = interval(REPORT_INTERVAL);
    reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let update = tokio::select! {
            update = receive(&mut framed, heard + SEED_TIMEOUT) => update?,
            _ = reports.tick() => {
                if node.trials().any_open() {
                    let sent = timeout(SEED_TIMEOUT, send(&mut framed, report(node))).await;
                    sent.map_err(io::Error::from)??;
                }
                continue;
            }
        };
        heard = Instant::now();
        let age = update.age_ms.map(Duration::from_millis);
        let age = age.context(StaleSnafu)?;
        let fresh = age <= node.tuning().max_age;
        ensure!(fresh || tolerated.is_some_and(|until| Instant::now() < until), StaleSnafu);
        ensure!(!update.behind, BehindSnafu);
        if first {
            emit!(Event::SeedFollowed, seed = seed, version = update.plan_version);
        }
        for topic in Topic::ALL {
            node.confirm(topic, Instant::now().checked_sub(age));
        }
        if !update.strikes.is_empty() {
            take_strikes(node, update.strikes);
        }
        for moving in update.moving {
            node.learn_move(moving.progress(heard));
        }
        adopt_plan(node, update.plan);
        let known = node.published().map_or(0, |published| published.plan.version);
        if known < update.plan_version {
            let document = match store.plan().await {
                Ok(read) => read.document.unwrap_or_default(),
                // The store may turn away this daemon alone.
                Err(_) => learn_from(seed).await?.plan,
            };
            adopt_plan(node, document);
        }
        let listed = update.replicas.into_iter().map(Listed::change);
        let removed = update.removed.into_iter().map(|id| Change::Removed(id.into()));
        if fresh {
            node.catalog().store_back(Instant::now());
        }
        node.list(listed.chain(removed).collect(), update.list_version, update.whole);
        first = false;
    }
}
