//! `briartray measure leases`: what each policy for holding rules costs when hosts are lost or
//! paused.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use briartray_model::lease::HoldPolicy;
use briartray_model::settings::UnconfirmedPolicy;
use briartray_standin::load::{LoadPlan, run_load};
use gumdrop::Options;
use serde::Serialize;
use serde_json::json;

use super::outcomes::program_folder;
use crate::cmd::{CommandError, OutputFormat};
use crate::trial::{
    ProcessFleet, ProcessSignal, TrialError, TrialPlan, post_json, request_completion,
};

/// Requests sent to an entry right after it resumes.
const RESUMED_REQUESTS: usize = 100;

/// Longest pause of an entry; not longer than an operator's call may take.
const MAX_PAUSE: Duration = Duration::from_secs(16);

#[derive(Debug, Options)]
pub(super) struct LeasesOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "requests a second", meta = "N", default = "50")]
    rate: f64,
    #[options(no_short, help = "length of the load in seconds", meta = "N", default = "20")]
    seconds: f64,
    #[options(no_short, help = "text or json", meta = "FORMAT", default = "text")]
    output: OutputFormat,
}

/// One policy for holding rules, with the number of control hosts.
#[derive(Debug, Clone, Copy)]
struct HoldCase {
    name: &'static str,
    controls: usize,
    hold: HoldPolicy,
    unconfirmed: UnconfirmedPolicy,
}

const CASES: [HoldCase; 5] = [
    HoldCase {
        name: "refuse when the lease ends",
        controls: 3,
        hold: HoldPolicy::BoundedMs(3000),
        unconfirmed: UnconfirmedPolicy::Refuse,
    },
    HoldCase {
        name: "hold for 10 s",
        controls: 3,
        hold: HoldPolicy::BoundedMs(10_000),
        unconfirmed: UnconfirmedPolicy::Refuse,
    },
    HoldCase {
        name: "hold for 10 s, five voters",
        controls: 5,
        hold: HoldPolicy::BoundedMs(10_000),
        unconfirmed: UnconfirmedPolicy::Refuse,
    },
    HoldCase {
        name: "hold until forgotten",
        controls: 3,
        hold: HoldPolicy::UntilForgotten,
        unconfirmed: UnconfirmedPolicy::Refuse,
    },
    HoldCase {
        name: "serve without confirmation",
        controls: 3,
        hold: HoldPolicy::BoundedMs(10_000),
        unconfirmed: UnconfirmedPolicy::Serve,
    },
];

/// Results of one case.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct HoldRow {
    name: &'static str,
    /// Requests sent while two control hosts are down.
    sent: u64,
    /// Requests among `sent` that were refused.
    refused: u64,
    /// Seconds until a rule change is answered while an entry is paused.
    answered_seconds: f64,
    /// Whether that answer was `accepted`.
    accepted: bool,
    /// Requests that the resumed entry admitted under the replaced rules.
    stale: usize,
}

pub(super) fn run(options: &LeasesOptions) -> Result<(), CommandError> {
    let mut rows = Vec::new();
    for case in CASES {
        eprintln!("measuring: {}", case.name);
        rows.push(measure(case, options).map_err(CommandError::refused)?);
    }
    match options.output {
        OutputFormat::Json => println!("{}", json!(rows)),
        OutputFormat::Text => print_rows(&rows),
    }
    Ok(())
}

fn measure(case: HoldCase, options: &LeasesOptions) -> Result<HoldRow, TrialError> {
    let (sent, refused) = kill_two_hosts(case, options)?;
    let (answered_seconds, accepted, stale) = change_while_paused(case)?;
    Ok(HoldRow { name: case.name, sent, refused, answered_seconds, accepted, stale })
}

fn trial_plan(case: HoldCase) -> Result<TrialPlan, TrialError> {
    let programs =
        program_folder().map_err(|error| TrialError::Load { detail: error.to_string() })?;
    Ok(TrialPlan::new(&programs)
        .controls(case.controls)
        .entries(2)
        .endpoints(2, 0)
        .hold(case.hold)
        .unconfirmed(case.unconfirmed))
}

/// Kills two control hosts, then runs a load; returns the requests sent and refused.
fn kill_two_hosts(case: HoldCase, options: &LeasesOptions) -> Result<(u64, u64), TrialError> {
    let fleet = ProcessFleet::start(&trial_plan(case)?)?;
    for host in &fleet.controls[..2] {
        host.signal(ProcessSignal::Kill);
    }
    let load = LoadPlan::new(fleet.entry_addresses()[0])
        .pace(options.rate, Duration::from_secs_f64(options.seconds))
        .model("desk", 4)
        .shares(0.5, 0.0);
    let report = run_load(&load, |_, _| {})
        .map_err(|error| TrialError::Load { detail: error.to_string() })?;
    Ok((report.sent, report.told_not_run))
}

/// Changes the rules while an entry is paused; returns the seconds until the answer, whether it was
/// `accepted`, and how many requests the resumed entry admitted under the old rules.
fn change_while_paused(case: HoldCase) -> Result<(f64, bool, usize), TrialError> {
    let fleet = ProcessFleet::start(&trial_plan(case)?)?;
    let entry = fleet.entry_addresses()[0];
    request_completion(entry, 1)?;
    fleet.entries[0].signal(ProcessSignal::Stop);
    let started = Instant::now();
    let accepted = apply_deny_all(&fleet, started)?;
    let answered = started.elapsed();
    fleet.entries[0].signal(ProcessSignal::Continue);
    let stale = (0..RESUMED_REQUESTS)
        .filter(|_| request_completion(entry, 1).is_ok_and(|(status, _)| status == 200))
        .count();
    Ok((answered.as_secs_f64(), accepted, stale))
}

/// Applies rules that admit no request, trying each control host until the leader takes them;
/// returns whether the change was `accepted`.
fn apply_deny_all(fleet: &ProcessFleet, started: Instant) -> Result<bool, TrialError> {
    let text = "services: [{ name: desk, replicas: 2 }]\nrules:\n- rule: nobody\n  \
                then: { admit: { allow: false } }\n";
    let body = json!({ "change": format!("{:032x}", 1), "text": text });
    loop {
        for operator in fleet.operators() {
            let (status, _) = post_rules(*operator, &body)?;
            if status == 200 || status == 202 {
                return Ok(status == 200);
            }
        }
        if started.elapsed() > MAX_PAUSE {
            return Ok(false);
        }
    }
}

fn post_rules(
    operator: SocketAddr,
    body: &serde_json::Value,
) -> Result<(u16, serde_json::Value), TrialError> {
    post_json(operator, "/v1/rules", body)
}

fn print_rows(rows: &[HoldRow]) {
    println!(
        "{:<28} {:>6} {:>8} {:>10} {:>10} {:>6}",
        "terms", "sent", "refused", "answer s", "answer", "stale"
    );
    for row in rows {
        println!(
            "{:<28} {:>6} {:>8} {:>10.1} {:>10} {:>6}",
            row.name,
            row.sent,
            row.refused,
            row.answered_seconds,
            if row.accepted { "accepted" } else { "committed" },
            row.stale,
        );
    }
}
