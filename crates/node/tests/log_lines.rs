//! The schema of log lines and the format of timestamps.

use std::time::{Duration, UNIX_EPOCH};

use briartray_node::logs::format_line;
use briartray_node::timestamp::format_utc;
use briartray_node::trace::TraceScope;
use log::{Level, Record};
use serde_json::{Value, json};

#[test]
fn line_has_every_part_of_the_schema() {
    let time = UNIX_EPOCH + Duration::from_micros(1_000_000_000_000_042);
    let _scope = TraceScope::enter(0xab);
    let fields = [("group", 7_u64)];

    let line = format_line(
        time,
        &Record::builder()
            .level(Level::Warn)
            .target("briartray_node")
            .args(format_args!("lost a \"member\""))
            .key_values(&fields)
            .build(),
    );

    let value: Value = serde_json::from_str(&line).expect("the line is JSON");
    let expected = json!({
        "time": "2001-09-09T01:46:40.000042Z",
        "level": "warn",
        "target": "briartray_node",
        "message": "lost a \"member\"",
        "trace_id": "000000000000000000000000000000ab",
        "fields": { "group": 7 },
    });
    assert_eq!(value, expected);
}

#[test]
fn dates_follow_the_calendar() {
    let days =
        [(0, "1970-01-01"), (59, "1970-03-01"), (11_016, "2000-02-29"), (20_789, "2026-12-02")];

    for (day, date) in days {
        let text = format_utc(UNIX_EPOCH + Duration::from_secs(day * 86_400));

        assert_eq!(text, format!("{date}T00:00:00.000000Z"));
    }
}
