//! One entry daemon, from its start to the end of its work.

use std::{future::Future, sync::atomic::Ordering};

use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinSet,
    time::sleep,
};

use crate::{
    command::Exit,
    control::{
        config::{PollTask, TickTask},
        members::MembersTask,
        moves::MovesTask,
        peers::{Leave, LinkTask},
        supervisor::supervise,
    },
    edge::Edge,
    emit,
    prelude::*,
};

/// Time between "not ready" and the end of accepting, for the balancer to notice.
const BALANCER_GRACE: Duration = Duration::from_secs(2);
const READY_PAUSE: Duration = Duration::from_millis(20);

/// Everything that the daemon listens on.
pub struct Sockets {
    /// For callers and operators.
    pub callers: TcpListener,
    /// For gossip.
    pub datagrams: Arc<UdpSocket>,
    /// For peers that fetch large facts.
    pub streams: Arc<TcpListener>,
}

impl Sockets {
    /// Binds what the settings name.
    ///
    /// # Errors
    /// The setting and what the system said.
    pub async fn bind(settings: &Settings) -> Result<Self, String> {
        let named = |name: &'static str| move |error| format!("{name}: {error}");
        Ok(Self {
            callers: TcpListener::bind(settings.listen).await.map_err(named("LISTEN"))?,
            datagrams: UdpSocket::bind(settings.peer).await.map_err(named("PEER"))?.into(),
            streams: TcpListener::bind(settings.peer).await.map_err(named("PEER"))?.into(),
        })
    }
}

/// Runs a daemon until `stop` ends and its work is done, or until `force` ends.
pub async fn run(
    settings: Settings,
    sockets: Sockets,
    stop: impl Future<Output = ()>,
    force: impl Future<Output = ()>,
) -> Exit {
    let fleet = Fleet::new(settings);
    emit!(Event::Started, name = fleet.settings.name, listen = fleet.settings.listen);
    let Sockets { callers, datagrams, streams } = sockets;
    let mut children = JoinSet::new();
    let linking = LinkTask { fleet: fleet.clone(), socket: datagrams, listener: streams };
    children.spawn(supervise(fleet.clone(), linking));
    children.spawn(supervise(fleet.clone(), MembersTask(fleet.clone())));
    children.spawn(supervise(fleet.clone(), MovesTask(fleet.clone())));
    children.spawn(supervise(fleet.clone(), PollTask(fleet.clone())));
    children.spawn(supervise(fleet.clone(), TickTask(fleet.clone())));
    let (close, closed) = tokio::sync::oneshot::channel::<()>();
    let server = warp::serve(Edge::new(fleet.clone()).filter())
        .incoming(callers)
        .graceful(async { closed.await.unwrap_or_default() });
    let server = tokio::spawn(server.run());
    let ready = tokio::spawn(become_ready(fleet.clone()));
    let mut exit = Exit::Success;
    tokio::select! {
        () = stop => {}
        Some(Ok(Err(_))) = children.join_next() => exit = Exit::Cut,
    }
    ready.abort();
    let _ = ready.await;
    emit!(Event::Stopping, open = fleet.work.len());
    fleet.ready.store(false, Ordering::Relaxed);
    let drained = async {
        fleet.stopping.send_replace(true);
        sleep(BALANCER_GRACE).await;
        let _ = close.send(());
        let _ = server.await;
        fleet.work.close();
        fleet.work.wait().await;
    };
    tokio::select! {
        () = drained => {}
        () = force => {
            emit!(Event::StopForced, open = fleet.work.len());
            return Exit::Cut;
        }
    }
    if let Some(link) = fleet.link() {
        let _ = link.send(Leave).await;
    }
    fleet.stop();
    while children.join_next().await.is_some() {}
    emit!(Event::Stopped);
    log::logger().flush();
    exit
}

/// Reports ready once a configuration is in force.
async fn become_ready(fleet: Arc<Fleet>) {
    while fleet.view.load().revision() == 0 {
        sleep(READY_PAUSE).await;
    }
    fleet.ready.store(true, Ordering::Relaxed);
}
