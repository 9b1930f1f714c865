//! Logs as JSON lines on standard error: time, level, target, message, fields.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

/// Starts logging at `level`; a second start in one process changes nothing.
pub fn start(level: &str) {
    let _ = env_logger::Builder::new()
        .parse_filters(level)
        .format(|output, record| {
            let mut fields = FieldCollector(Map::new());
            let _ = record.key_values().visit(&mut fields);
            let millis = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
            let line = json!({
                "time_ms": millis,
                "level": record.level().as_str().to_lowercase(),
                "target": record.target(),
                "message": record.args().to_string(),
                "fields": fields.0,
            });
            writeln!(output, "{line}")
        })
        .try_init();
}

struct FieldCollector(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.as_str().to_owned(), json!(value.to_string()));
        Ok(())
    }
}
