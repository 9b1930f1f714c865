//! `briartray check`: settings files are read and checked, nothing is started.

use std::path::Path;

use briartray_model::settings;
use gumdrop::Options;

use super::CommandError;

#[derive(Debug, Options)]
pub(super) struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "settings files")]
    files: Vec<String>,
}

pub(super) fn run(options: &CheckOptions) -> Result<(), CommandError> {
    let mut failed = 0;
    for file in &options.files {
        match settings::load(Path::new(file)) {
            Ok(loaded) => println!("{file}: node {} holds", loaded.node),
            Err(error) => {
                eprintln!("{error}");
                failed += 1;
            }
        }
    }
    if failed > 0 {
        return Err(CommandError::unusable(format!("{failed} files do not hold")));
    }
    Ok(())
}
