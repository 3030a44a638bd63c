//! `serve`: runs an entry daemon until it receives a stop signal.

use logforth::{layout::JsonLayout, record::LevelFilter};

use super::Exit;
use crate::{
    control::supervisor::{handle_signal, wait_for_signal},
    daemon::{self, Sockets},
    prelude::*,
    settings::Flags,
};

/// Runs the daemon. The first signal starts a graceful stop, the second one aborts it.
pub async fn run(flags: &Flags) -> Exit {
    // Before any connection is taken: a signal without a handler ends the process.
    let stop = handle_signal();
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
    let sockets = match Sockets::bind(&settings).await {
        Ok(sockets) => sockets,
        Err(fault) => {
            eprintln!("wisteriawinch: {fault}");
            return Exit::Usage;
        }
    };
    daemon::run(settings, sockets, stop, wait_for_signal()).await
}

fn start_log(settings: &Settings) {
    let level = match settings.log_level {
        log::LevelFilter::Error => logforth::record::Level::Error,
        log::LevelFilter::Warn => logforth::record::Level::Warn,
        log::LevelFilter::Debug => logforth::record::Level::Debug,
        _ => logforth::record::Level::Info,
    };
    let builder = logforth::starter_log::stderr().layout(JsonLayout::default());
    // Fails if a logger is installed already, as when tests run several daemons in a process.
    let _ = builder.filter(LevelFilter::MoreSevereEqual(level)).try_apply();
}
