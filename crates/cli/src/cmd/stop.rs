//! `briartray stop`: plans, lists and cancels planned stops.

use briartray_node::new_change_id;
use gumdrop::Options;
use serde_json::{Value, json};

use super::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct StopOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<StopCommand>,
}

#[derive(Debug, Options)]
enum StopCommand {
    #[options(help = "plan the stop of a host, group, zone or provider")]
    Plan(PlanOptions),
    #[options(help = "list planned stops and what each is waiting for")]
    List(ListOptions),
    #[options(help = "cancel a planned stop")]
    Cancel(CancelOptions),
}

operator_command! {
    struct PlanOptions {
        #[options(help = "print this help")]
        help: bool,
        #[options(no_short, help = "host to stop", meta = "HOST")]
        host: Option<String>,
        #[options(no_short, help = "group to stop", meta = "NUMBER")]
        group: Option<u64>,
        #[options(no_short, help = "availability zone to stop", meta = "ZONE")]
        zone: Option<String>,
        #[options(no_short, help = "provider to stop", meta = "PROVIDER")]
        provider: Option<String>,
        #[options(no_short, help = "change id of 32 hexadecimal digits, to retry a change", meta = "ID")]
        change: Option<String>,
    }
}

operator_command! {
    struct ListOptions {
        #[options(help = "print this help")]
        help: bool,
    }
}

operator_command! {
    struct CancelOptions {
        #[options(help = "print this help")]
        help: bool,
        #[options(free, required, help = "number of the planned stop")]
        stop: u64,
    }
}

pub(super) fn run(options: &StopOptions) -> Result<(), CommandError> {
    match &options.command {
        Some(StopCommand::Plan(options)) => plan(options),
        Some(StopCommand::List(options)) => list(options),
        Some(StopCommand::Cancel(options)) => cancel(options),
        None => Err(CommandError::unusable("missing subcommand: plan, list or cancel")),
    }
}

fn plan(options: &PlanOptions) -> Result<(), CommandError> {
    let target = stop_target(options)?;
    let change = options.change.clone().unwrap_or_else(|| new_change_id().to_string());
    let client = options.client();
    let body = json!({ "change": change, "target": target });
    let reply = client.post("/v1/stops", &body).map_err(|error| {
        CommandError::refused(format!("{error} (change {change}; retry it with --change)"))
    })?;
    match options.output {
        OutputFormat::Json => println!("{reply}"),
        OutputFormat::Text => println!("planned as stop {}", reply["stop"]),
    }
    Ok(())
}

fn stop_target(options: &PlanOptions) -> Result<Value, CommandError> {
    let named = [
        options.host.as_ref().map(|host| json!({ "host": host })),
        options.group.map(|group| json!({ "group": group })),
        options.zone.as_ref().map(|zone| json!({ "zone": zone })),
        options.provider.as_ref().map(|provider| json!({ "provider": provider })),
    ];
    let mut targets = named.into_iter().flatten();
    match (targets.next(), targets.next()) {
        (Some(target), None) => Ok(target),
        _ => Err(CommandError::unusable(
            "give exactly one of --host, --group, --zone and --provider",
        )),
    }
}

fn list(options: &ListOptions) -> Result<(), CommandError> {
    let client = options.client();
    let reply = client.get("/v1/stops")?;
    match options.output {
        OutputFormat::Json => println!("{reply}"),
        OutputFormat::Text => print_stops(&reply),
    }
    Ok(())
}

fn print_stops(reply: &Value) {
    println!("{:>6}  {:<24} {:>8} {:>8}  safe to stop", "stop", "target", "hosts", "drained");
    for stop in reply["stops"].as_array().into_iter().flatten() {
        let safe = if stop["safe_to_stop"] == true { "yes" } else { "no" };
        println!(
            "{:>6}  {:<24} {:>8} {:>8}  {safe}",
            stop["stop"],
            stop["target"].as_str().unwrap_or_default(),
            stop["hosts"],
            stop["drained"],
        );
        for reason in stop["waits"].as_array().into_iter().flatten() {
            println!("        waits: {}", reason.as_str().unwrap_or_default());
        }
    }
}

fn cancel(options: &CancelOptions) -> Result<(), CommandError> {
    let client = options.client();
    let reply = client.post("/v1/stops/cancel", &json!({ "stop": options.stop }))?;
    match options.output {
        OutputFormat::Json => println!("{reply}"),
        OutputFormat::Text => println!("stop {} is cancelled", options.stop),
    }
    Ok(())
}
