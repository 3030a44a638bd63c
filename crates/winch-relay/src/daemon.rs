//! Runs one entry daemon: binds its sockets, starts its tasks, and stops it gracefully.

use std::{future::Future, io, net::SocketAddr};

use http::StatusCode;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, sleep_until, timeout, timeout_at},
};

use winch_platform::table::Table;

use crate::{
    controller, edge, exposition, listen, node::Node, peer, prelude::*, pulse, quarantine, reach,
    settings::Settings, store::Access, watch,
};

/// Time after the stop signal until the platform's load balancer has stopped using a daemon in place
/// of which it can use others.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(3_000);
/// Time without a new connection that a daemon which serves no request any more waits for after that.
/// Short, since a load balancer that still uses it has too few others, and needs its next start.
const DRAINED_ACCEPT_TIME: Duration = Duration::from_millis(50);
/// Time before the end of the stop grace period at which what still runs gets its final reply.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Largest part of the grace period, one in this many, by which a stop may have been noticed late: it need
/// not have come at the start of a long pause, and what runs would be cut without need.
const MAX_LATE_PART: u32 = 2;
/// Longest time that the final replies take.
const FINAL_REPLY_TIME: Duration = Duration::from_millis(200);
/// Interval at which idle connections, expired replicas and unused admission gates are removed, and
/// the speeds of replicas are estimated.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a stopping daemon looks if it still serves requests of other daemons.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An address on which the daemon cannot listen.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct Error {
    address: SocketAddr,
    source: io::Error,
}

/// Listening sockets of a daemon.
#[derive(Debug)]
pub struct Sockets {
    callers: TcpListener,
    ready: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
}

impl Sockets {
    /// Binds all addresses of the settings.
    ///
    /// # Errors
    /// The first address that cannot be bound, with the system's error.
    pub async fn bind(settings: &Settings) -> Result<Self, Error> {
        let metrics = match settings.metrics {
            Some(address) => Some(bind(address).await?),
            None => None,
        };
        Ok(Self {
            callers: bind(settings.callers).await?,
            ready: bind(settings.ready).await?,
            peers: bind(settings.peers).await?,
            metrics,
        })
    }

