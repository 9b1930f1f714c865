//! Formatting of wall-clock times for logs and traces; no decision depends on them.

use std::time::{SystemTime, UNIX_EPOCH};

/// Days from 1 March of year 0 to 1 January 1970.
const DAYS_TO_EPOCH: u64 = 719_468;

/// Days in 400 Gregorian years.
const DAYS_IN_ERA: u64 = 146_097;

/// Seconds in a day.
const DAY_SECONDS: u64 = 86_400;

/// Formats `time` as RFC 3339 in UTC with microseconds; times before 1970 become 1970.
pub fn format_utc(time: SystemTime) -> String {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (days, seconds) = (since.as_secs() / DAY_SECONDS, since.as_secs() % DAY_SECONDS);
    let (year, month, day) = civil_date(days);
    let (hour, minute, second) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
    let micros = since.subsec_micros();
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{micros:06}Z")
}

/// Converts days since 1970-01-01 to year, month and day.
///
/// Computes in years that begin in March, so that the leap day is the last day of the year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let shifted = days + DAYS_TO_EPOCH;
    let (era, day_of_era) = (shifted / DAYS_IN_ERA, shifted % DAYS_IN_ERA);
    let leaps = day_of_era / 1460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leaps) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 { march_month + 3 } else { march_month - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
