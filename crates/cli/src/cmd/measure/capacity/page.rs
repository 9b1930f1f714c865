//! Tables of the capacity page, generated from the measurements.

use std::path::Path;

use super::lines::MeasuredLine;
use super::rows::CapacityRow;
use crate::cmd::CommandError;

/// Marker line before the table of measured lines; each table is replaced between two markers.
const LINES_BEGIN: &str = "<!-- measured lines: begin -->";
const LINES_END: &str = "<!-- measured lines: end -->";
const ROWS_BEGIN: &str = "<!-- rows: begin -->";
const ROWS_END: &str = "<!-- rows: end -->";

/// Rewrites the tables of the page in `file`.
///
/// # Errors
/// The file cannot be read or written, or one of its markers is missing.
pub(super) fn rewrite(
    file: &Path,
    measured: &[MeasuredLine],
    rows: &[CapacityRow],
) -> Result<(), CommandError> {
    let text = std::fs::read_to_string(file).map_err(CommandError::unusable)?;
    let text = replace_between(&text, LINES_BEGIN, LINES_END, &line_table(measured))?;
    let text = replace_between(&text, ROWS_BEGIN, ROWS_END, &row_table(rows))?;
    std::fs::write(file, text).map_err(CommandError::refused)
}

fn replace_between(
    text: &str,
    begin: &str,
    end: &str,
    table: &str,
) -> Result<String, CommandError> {
    let missing = || {
        CommandError::unusable(format!(
            "the page does not contain the markers {begin:?} and {end:?} in this order"
        ))
    };
    let (head, rest) = text.split_once(begin).ok_or_else(missing)?;
    let (_, tail) = rest.split_once(end).ok_or_else(missing)?;
    Ok(format!("{head}{begin}\n{table}{end}{tail}"))
}

/// Markdown table with one row for each measured line.
pub(super) fn line_table(measured: &[MeasuredLine]) -> String {
    let mut table = String::from(
        "| role | one more | unit | sizes | fixed | each | fit | spread |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for line in measured {
        let mut sizes: Vec<String> =
            line.points.iter().map(|point| format_number(point.size)).collect();
        sizes.dedup();
        table.push_str(&format!(
            "| {} | {} | {} | {} | {} | {} | {:.2} | {:.0}% |\n",
            line.role,
            line.of,
            line.unit,
            sizes.join(", "),
            format_number(line.line.fixed),
            format_number(line.line.each),
            line.line.fit,
            line.spread,
        ));
    }
    table
}

/// Markdown table with one row for each need of a role at the design size.
pub(super) fn row_table(rows: &[CapacityRow]) -> String {
    let mut table = String::from(
        "| role | what | at the design size | limit | margin | from | mechanism |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        table.push_str(&format!(
            "| {} | {} | {} {} | {} | {} | {} | {} |\n",
            row.role,
            row.what,
            format_number(row.need),
            row.unit,
            row.limit.map_or_else(|| "none set".to_owned(), format_number),
            row.margin(),
            row.sum,
            row.mechanism,
        ));
    }
    table
}

/// Formats a number with about three significant digits.
pub(super) fn format_number(value: f64) -> String {
    let size = value.abs();
    if size >= 1e9 {
        format!("{:.2} G", value / 1e9)
    } else if size >= 1e6 {
        format!("{:.2} M", value / 1e6)
    } else if size >= 1e4 {
        format!("{:.1} k", value / 1e3)
    } else if size >= 100.0 || (size - size.round()).abs() < 1e-9 {
        format!("{value:.0}")
    } else if size >= 0.1 {
        format!("{value:.2}")
    } else {
        format!("{value:.2e}")
    }
}
