//! Rig of the second review: starts a small deployment as separate processes on loopback addresses,
//! with stand-ins for clients, the operator and replicas, and runs one case.
//!
//! Usage: `rig CASE FOLDER`. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run.

mod cases;
mod deployment;
mod gate;
mod http;
mod record;
mod replica;

use std::time::Duration;

/// Limit on the run time of a script, below the limit of 120 s.
const MAX_RUN: Duration = Duration::from_secs(115);

const EXIT_NOT_RUN: i32 = 2;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    if let ["replica", rest @ ..] = words.as_slice() {
        return replica::run(rest);
    }
    let [case, folder] = words.as_slice() else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(EXIT_NOT_RUN);
    };
    std::thread::spawn(|| {
        std::thread::sleep(MAX_RUN);
        deployment::kill_all();
        eprintln!("the case took too long");
        std::process::exit(EXIT_NOT_RUN);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(folder);
    record.line(&format!("case {case}, trouble {trouble}"));
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match *case {
        "first-start-cut" => cases::first_start_cut(&record, trouble),
        "first-start-freeze" => cases::first_start_freeze(&record, trouble),
        "open-removal" => cases::open_removal(&record, trouble),
        "first-start-kill" => cases::first_start_kill(&record, trouble),
        "cut-answer" => cases::cut_answer(&record, trouble),
        _ => Err(format!("there is no case {case}")),
    }));
    deployment::kill_all();
    let code = match outcome {
        Ok(Ok(cases::Verdict::Held)) => 0,
        Ok(Ok(cases::Verdict::Broken)) => 1,
        Ok(Err(reason)) => {
            record.line(&format!("could not run: {reason}"));
            EXIT_NOT_RUN
        }
        Err(_) => EXIT_NOT_RUN,
    };
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}
