//! Logs as JSON lines, one schema for every line:
//! `time`, `level`, `target`, `message`, `trace_id` and `fields`.

use std::io::Write;
use std::time::SystemTime;

use env_logger::Target;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

use crate::timestamp::format_utc;
use crate::trace::current_trace;

/// Starts logging at `level`; a second start in one process changes nothing.
pub fn start(level: &str) {
    start_to(level, Target::Stderr);
}

/// As [`start`], on standard output, where platforms collect the logs of their processes.
pub fn start_on_stdout(level: &str) {
    start_to(level, Target::Stdout);
}

fn start_to(level: &str, target: Target) {
    let _ = env_logger::Builder::new()
        .parse_filters(level)
        .target(target)
        .format(|output, record| writeln!(output, "{}", format_line(SystemTime::now(), record)))
        .try_init();
}

/// One line for `record`, without its end.
pub fn format_line(time: SystemTime, record: &Record<'_>) -> String {
    let mut fields = FieldCollector(Map::new());
    let _ = record.key_values().visit(&mut fields);
    let line = json!({
        "time": format_utc(time),
        "level": record.level().as_str().to_lowercase(),
        "target": record.target(),
        "message": record.args().to_string(),
        "trace_id": current_trace().map(|id| format!("{id:032x}")),
        "fields": fields.0,
    });
    line.to_string()
}

struct FieldCollector(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.as_str().to_owned(), as_json(&value));
        Ok(())
    }
}

/// Numbers and truth values stay what they are, so that a reader can compare them.
fn as_json(value: &Value<'_>) -> serde_json::Value {
    if let Some(number) = value.to_u64() {
        json!(number)
    } else if let Some(number) = value.to_i64() {
        json!(number)
    } else if let Some(number) = value.to_f64() {
        json!(number)
    } else if let Some(truth) = value.to_bool() {
        json!(truth)
    } else {
        json!(value.to_string())
    }
}
