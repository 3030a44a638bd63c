//! `serve`: runs an entry daemon until it is told to stop.

use std::sync::atomic::Ordering;

use logforth::{layout::JsonLayout, record::LevelFilter};
use tokio::{net::TcpListener, task::JoinSet, time::sleep};

use super::Exit;
use crate::{
    control::{
        config::{Polling, Ticking},
        supervisor::{signalled, supervise},
    },
    edge::Edge,
    emit,
    prelude::*,
    settings::Flags,
};

/// Time between "not ready" and the end of accepting, for the balancer to notice.
const BALANCER_GRACE: Duration = Duration::from_secs(2);
const READY_PAUSE: Duration = Duration::from_millis(20);

/// Runs the daemon.
pub async fn run(flags: &Flags) -> Exit {
    let settings = match Settings::resolve(flags, |name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("wisteriawinch: {fault}"));
            return Exit::Usage;
        }
    };
    if flags.print_settings {
        println!("{settings:#?}");
        return Exit::Success;
    }
    start_log(&settings);
    let listener = match TcpListener::bind(settings.listen).await {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("wisteriawinch: LISTEN: {}: {error}", settings.listen);
            return Exit::Usage;
        }
    };
    let fleet = Fleet::new(settings);
    emit!(Event::Started, name = fleet.settings.name, listen = fleet.settings.listen);
    serve(fleet, listener).await
}

async fn serve(fleet: Arc<Fleet>, listener: TcpListener) -> Exit {
    let mut children = JoinSet::new();
    children.spawn(supervise(fleet.clone(), Polling(fleet.clone())));
    children.spawn(supervise(fleet.clone(), Ticking(fleet.clone())));
    let (close, closed) = tokio::sync::oneshot::channel::<()>();
    let server = warp::serve(Edge::new(fleet.clone()).filter())
        .incoming(listener)
        .graceful(async { closed.await.unwrap_or_default() });
    let server = tokio::spawn(server.run());
    let ready = tokio::spawn(become_ready(fleet.clone()));
    let mut exit = Exit::Success;
    tokio::select! {
        () = signalled() => {}
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
        () = signalled() => {
            emit!(Event::StopForced, open = fleet.work.len());
            return Exit::Cut;
        }
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

fn start_log(settings: &Settings) {
    let level = match settings.log_level {
        log::LevelFilter::Error => logforth::record::Level::Error,
        log::LevelFilter::Warn => logforth::record::Level::Warn,
        log::LevelFilter::Debug => logforth::record::Level::Debug,
        _ => logforth::record::Level::Info,
    };
    let builder = logforth::starter_log::stderr().layout(JsonLayout::default());
    // Only a second daemon in one process, as in tests, finds a logger in place.
    let _ = builder.filter(LevelFilter::MoreSevereEqual(level)).try_apply();
}
