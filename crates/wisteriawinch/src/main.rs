//! The `wisteriawinch` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    wisteriawinch::command::run()
}
