//! Life cycle of an entry daemon: start, readiness and graceful stop.

use std::{future::Future, sync::atomic::Ordering};

use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    command::Exit,
    control::{
        config::{PollTask, TickTask},
        members::MembersTask,
        moves::MovesTask,
        peers::{Leave, LinkTask},
        supervisor::supervise,
        suspects::SuspectsTask,
    },
    edge::Edge,
    emit,
    prelude::*,
};

/// Shortest time for which connections are still accepted after the daemon reports not ready, so
/// that the load balancer notices first.
const BALANCER_GRACE: Duration = Duration::from_secs(2);
/// How long connections stay open after the last request has ended. The reply to a request that
/// began before the stop cannot announce the close; the next request on its connection gets a
/// refusal that does.
const LAST_REPLY_GRACE: Duration = Duration::from_millis(500);
/// Longest time for which a daemon with a configuration waits for the refused requests.
const SUSPECTS_WAIT: Duration = Duration::from_millis(500);
/// Time between two checks whether the first configuration is in force.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The sockets that the daemon listens on.
pub struct Sockets {
    /// Accepts connections of callers and operators.
    pub callers: TcpListener,
    /// Sends and receives gossip.
    pub datagrams: Arc<UdpSocket>,
    /// Accepts connections of peers that fetch large facts.
    pub streams: Arc<TcpListener>,
}

impl Sockets {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// Returns the name of the setting and the error of the operating system.
    pub async fn bind(settings: &Settings) -> Result<Self, String> {
        let with_name = |name: &'static str| move |error| format!("{name}: {error}");
        Ok(Self {
            callers: TcpListener::bind(settings.listen).await.map_err(with_name("LISTEN"))?,
            datagrams: UdpSocket::bind(settings.peer).await.map_err(with_name("PEER"))?.into(),
            streams: TcpListener::bind(settings.peer).await.map_err(with_name("PEER"))?.into(),
        })
    }
}

/// Runs a daemon until `stop` completes and all requests have ended.
///
/// The result is [`Exit::Aborted`] if a control task exceeded its restart limit, which has the
/// same effect as `stop`, or if `force` completed before the requests had ended, which aborts them.
pub async fn run(
    settings: Settings,
    sockets: Sockets,
    stop: impl Future<Output = ()>,
    force: impl Future<Output = ()>,
) -> Exit {
    let fleet = Fleet::new(settings);
    emit!(Event::Started, name = fleet.settings.name, listen = fleet.settings.listen);
    let Sockets { callers, datagrams, streams } = sockets;
    let mut tasks = JoinSet::new();
    let link_task = LinkTask { fleet: fleet.clone(), socket: datagrams, listener: streams };
    tasks.spawn(supervise(fleet.clone(), link_task));
    tasks.spawn(supervise(fleet.clone(), MembersTask(fleet.clone())));
    tasks.spawn(supervise(fleet.clone(), MovesTask(fleet.clone())));
    tasks.spawn(supervise(fleet.clone(), SuspectsTask(fleet.clone())));
    tasks.spawn(supervise(fleet.clone(), PollTask(fleet.clone())));
    tasks.spawn(supervise(fleet.clone(), TickTask(fleet.clone())));
    let (close, closed) = tokio::sync::oneshot::channel::<()>();
    let server = warp::serve(Edge::new(fleet.clone()).filter())
        .incoming(callers)
        .graceful(async { closed.await.unwrap_or_default() });
    let server = tokio::spawn(server.run());
    let ready = tokio::spawn(become_ready(fleet.clone()));
    let mut exit = Exit::Success;
    tokio::select! {
        () = stop => {}
        Some(Ok(Err(_))) = tasks.join_next() => exit = Exit::Aborted,
    }
    ready.abort();
    let _ = ready.await;
    emit!(Event::Stopping, open = fleet.work.len());
    fleet.ready.store(false, Ordering::Relaxed);
    let drained = async {
        fleet.stopping.send_replace(true);
        sleep(BALANCER_GRACE).await;
        fleet.work.close();
        fleet.work.wait().await;
        sleep(LAST_REPLY_GRACE).await;
        let _ = close.send(());
        let _ = server.await;
        fleet.work.wait().await;
    };
    tokio::select! {
        () = drained => {}
        () = force => {
            emit!(Event::StopForced, open = fleet.work.len());
            return Exit::Aborted;
        }
    }
    if let Some(link) = fleet.link() {
        let _ = link.send(Leave).await;
    }
    fleet.stop();
    while tasks.join_next().await.is_some() {}
    emit!(Event::Stopped);
    log::logger().flush();
    exit
}

/// Marks the daemon ready once a configuration is in force and the refused requests are read, or if
/// these cannot be read for some time.
async fn become_ready(fleet: Arc<Fleet>) {
    while fleet.snapshot.load().revision() == 0 {
        sleep(READY_POLL_INTERVAL).await;
    }
    let mut is_read = fleet.suspects_read.subscribe();
    // A timeout is not an error: without the table the daemon serves all the same.
    let _ = timeout(SUSPECTS_WAIT, is_read.wait_for(|is_read| *is_read)).await;
    fleet.ready.store(true, Ordering::Relaxed);
}
