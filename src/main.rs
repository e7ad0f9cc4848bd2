//! The kelplink command.

use std::process::ExitCode;

fn main() -> ExitCode {
    kelplink::run_command()
}
