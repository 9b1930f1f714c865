//! Processor time and memory of one process, read from `/proc`.

use std::time::Duration;

/// Clock ticks per second, the unit of processor times in `/proc`.
const TICKS_PER_SECOND: u64 = 100;

/// Index of user time in `/proc/<id>/stat`, counted from the field after the program's name.
const USER_TIME_FIELD: usize = 11;

/// Processor time that a process used so far, and its current memory.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(in crate::cmd) struct ProcessUsage {
    pub(in crate::cmd) cpu: Duration,
    pub(in crate::cmd) resident_bytes: u64,
}

/// Reads the usage of process `id`; `None` when it no longer exists.
pub(in crate::cmd) fn read_usage(id: u32) -> Option<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    // The program's name may contain spaces; the fields follow its closing parenthesis.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<u64>().ok();
    let used = ticks(USER_TIME_FIELD)? + ticks(USER_TIME_FIELD + 1)?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = resident.split_whitespace().next()?.parse().ok()?;
    Some(ProcessUsage {
        cpu: Duration::from_millis(used * 1000 / TICKS_PER_SECOND),
        resident_bytes: kilobytes * 1024,
    })
}
