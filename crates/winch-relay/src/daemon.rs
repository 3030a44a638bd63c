//! One entry daemon, from its start to the end of its work.

use std::{future::Future, io, net::SocketAddr};

use http::StatusCode;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{sleep, timeout_at},
};

use winch_platform::table::Table;

use crate::{
    edge, exposition, mover, node::Node, peer, prelude::*, settings::Settings, store::Access, watch,
};

/// How long new connections are accepted after the signal to stop, so that the
/// platform's balancer notices first.
const STOP_ACCEPT: Duration = Duration::from_millis(3_000);
/// Time before the end of the grace in which the daemon ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Interval of the sweep over idle connections to replicas.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
#[snafu(display("{address} cannot be listened on: {source}"))]
pub struct Error {
    address: SocketAddr,
    source: io::Error,
}

/// Everything that the daemon listens on.
#[derive(Debug)]
pub struct Sockets {
    callers: TcpListener,
    ready: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
}

impl Sockets {
    /// Binds what the settings name.
    ///
    /// # Errors
    /// The address that cannot be bound, and why.
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

    /// Puts the addresses that the system chose into the settings.
    ///
    /// # Errors
    /// What the system says.
    pub fn settle(&self, settings: &mut Settings) -> io::Result<()> {
        settings.callers = self.callers.local_addr()?;
        settings.ready = self.ready.local_addr()?;
        settings.peers = self.peers.local_addr()?;
        Ok(())
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(Snafu { address })
}

/// Runs a daemon until `stop` ends and its work is done, or the grace is over.
pub async fn run<D: Dialect, S: Store, T: Table>(
    node: Arc<Node<D>>,
    sockets: Sockets,
    access: Access<S, T>,
    stop: impl Future<Output = ()>,
) {
    let settings = &node.settings;
    emit!(Event::Started, name = settings.name, listen = settings.callers, dc = settings.dc);
    let mut children = JoinSet::new();
    children.spawn(mover::run(node.clone(), access.table.clone()));
    children.spawn(watch::run(node.clone(), access));
    children.spawn(serve_ready(node.clone(), sockets.ready));
    children.spawn(peer::serve(node.clone(), sockets.peers));
    children.spawn(sweep(node.clone()));
    if let Some(listener) = sockets.metrics {
        children.spawn(serve_metrics(listener));
    }
    let mut callers = JoinSet::new();
    let accepting = accept(&node, &sockets.callers, &mut callers);
    tokio::select! {
        () = stop => {}
        () = accepting => {}
    }
    let end = Instant::now() + node.tuning().stop_grace.saturating_sub(STOP_MARGIN);
    node.stop();
    emit!(Event::Stopping, open = callers.len());
    let accepting = accept(&node, &sockets.callers, &mut callers);
    let _ = timeout_at(end.min(Instant::now() + STOP_ACCEPT), accepting).await;
    drop(sockets.callers);
    let joined = async { while callers.join_next().await.is_some() {} };
    if timeout_at(end, joined).await.is_err() {
        emit!(Event::GraceExpired, open = callers.len());
    }
    callers.shutdown().await;
    children.shutdown().await;
    node.tasks.close();
    let _ = timeout_at(end, node.tasks.wait()).await;
    emit!(Event::Stopped);
    log::logger().flush();
}

async fn accept<D: Dialect>(
    node: &Arc<Node<D>>,
    listener: &TcpListener,
    callers: &mut JoinSet<()>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                while callers.try_join_next().is_some() {}
                let _ = stream.set_nodelay(true);
                let (read, write) = stream.into_split();
                callers.spawn(edge::serve(node.clone(), read, write));
            }
            // Out of descriptors, or the peer was faster than we: both pass.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_ready<D: Dialect>(node: Arc<Node<D>>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let (read, write) = stream.into_split();
        let node = node.clone();
        connections.spawn(async move {
            let answer = |request: &winch_http::head::Request| {
                if !node.dialect.asks_ready(request) {
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

async fn serve_metrics(listener: TcpListener) {
    let Some(handle) = exposition::start() else { return };
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let (read, write) = stream.into_split();
        let handle = handle.clone();
        connections.spawn(async move {
            let answer =
                |_: &winch_http::head::Request| (StatusCode::OK, exposition::render(&handle));
            exposition::serve(read, write, answer).await;
        });
    }
}

async fn sweep<D: Dialect>(node: Arc<Node<D>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        node.pool.sweep();
        node.expire();
    }
}
