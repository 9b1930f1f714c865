//! `briartray groups`: lists the groups and whether each is whole, or shows the accumulated group
//! downtime and stranded accelerator time.

use serde_json::Value;

use super::{CommandError, OutputFormat};

operator_command! {
    pub(super) struct GroupsOptions {
        #[options(help = "print this help")]
        help: bool,
        #[options(no_short, help = "show group downtime and stranded accelerators instead")]
        account: bool,
    }
}

pub(super) fn run(options: &GroupsOptions) -> Result<(), CommandError> {
    let client = options.client();
    if options.account {
        let account = client.get("/v1/groups/account")?;
        match options.output {
            OutputFormat::Json => println!("{account}"),
            OutputFormat::Text => print_account(&account),
        }
        return Ok(());
    }
    let groups = client.get("/v1/groups")?;
    if options.output == OutputFormat::Json {
        println!("{groups}");
        return Ok(());
    }
    println!(
        "{:<7} {:<8} {:<16} {:<12} {:<14} whole",
        "group", "fencing", "service", "zone", "first"
    );
    for group in groups.as_array().into_iter().flatten() {
        println!(
            "{:<7} {:<8} {:<16} {:<12} {:<14} {}",
            group["group"],
            group["fencing"],
            text(&group["service"]),
            text(&group["zone"]),
            text(&group["first"]),
            group["whole"],
        );
    }
    Ok(())
}

fn print_account(account: &Value) {
    let (time, cost) = (seconds(&account["seconds"]), seconds(&account["weighted"]));
    println!("counted for {time:.0} s, weighted cost {cost:.0}");
    for service in account["services"].as_array().into_iter().flatten() {
        println!("{}", text(&service["service"]));
        println!("  {:<24} {:>14.1} s", "group downtime", seconds(&service["group_down_seconds"]));
        let stranded = service["stranded_accelerator_seconds"].as_object();
        for (reason, amount) in stranded.into_iter().flatten() {
            println!("  {:<24} {:>14.1} accelerator-s", reason, seconds(amount));
        }
    }
}

fn seconds(value: &Value) -> f64 {
    value.as_f64().unwrap_or_default()
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
