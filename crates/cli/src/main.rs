//! The `briartray` command line for operators and developers.

use std::process::ExitCode;

use briartray::cmd::{self, CommandLine};
use gumdrop::Options;

fn main() -> ExitCode {
    let arguments: Vec<String> =
        std::env::args_os().skip(1).map(|word| word.to_string_lossy().into_owned()).collect();
    match CommandLine::parse_args_default(&arguments) {
        Ok(line) => cmd::run(&line),
        Err(error) => {
            eprintln!("briartray: {error}; see briartray --help");
            ExitCode::from(cmd::EXIT_USAGE)
        }
    }
}
