//! Starts a small deployment on loopback addresses, brings one disruption about, and checks a rule
//! by what operators and callers see. `rig CASE RECORD`; with `TROUBLE=0` without the disruption.

mod bootstrap;
mod crashing_request;
mod deployment;
mod engine;
mod http;
mod log_reader;
mod model_size;
mod operator;
mod record;
mod replica;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
    /// The case could not run.
    Void(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    if case == "collect" {
        return log_reader::collect(&arguments.next().unwrap_or_default());
    }
    let path = arguments.next().unwrap_or_default();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(&path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record {path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("rig       case {case}, disruption: {trouble}"));
    let outcome = match case.as_str() {
        "bootstrap" => bootstrap::run(&record, trouble),
        "crashing-request" => crashing_request::run(&record, trouble),
        "log-reader" => log_reader::run(&record, trouble),
        "model-size" => model_size::run(&record, trouble),
        _ => Ok(Outcome::Void(format!("there is no case {case}"))),
    };
    let outcome = outcome.unwrap_or_else(|error| Outcome::Void(error.to_string()));
    let (text, code) = match &outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::Void(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(format!("rig       {text}"));
    println!("{text}");
    ExitCode::from(code)
}