    /// Writes the bound addresses to the settings, for ports that the system chose; the
    /// address for metrics stays as it is.
    ///
    /// # Errors
    /// The system's error.
    pub fn write_addresses(&self, settings: &mut Settings) -> io::Result<()> {
        settings.callers = self.callers.local_addr()?;
        settings.ready = self.ready.local_addr()?;
        settings.peers = self.peers.local_addr()?;
        Ok(())
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(Snafu { address })
}

/// Runs a daemon until `stop` completes and its running requests have ended, or until
/// the stop grace period is over.
pub async fn run<P: Protocol, S: Store, T: Table>(
    node: Arc<Node<P>>,
    sockets: Sockets,
    access: Access<S, T>,
    stop: impl Future<Output = ()>,
) {
    let settings = &node.settings;
    emit!(Event::Started, name = settings.name, listen = settings.callers, dc = settings.dc);
    let mut background_tasks = JoinSet::new();
    background_tasks.spawn(controller::run(node.clone(), access.table.clone()));
    background_tasks.spawn(quarantine::run(node.clone(), access.table.clone()));
    background_tasks.spawn(watch::run(node.clone(), access));
    background_tasks.spawn(serve_ready(node.clone(), sockets.ready));
    background_tasks.spawn(peer::serve(node.clone(), sockets.peers));
    background_tasks.spawn(sweep(node.clone()));
    background_tasks.spawn(reach::run(node.clone()));
    background_tasks.spawn(pulse::run(node.clone()));
    if let Some(listener) = sockets.metrics {
        background_tasks.spawn(exposition::run(listener));
    }
    let mut connections = JoinSet::new();
    let accepting = accept(&node, &sockets.callers, &mut connections);
    tokio::select! {
        () = stop => {}
        () = accepting => {}
    }
    // The platform counts the grace period from its signal, which a paused process notices late.
    let (now, grace) = (Instant::now(), node.tuning().stop_grace);
    let requested_at = node.pulse.earliest_cause(now).max(now - grace / MAX_LATE_PART);
    let stop_deadline = requested_at + grace.saturating_sub(STOP_MARGIN);
    node.stop(requested_at, stop_deadline);
    let late = requested_at.elapsed();
    emit!(Event::Stopping, open = connections.len(), late_ms = late.as_millis());
    // The signal may have come at the end of the pause: the load balancer counts from there.
    let mut accepted_at = Instant::now();
    let accepting =
        accept_until_drained(&node, &sockets.callers, &mut connections, &mut accepted_at);
    let _ = timeout_at(stop_deadline - listen::HANDSHAKE_TIME, accepting).await;
    let quiet = accepted_at.elapsed();
    let serve = |stream| serve_caller(&node, stream, &mut connections);
    let closed = listen::close(sockets.callers, serve).await;
    emit!(
        Event::ListenerClosed,
        queued = closed.queued,
        refused_first = closed.refused_first,
        open = connections.len(),
        quiet_ms = quiet.as_millis()
    );
    if timeout_at(stop_deadline, join_all(&node, &mut connections)).await.is_err() {
        emit!(Event::GraceExpired, open = connections.len());
        node.end();
        // A reply that cannot be sent in time is cut off.
        let _ = timeout(FINAL_REPLY_TIME, join_all(&node, &mut connections)).await;
    }
    connections.shutdown().await;
    background_tasks.shutdown().await;
    node.tasks.close();
    let _ = timeout_at(stop_deadline, node.tasks.wait()).await;
    emit!(Event::Stopped);
    log::logger().flush();
}

/// Completes when no request of a caller or of another daemon runs any more.
async fn join_all<P: Protocol>(node: &Node<P>, connections: &mut JoinSet<()>) {
    while connections.join_next().await.is_some() {}
    while !node.running.serves_no_daemon() {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

async fn accept<P: Protocol>(
    node: &Arc<Node<P>>,
    listener: &TcpListener,
    connections: &mut JoinSet<()>,
) {
    loop {
        let stream = listen::accept(listener).await;
        while connections.try_join_next().is_some() {}
        serve_caller(node, stream, connections);
    }
}

/// Accepts connections during a stop until no request runs any more and no connection comes, and for
/// [`STOP_ACCEPT_TIME`] at least; `accepted_at` is when the last one came, or the stop began.
///
/// A load balancer that has too few other daemons goes on to use this one, or comes back to it. A
/// listener that is closed refuses these connections until the daemon has started again, so it is
/// closed only where that follows at once.
async fn accept_until_drained<P: Protocol>(
    node: &Arc<Node<P>>,
    listener: &TcpListener,
    connections: &mut JoinSet<()>,
    accepted_at: &mut Instant,
) {
    let earliest = *accepted_at + STOP_ACCEPT_TIME;
    loop {
        let drained_at = earliest.max(*accepted_at + DRAINED_ACCEPT_TIME);
        let drained = async {
            join_all(node, connections).await;
            sleep_until(drained_at).await;
        };
        let stream = tokio::select! {
            stream = listen::accept(listener) => stream,
            () = drained => return,
        };
        *accepted_at = Instant::now();
        serve_caller(node, stream, connections);
    }
}

fn serve_caller<P: Protocol>(
    node: &Arc<Node<P>>,
    stream: TcpStream,
    connections: &mut JoinSet<()>,
) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    connections.spawn(edge::serve(node.clone(), read, write));
}

async fn serve_ready<P: Protocol>(node: Arc<Node<P>>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let stream = listen::accept(&listener).await;
        while connections.try_join_next().is_some() {}
        let (read, write) = stream.into_split();
        let node = node.clone();
        connections.spawn(async move {
            let answer = |request: &winch_http::head::Request| {
                if !node.protocol.is_ready_request(request) {
                    return (StatusCode::NOT_FOUND, String::new());
                }
                let ready = node.is_ready();
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                (status, format!("{{\"ready\":{ready}}}"))
            };
            exposition::serve(read, write, answer).await;
        });
    }
}

async fn sweep<P: Protocol>(node: Arc<Node<P>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        node.pool.sweep();
        node.expire();
        node.sweep_gates();
        node.update_speeds();
    }
}
