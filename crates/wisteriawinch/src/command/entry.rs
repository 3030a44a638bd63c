//! `entry`: runs an entry daemon on the users' platform.

use gumdrop::Options;
use winch_event::log::LevelFilter;

use super::Exit;

/// Flags of `entry`.
#[derive(Debug, Default, Options)]
pub struct Entry {
    /// Prints the help text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Port on which metrics are served.
    #[options(no_short, help = "port on which metrics are served", meta = "PORT")]
    pub metrics_port: Option<u16>,
    /// Least severe level that is logged.
    #[options(no_short, help = "off, error, warn or info (default: info)", meta = "LEVEL")]
    pub log_level: Option<LevelFilter>,
}

/// Runs the daemon until it receives a stop signal. If it returns faults, they are printed and
/// the exit code is [`Exit::Usage`].
pub async fn run(options: &Entry) -> Exit {
    let options =
        winch_adapter::Options { metrics_port: options.metrics_port, log_level: options.log_level };
    match winch_adapter::run(options).await {
        Ok(()) => Exit::Success,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("wisteriawinch: {fault}"));
            Exit::Usage
        }
    }
}
