//! `briartray evacuation`: stops and resumes sending requests to the endpoints of an availability
//! zone.

use gumdrop::Options;
use serde_json::json;

use super::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct EvacuationOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<EvacuationCommand>,
}

#[derive(Debug, Options)]
enum EvacuationCommand {
    #[options(help = "list evacuated zones")]
    List(ListOptions),
    #[options(help = "stop sending requests to the endpoints of a zone")]
    Start(StartOptions),
    #[options(help = "resume sending requests to the endpoints of a zone")]
    End(EndOptions),
}

operator_command! {
    struct ListOptions {
        #[options(help = "print this help")]
        help: bool,
    }
}

operator_command! {
    struct StartOptions {
        #[options(help = "print this help")]
        help: bool,
        #[options(free, required, help = "name of the availability zone")]
        zone: String,
    }
}

operator_command! {
    struct EndOptions {
        #[options(help = "print this help")]
        help: bool,
        #[options(free, required, help = "name of the availability zone")]
        zone: String,
    }
}

pub(super) fn run(options: &EvacuationOptions) -> Result<(), CommandError> {
    match &options.command {
        Some(EvacuationCommand::List(options)) => list(options),
        Some(EvacuationCommand::Start(options)) => {
            let body = json!({ "zone": options.zone });
            options.client().post("/v1/evacuations/start", &body)?;
            println!("{} is evacuated", options.zone);
            Ok(())
        }
        Some(EvacuationCommand::End(options)) => {
            let body = json!({ "zone": options.zone });
            options.client().post("/v1/evacuations/end", &body)?;
            println!("{} is in use again", options.zone);
            Ok(())
        }
        None => Err(CommandError::unusable("missing subcommand: list, start or end")),
    }
}

fn list(options: &ListOptions) -> Result<(), CommandError> {
    let zones = options.client().get("/v1/evacuations")?;
    if options.output == OutputFormat::Json {
        println!("{zones}");
        return Ok(());
    }
    println!("zone");
    for zone in zones.as_array().into_iter().flatten() {
        println!("{}", zone["zone"].as_str().unwrap_or("-"));
    }
    Ok(())
}
