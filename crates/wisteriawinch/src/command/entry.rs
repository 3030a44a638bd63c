//! `entry`: runs an entry daemon on the users' platform.

use gumdrop::Options;

use super::Exit;

/// Flags of `entry`.
#[derive(Debug, Default, Options)]
pub struct Entry {
    /// Prints the help text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Port on which counters are served.
    #[options(no_short, help = "port on which counters are served", meta = "PORT")]
    pub metrics_port: Option<u16>,
}

/// Runs the daemon until it is told to stop.
pub async fn run(options: &Entry) -> Exit {
    match winch_adapter::run(options.metrics_port).await {
        Ok(()) => Exit::Success,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("wisteriawinch: {fault}"));
            Exit::Usage
        }
    }
}
