//! The operator's and developer's command line.

use std::process::ExitCode;

use briartray::cmd::{self, CommandLine};
use gumdrop::Options;

fn main() -> ExitCode {
    cmd::run(&CommandLine::parse_args_default_or_exit())
}
