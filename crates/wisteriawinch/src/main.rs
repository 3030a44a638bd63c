//! Command line of wisteriawinch.

use std::process::ExitCode;

fn main() -> ExitCode {
    wisteriawinch::command::run()
}
