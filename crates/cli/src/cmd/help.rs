//! Help text, printed to standard output so that it can be piped into a pager or a search.

use gumdrop::Options;

use super::CommandLine;

/// Meaning of the exit codes, which is the same for all subcommands.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 refused or failed, 2 wrong usage or input that \
                          cannot be used, 3 committed but not in force everywhere yet";

/// Prints the help of the innermost subcommand on the command line.
pub(super) fn print_help(line: &CommandLine) {
    let mut named: &dyn Options = line;
    let mut path = String::from("briartray");
    while let Some(inner) = named.command() {
        named = inner;
        if let Some(name) = inner.command_name() {
            path.push(' ');
            path.push_str(name);
        }
    }
    println!("Usage: {path} [OPTIONS]\n\n{}", named.self_usage());
    if let Some(list) = named.self_command_list() {
        println!("\nCommands:\n{list}");
    }
    println!("\n{EXIT_CODES}");
}
