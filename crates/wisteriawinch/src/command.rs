//! The command line: arguments, commands and exit codes.

pub mod entry;
pub mod moves;
pub mod operate;
pub mod serve;

use std::process::ExitCode;

use gumdrop::Options;

use crate::settings::Flags;

/// Exit codes, as listed in `docs/codes.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The daemon or the platform refused the request.
    Refused = 1,
    /// The command line or the settings are invalid.
    Usage = 2,
    /// The daemon could not be reached.
    Unreachable = 3,
    /// A change was committed, but not all daemons confirmed it in time.
    Unconfirmed = 4,
    /// The daemon stopped with requests aborted, or because a control task failed.
    Aborted = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run an entry daemon")]
    Serve(Flags),
    #[options(help = "run an entry daemon on the users' platform")]
    Entry(entry::Entry),
    #[options(help = "check a configuration file, against a daemon or offline")]
    Check(operate::Check),
    #[options(help = "publish a configuration file")]
    Apply(operate::Apply),
    #[options(help = "print the objects in force")]
    Get(operate::Get),
    #[options(help = "print upstreams, versions, moves, peers and the revision in force")]
    Status(operate::Status),
    #[options(help = "start, show or cancel a move")]
    Move(moves::Move),
    #[options(help = "take an upstream out of service, or back into it")]
    Drain(operate::Drain),
    #[options(help = "print the digest of a team's API key, for its object")]
    KeyDigest(operate::KeyDigest),
}

/// Parses the arguments of this process and runs the command that they name.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    // `entry` runs on small VMs with one core, where more threads only cost memory and
    // wake-ups.
    let runtime = match arguments.command {
        Some(Command::Entry(_)) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = { runtime }.enable_all().build().expect("a runtime needs only threads");
    let exit = runtime.block_on(async {
        match arguments.command {
            Some(Command::Serve(flags)) => serve::run(&flags).await,
            Some(Command::Entry(options)) => entry::run(&options).await,
            Some(Command::Check(options)) => operate::check(&options).await,
            Some(Command::Apply(options)) => operate::apply(&options).await,
            Some(Command::Get(options)) => operate::get(&options).await,
            Some(Command::Status(options)) => operate::status(&options).await,
            Some(Command::Move(options)) => moves::run(&options).await,
            Some(Command::Drain(options)) => operate::drain(&options).await,
            Some(Command::KeyDigest(options)) => operate::key_digest(&options),
            None => Exit::Usage,
        }
    });
    exit.into()
}
